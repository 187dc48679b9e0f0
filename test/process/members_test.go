package process_test

import (
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/membership"
	"chestnutrouter.example/chestnutrouter/internal/proctest"
	"chestnutrouter.example/chestnutrouter/internal/wire"
	standin "chestnutrouter.example/chestnutrouter/standin/logservice"
)

// detectTimeout bounds the time until entries detect that another one joined or left.
const detectTimeout = 30 * time.Second

// longPause is longer than the liveness timeout of entries.
const longPause = 7 * time.Second

// listsAddress asks an entry which addresses callers should use and reports whether
// the other entry's is among them.
func listsAddress(t *testing.T, e, other *proctest.Entry) bool {
	t.Helper()
	resp, err := http.Get("http://" + e.VM.Address + wire.PathEntries + "?zone=zone-a&caller=test")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var body struct {
		Entries []membership.EntryAddress `json:"entries"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	return slices.ContainsFunc(body.Entries, func(c membership.EntryAddress) bool {
		return c.Address == other.VM.Address
	})
}

// waitForListed waits until all the entries list the other one's address, or with
// want false until none does.
func waitForListed(t *testing.T, entries []*proctest.Entry, other *proctest.Entry, want bool) {
	t.Helper()
	err := proctest.Until(t.Context(), detectTimeout, func() bool {
		return !slices.ContainsFunc(entries, func(e *proctest.Entry) bool { return listsAddress(t, e, other) != want })
	})
	if err != nil {
		t.Fatalf("%s listed by the entries: want %t: %v", other.VM.Name, want, err)
	}
}

func TestKilledEntryLeavesTheAddressAnswerAndComesBack(t *testing.T) {
	f := startFleet(t, 3)
	entries := f.Entries()
	waitForListed(t, entries, entries[2], true)
	entries[2].Kill()
	waitForListed(t, entries[:2], entries[2], false)
	if err := entries[2].Restart(); err != nil {
		t.Fatal(err)
	}
	waitForListed(t, entries[:2], entries[2], true)
}

func TestPausedEntryLeavesTheEndpointListAndKeepsTheOthers(t *testing.T) {
	f := startFleet(t, 3)
	entries := f.Entries()
	for _, e := range entries {
		waitForListed(t, entries, e, true)
	}
	if err := entries[2].Pause(); err != nil {
		t.Fatal(err)
	}
	waitForListed(t, entries[:2], entries[2], false)
	time.Sleep(longPause) // the last contacts of the paused entry are now older than the timeout
	if err := entries[2].Resume(); err != nil {
		t.Fatal(err)
	}
	// The paused entry received no heartbeats. It must not take the others for
	// silent because of that.
	for range 20 {
		if live := mustStatus(t, entries[2].Status).Entries; len(live) != len(entries) {
			t.Errorf("the resumed entry sees %d live entries, want %d", len(live), len(entries))
		}
		time.Sleep(50 * time.Millisecond)
	}
	waitForListed(t, entries[:2], entries[2], true)
}

func TestEntryWithoutLogAndPeersIsNotReadyAndStopsCleanly(t *testing.T) {
	f := startFleet(t, 0)
	f.Platform.SetFaults(standin.Faults{Down: true})
	e, err := f.StartEntry("entry-0", "zone-a")
	if err != nil {
		t.Fatal(err)
	}
	alive := func() bool { _, err := e.Status(); return err == nil }
	if err := proctest.Until(t.Context(), detectTimeout, alive); err != nil {
		t.Fatal(err)
	}
	if code := lookup(t, e); code != http.StatusServiceUnavailable {
		t.Errorf("got status %d without a configuration, want 503", code)
	}
	if listsAddress(t, e, e) {
		t.Error("an entry without a configuration lists its own address")
	}
	f.Platform.SetFaults(standin.Faults{})
	if err := e.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	e.Stop()
	if e.ExitCode() != 0 {
		log, err := os.ReadFile(e.LogFile())
		t.Errorf("got exit code %d, want 0; log (%v):\n%s", e.ExitCode(), err, log)
	}
}
