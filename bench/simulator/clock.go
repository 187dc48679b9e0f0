// Package simulator runs the decision code of many entries against small fake
// backend servers in virtual time. One run is a pure function of its Scenario.
//
// It fakes only the interfaces of the decisions: arrivals of calls, the answers
// and load reports of backend servers, and the delays between them.
package simulator

import (
	"container/heap"
	"time"
)

// epoch is the time at which every run starts.
var epoch = time.Unix(1_700_000_000, 0)

// clock is virtual time with the events to come.
type clock struct {
	now    time.Duration // since epoch
	events events
	serial uint64
}

type event struct {
	at     time.Duration
	serial uint64 // keeps events of the same time in order
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

// time is now as the decision code sees it.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

// after runs f when the delay has passed.
func (c *clock) after(delay time.Duration, f func()) {
	c.serial++
	heap.Push(&c.events, event{at: c.now + delay, serial: c.serial, run: f})
}

// run handles events until the end.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}
