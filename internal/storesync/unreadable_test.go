package storesync

import (
	"context"
	"slices"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

// damagedLog is a log in which records at some offsets can't be read.
type damagedLog struct {
	*fakeLog
	// inReads are the offsets of records that reads of changes leave out, and inNewest those
	// that reads of all keys do.
	inReads, inNewest []int64
}

func without(page logservice.KeyedPage, offsets []int64) logservice.KeyedPage {
	all := len(page.Records)
	page.Records = slices.DeleteFunc(page.Records, func(r logservice.KeyedRecord) bool { return slices.Contains(offsets, r.Position.Offset()) })
	page.Unreadable = all - len(page.Records)
	return page
}

func (l *damagedLog) Newest(ctx context.Context, stream string) (logservice.KeyedPage, error) {
	page, err := l.fakeLog.Newest(ctx, stream)
	return without(page, l.inNewest), err
}

func (l *damagedLog) ReadKeyed(ctx context.Context, stream string, from logservice.Position, wait time.Duration) (logservice.KeyedPage, error) {
	page, err := l.fakeLog.ReadKeyed(ctx, stream, from, wait)
	page = without(page, l.inReads)
	page.End = page.Next
	return page, err
}

// newDamagedSyncer returns a syncer that has read revision 1 at offset 0 of a damaged log.
func newDamagedSyncer(t *testing.T, now *time.Duration) (*testSyncer, *damagedLog) {
	s := newProofSyncer(now)
	l := &damagedLog{fakeLog: s.log}
	s.options.Log = l
	l.put("config", "1")
	s.readConfig(t.Context(), 0)
	return s, l
}

// checkEvidence reads the configuration twice, 1 s apart, and checks of which revision and age the
// evidence is.
func checkEvidence(t *testing.T, step string, now *time.Duration, s *testSyncer, revision int64, age time.Duration) {
	t.Helper()
	for range 2 {
		*now += time.Second
		s.readConfig(t.Context(), 0)
	}
	if e, ok := s.proof.evidence(); !ok || e.Age != age || e.Version.Revision != revision || s.Revision() != revision {
		t.Errorf("%s: got evidence %+v, %v at revision %d, want revision %d of age %v", step, e, ok, s.Revision(), revision, age)
	}
}

// A change of the configuration can't be read in the page that brings it. Passing over it would prove
// the configuration before it, whose keys may have been removed. It is in the page of all keys.
func TestUnreadableChangeIsReadFromAllKeys(t *testing.T) {
	now := time.Hour
	s, l := newDamagedSyncer(t, &now)
	l.put("config", "2")
	l.inReads = []int64{1}
	checkEvidence(t, "unreadable in the changes", &now, s, 2, 0)
}

// The newest record of the configuration can be read nowhere: nothing is proven, neither at the member
// that read it nor at one that continues at that member's position, until the operator writes another.
func TestUnreadableConfigurationProvesNothing(t *testing.T) {
	now := time.Hour
	s, l := newDamagedSyncer(t, &now)
	l.put("config", "2")
	l.inReads, l.inNewest = []int64{1}, []int64{1}
	checkEvidence(t, "unreadable", &now, s, 1, 2*time.Second)

	other := newProofSyncer(&now)
	other.options.Log, other.options.Client = l, receiverClient{s.Receiver()}
	other.Syncer.pull(t.Context(), cluster.LiveMember{Status: cluster.Status{Revision: 1}})
	checkEvidence(t, "after a pull", &now, other, 1, 4*time.Second)

	l.put("config", "3")
	checkEvidence(t, "written again", &now, s, 3, 0)
	checkEvidence(t, "written again, other member", &now, other, 3, 0)
}

// A record of another key can't be read, for good. The configuration stays proven, and after one read
// of all keys no more calls are made than without that record.
func TestUnreadableRecordOfAnotherKeyKeepsTheProof(t *testing.T) {
	now := time.Hour
	s, l := newDamagedSyncer(t, &now)
	l.put("evacuate/a", "{}")
	l.inReads, l.inNewest = []int64{1}, []int64{1}
	before := l.reads
	checkEvidence(t, "another key", &now, s, 1, 0)
	if n := l.reads - before; n != 3 {
		t.Errorf("%d calls for two reads, want 3: one of all keys", n)
	}
	checkEvidence(t, "later", &now, s, 1, 0)
	if n := l.reads - before; n != 5 {
		t.Errorf("%d calls for four reads, want 5", n)
	}

	starting := newProofSyncer(&now)
	starting.options.Log = l
	checkEvidence(t, "a member that starts", &now, starting, 1, 0)
}

// A restored store names an end before the position that is read from, or before the records of the
// page. Such a page does not tell what was written since.
func TestPageBeyondTheEndIsNotComplete(t *testing.T) {
	for _, c := range []struct {
		next, end int64
		want      bool
	}{{5, 5, true}, {5, 6, false}, {5, 4, false}, {5, 0, true}} {
		page := logservice.KeyedPage{Next: position(0, c.next), End: position(0, c.end)}
		if got := isComplete(page, position(0, 5), true, false); got != c.want {
			t.Errorf("page up to %d of %d: complete %v, want %v", c.next, c.end, got, c.want)
		}
	}
}
