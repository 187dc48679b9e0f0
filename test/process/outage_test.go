package process_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/proctest"
	"chestnutrouter.example/chestnutrouter/internal/status"
	standin "chestnutrouter.example/chestnutrouter/standin/logservice"
)

// agreeTimeout bounds the time until all entries hold the same state.
const agreeTimeout = 30 * time.Second

func mustStatus(t *testing.T, read func() (status.Report, error)) status.Report {
	t.Helper()
	report, err := read()
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// waitForAgreement waits until all entries hold the same state and returns the status
// of the first one.
func waitForAgreement(t *testing.T, f *proctest.Fleet) status.Report {
	t.Helper()
	var first status.Report
	err := proctest.Until(t.Context(), agreeTimeout, func() bool {
		first = mustStatus(t, f.Entries()[0].Status)
		for _, e := range f.Entries() {
			if mustStatus(t, e.Status).Hash != first.Hash {
				return false
			}
		}
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	return first
}

func TestOutageWhileAllEntriesAreReplacedKeepsTheTree(t *testing.T) {
	f := startFleet(t, 3)
	f.Platform.SetFaults(standin.Faults{Down: true})
	before := waitForAgreement(t, f)
	for i, old := range f.Entries() {
		replacement := startEntry(t, f, fmt.Sprint("replacement-", i))
		old.Stop()
		if old.ExitCode() != 0 {
			t.Errorf("%s: got exit code %d, want 0", old.VM.Name, old.ExitCode())
		}
		after := mustStatus(t, replacement.Status)
		if after.Offset != before.Offset || after.Hash != before.Hash || after.Revision != before.Revision {
			t.Fatalf("%s holds offset %d, revision %d, hash %s; want %d, %d, %s", replacement.VM.Name,
				after.Offset, after.Revision, after.Hash, before.Offset, before.Revision, before.Hash)
		}
	}
}

// changedTree returns a copy of the example tree with a comment added to a branch.
func changedTree(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(exampleTree)); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "glazenpot", "intake", "branch.jsonc")
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, append([]byte("// changed\n"), content...), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

func TestPublishReachesEntriesPartitionedFromTheLog(t *testing.T) {
	f := startFleet(t, 3)
	entries := f.Entries()
	before := waitForAgreement(t, f)
	f.Platform.SetFaults(standin.Faults{
		Disconnected: []string{entries[1].VM.Name},
		Hung:         []string{entries[2].VM.Name},
	})
	if _, err := f.RunCtl(t.Context(), "publish", changedTree(t), "--publisher", "glazenpot/test"); err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		err := proctest.Until(t.Context(), agreeTimeout, func() bool {
			return mustStatus(t, e.Status).Revision == before.Revision+1
		})
		if err != nil {
			t.Errorf("%s: the change did not take effect: %v", e.VM.Name, err)
		}
	}
}
