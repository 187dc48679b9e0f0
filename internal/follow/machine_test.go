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
	// healTime is how long after a heal all entries may take to converge.
	healTime = 30 * time.Second
	// keptRecords is how many records an entry keeps for its peers here, so that
	// whole states are asked for too.
	keptRecords = 3
)

// step is one drawn step of the machine.
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
			"append", "append", "append", "unknown record", "wait", "wait", "cut log", "heal log",
			"log down", "cut peers", "heal peers", "slow peers", "restart", "restart", "expire",
			"distort", "lose answer", "freeze log", "thaw log", "slow log", "quick log", "wait for snapshot",
		}).Draw(t, "action"),
		Entry:    rapid.IntRange(0, machineEntries-1).Draw(t, "entry"),
		Seat:     rapid.IntRange(0, 5).Draw(t, "seat"),
		Previous: rapid.SampledFrom([]string{"", "i0", "i1"}).Draw(t, "previous"),
		Fault:    pageFault(rapid.IntRange(0, int(pageFaults)-1).Draw(t, "fault")),
		Wait:     time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond,
	}
})

func (w *world) do(s step) {
	switch s.Action {
	case "append":
		w.append(claim(s.Seat, fmt.Sprint("i", len(w.history)%3), s.Previous))
	case "unknown record":
		w.append(json.RawMessage(`{"version":99,"kind":"later"}`))
	case "wait":
		time.Sleep(s.Wait)
	case "cut log":
		w.set(func() { w.down[s.Entry] = true })
	case "heal log":
		w.set(func() { w.down[s.Entry] = false })
	case "log down":
		w.set(func() { w.down = map[int]bool{0: true, 1: true, 2: true, 3: true} })
	case "freeze log":
		w.set(func() { w.frozen[s.Entry] = true })
	case "thaw log":
		w.set(func() { w.frozen[s.Entry] = false })
	case "slow log":
		w.set(func() { w.slow = true })
	case "quick log":
		w.set(func() { w.slow = false })
	case "cut peers":
		w.set(func() { w.cut[s.Entry] = true })
	case "heal peers":
		w.set(func() { w.cut[s.Entry] = false })
	case "slow peers":
		w.set(func() { w.latency = s.Wait })
	case "restart":
		w.start(s.Entry)
	case "expire":
		w.expire()
	case "distort":
		w.set(func() { w.pages = s.Fault })
	case "lose answer":
		w.set(func() { w.loseAnswer = true })
	case "wait for snapshot":
		time.Sleep(snapshotAge + snapshotCheck)
	}
}

// check holds after each step: no offset falls, and every state is the fold of
// the history up to its offset.
func (w *world) check() error {
	synctest.Wait()
	for n, e := range w.entries {
		state := e.Current()
		if state.Offset() < e.offset {
			return fmt.Errorf("entry %d fell from offset %d to %d", n, e.offset, state.Offset())
		}
		e.offset = state.Offset()
		if e.offset >= 0 && state.Hash() != w.states[e.offset].Hash() {
			return fmt.Errorf("entry %d holds another state at offset %d", n, e.offset)
		}
	}
	return nil
}

// converge heals everything and checks that all entries reach the end.
func (w *world) converge() error {
	w.set(func() {
		clear(w.down)
		clear(w.frozen)
		clear(w.cut)
		w.slow = false
		w.pages, w.latency = pageWhole, time.Millisecond
	})
	time.Sleep(healTime)
	if err := w.check(); err != nil {
		return err
	}
	for n, e := range w.entries {
		if want := int64(len(w.history) - 1); e.offset != want {
			return fmt.Errorf("entry %d is at offset %d after the heal, want %d", n, e.offset, want)
		}
	}
	return nil
}

// runSteps takes the steps in virtual time and returns the first violation.
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
