// Package simulator is a discrete-event simulation. It runs the decision code of
// many entries against simulated backend servers in virtual time. The result of a
// run is a pure function of its Scenario.
//
// Only the inputs of the decisions are simulated: arrivals of calls, responses and
// load reports of backend servers, and network delays.
package simulator

import (
	"container/heap"
	"time"
)

// epoch is the wall-clock time at which every run starts.
var epoch = time.Unix(1_700_000_000, 0)

// clock holds the virtual time and the pending events.
type clock struct {
	now    time.Duration // since epoch
	events events
	serial uint64
}

type event struct {
	at     time.Duration
	serial uint64 // orders events of the same time
	run    func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// time returns now as the time.Time that the decision code takes.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

// after schedules f to run after the delay.
func (c *clock) after(delay time.Duration, f func()) {
	c.serial++
	heap.Push(&c.events, event{at: c.now + delay, serial: c.serial, run: f})
}

// run processes events up to the time end.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}
