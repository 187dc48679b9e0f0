package follow

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const (
	machineEntries = 4
	// healTime is how long all entries may take to converge after the faults end.
	healTime = 30 * time.Second
	// recentRecordsKept is how many records an entry keeps for its peers in this
	// test: few, so that peers also get whole states.
	recentRecordsKept = 3
)

// step is one randomly drawn action on the world.
type step struct {
	Action   string
	Entry    int
	Seat     int
	Previous string
	Fault    pageFault
	Wait     time.Duration
}

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		Action: rapid.SampledFrom([]string{
			"append", "append", "append", "unknown record", "wait", "wait", "disconnect log", "reconnect log",
			"log down", "partition peers", "heal peers", "slow peers", "restart", "restart", "expire",
			"distort", "lose response", "hang log", "resume log", "slow log", "fast log", "wait for snapshot",
		}).Draw(t, "action"),
		Entry:    rapid.IntRange(0, machineEntries-1).Draw(t, "entry"),
		Seat:     rapid.IntRange(0, 5).Draw(t, "seat"),
		Previous: rapid.SampledFrom([]string{"", "i0", "i1"}).Draw(t, "previous"),
		Fault:    pageFault(rapid.IntRange(0, int(pageFaultCount)-1).Draw(t, "fault")),
		Wait:     time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond,
	}
})

func (w *world) do(s step) {
	switch s.Action {
	case "append":
		w.append(claim(s.Seat, fmt.Sprint("i", len(w.records)%3), s.Previous))
	case "unknown record":
		w.append(json.RawMessage(`{"version":99,"kind":"later"}`))
	case "wait":
		time.Sleep(s.Wait)
	case "disconnect log":
		w.set(func() { w.logDown[s.Entry] = true })
	case "reconnect log":
		w.set(func() { w.logDown[s.Entry] = false })
	case "log down":
		w.set(func() { w.logDown = map[int]bool{0: true, 1: true, 2: true, 3: true} })
	case "hang log":
		w.set(func() { w.logHangs[s.Entry] = true })
	case "resume log":
		w.set(func() { w.logHangs[s.Entry] = false })
	case "slow log":
		w.set(func() { w.logSlow = true })
	case "fast log":
		w.set(func() { w.logSlow = false })
	case "partition peers":
		w.set(func() { w.partitioned[s.Entry] = true })
	case "heal peers":
		w.set(func() { w.partitioned[s.Entry] = false })
	case "slow peers":
		w.set(func() { w.latency = s.Wait })
	case "restart":
		w.start(s.Entry)
	case "expire":
		w.expire()
	case "distort":
		w.set(func() { w.pageFault = s.Fault })
	case "lose response":
		w.set(func() { w.loseResponse = true })
	case "wait for snapshot":
		time.Sleep(maxSnapshotAge + snapshotCheckInterval)
	}
}

// check verifies what must hold after each step: no offset goes back, and every
// state is the expected one at its offset.
func (w *world) check() error {
	synctest.Wait()
	for n, e := range w.entries {
		state := e.Current()
		if state.Offset() < e.offset {
			return fmt.Errorf("entry %d went back from offset %d to %d", n, e.offset, state.Offset())
		}
		e.offset = state.Offset()
		if e.offset >= 0 && state.Hash() != w.states[e.offset].Hash() {
			return fmt.Errorf("entry %d has a different state than expected at offset %d", n, e.offset)
		}
	}
	return nil
}

// converge ends all faults and checks that all entries reach the end of the log.
func (w *world) converge() error {
	w.set(func() {
		clear(w.logDown)
		clear(w.logHangs)
		clear(w.partitioned)
		w.logSlow = false
		w.pageFault, w.latency = pageIntact, time.Millisecond
	})
	time.Sleep(healTime)
	if err := w.check(); err != nil {
		return err
	}
	for n, e := range w.entries {
		if want := int64(len(w.records) - 1); e.offset != want {
			return fmt.Errorf("entry %d is at offset %d after the faults ended, want %d", n, e.offset, want)
		}
	}
	return nil
}

// runSteps runs the steps in virtual time and returns the first violation.
func runSteps(t *testing.T, all []step) (err error) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(machineEntries)
		defer w.stop()
		for i, s := range all {
			w.do(s)
			if err = w.check(); err != nil {
				err = fmt.Errorf("after step %d: %w", i, err)
				return
			}
		}
		err = w.converge()
	})
	return err
}

func TestEntriesFollowTheHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := rapid.SliceOfN(steps, 1, 40).Draw(rt, "steps")
		if err := runSteps(t, all); err != nil {
			rt.Fatal(err)
		}
	})
}
