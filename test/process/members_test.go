package process_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/membership"
	"chestnutrouter.example/chestnutrouter/internal/proctest"
	"chestnutrouter.example/chestnutrouter/internal/wire"
	standin "chestnutrouter.example/chestnutrouter/standin/logservice"
)

// noticeTimeout bounds the time until entries notice a change of the others.
const noticeTimeout = 30 * time.Second

// longFreeze is longer than an entry may go unheard.
const longFreeze = 7 * time.Second

// names asks an entry which addresses to use and reports whether it names another.
func names(t *testing.T, e, other *proctest.Entry) bool {
	t.Helper()
	resp, err := http.Get("http://" + e.VM.Address + wire.PathEntries + "?zone=zone-a&caller=test")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var answer struct {
		Entries []membership.EntryAddress `json:"entries"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return slices.ContainsFunc(answer.Entries, func(c membership.EntryAddress) bool {
		return c.Address == other.VM.Address
	})
}

// awaitNamed returns when all the entries name the other one, or none does.
func awaitNamed(t *testing.T, entries []*proctest.Entry, other *proctest.Entry, want bool) {
	t.Helper()
	err := proctest.Until(t.Context(), noticeTimeout, func() bool {
		return !slices.ContainsFunc(entries, func(e *proctest.Entry) bool { return names(t, e, other) != want })
	})
	if err != nil {
		t.Fatalf("%s named by all: want %t: %v", other.VM.Name, want, err)
	}
}

func TestKilledEntryLeavesTheAddressAnswerAndComesBack(t *testing.T) {
	f := startFleet(t, 3)
	entries := f.Entries()
	awaitNamed(t, entries, entries[2], true)
	entries[2].Kill()
	awaitNamed(t, entries[:2], entries[2], false)
	if err := entries[2].Restart(); err != nil {
		t.Fatal(err)
	}
	awaitNamed(t, entries[:2], entries[2], true)
}

func TestFrozenEntryLeavesTheAddressAnswerAndKeepsTheOthers(t *testing.T) {
	f := startFleet(t, 3)
	entries := f.Entries()
	for _, e := range entries {
		awaitNamed(t, entries, e, true)
	}
	if err := entries[2].Pause(); err != nil {
		t.Fatal(err)
	}
	awaitNamed(t, entries[:2], entries[2], false)
	time.Sleep(longFreeze) // all that the frozen one had heard is long past
	if err := entries[2].Resume(); err != nil {
		t.Fatal(err)
	}
	// Others must not count as silent for what this one did not hear.
	for range 20 {
		if live := mustStatus(t, entries[2].Status).Entries; len(live) != len(entries) {
			t.Errorf("the thawed entry sees %d live entries, want %d", len(live), len(entries))
		}
		time.Sleep(50 * time.Millisecond)
	}
	awaitNamed(t, entries[:2], entries[2], true)
}

func TestEntryWithoutLogAndPeersIsNotReadyAndStopsCleanly(t *testing.T) {
	f := startFleet(t, 0)
	f.Platform.SetFaults(standin.Faults{Down: true})
	e, err := f.StartEntry("entry-0", "zone-a")
	if err != nil {
		t.Fatal(err)
	}
	alive := func() bool { _, err := e.Status(); return err == nil }
	if err := proctest.Until(t.Context(), noticeTimeout, alive); err != nil {
		t.Fatal(err)
	}
	if code := lookup(t, e); code != http.StatusServiceUnavailable {
		t.Errorf("status %d without a configuration", code)
	}
	if names(t, e, e) {
		t.Error("an entry without a configuration names itself")
	}
	f.Platform.SetFaults(standin.Faults{})
	if err := e.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	e.Stop()
	if e.ExitCode() != 0 {
		t.Errorf("exit code %d", e.ExitCode())
	}
}
