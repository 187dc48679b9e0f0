package freshness

import (
	"fmt"
	"testing"
	"time"
)

const bound = 5 * time.Second

// clock is a clock that tests set.
type clock struct{ now time.Duration }

func (c *clock) read() time.Duration { return c.now }

func newTestTracker() (*Tracker, *clock) {
	c := &clock{now: time.Hour}
	return NewTracker(bound, c.read), c
}

// A version is proven from the moment of the evidence on until the bound, not from its arrival on.
func TestEvidenceAges(t *testing.T) {
	tr, c := newTestTracker()
	active := Version{Revision: 5, Digest: 1}
	if tr.IsProven(active) {
		t.Error("proven without evidence")
	}
	sent := c.now
	c.now += 1200 * time.Millisecond // the read waited at the source
	tr.Observe(active, sent)
	if e, ok := tr.Newest(active); !ok || e.Age != 1200*time.Millisecond {
		t.Errorf("got evidence %+v, %v, want an age of 1.2 s", e, ok)
	}
	c.now = sent + 4900*time.Millisecond
	if !tr.IsProven(active) {
		t.Error("not proven 4.9 s after the read was sent")
	}
	c.now = sent + bound
	if tr.IsProven(active) {
		t.Error("proven at the bound, without a margin for clocks of different rates")
	}
	tr.Observe(active, sent-time.Second)
	if e, _ := tr.Newest(active); e.Age != bound {
		t.Errorf("older evidence changed the age to %v", e.Age)
	}
	tr.Observe(active, c.now+time.Minute)
	if e, _ := tr.Newest(active); e.Age != 0 {
		t.Errorf("evidence of the future has the age %v, want 0", e.Age)
	}
}

// Evidence about a revision must not prove an older one, nor another content of the same revision,
// and counts as soon as the entry has the revision.
func TestEvidenceOfAnotherVersion(t *testing.T) {
	for _, c := range []struct {
		name             string
		active, evidence Version
		want             bool
	}{
		{"the same", Version{5, 1}, Version{5, 1}, true},
		{"a newer one", Version{5, 1}, Version{6, 2}, false},
		{"an older one", Version{6, 2}, Version{5, 1}, true},
		{"other content", Version{5, 1}, Version{5, 9}, false},
	} {
		tr, clock := newTestTracker()
		tr.Observe(c.evidence, clock.now)
		if got := tr.IsProven(c.active); got != c.want {
			t.Errorf("evidence about %s: proven %v, want %v", c.name, got, c.want)
		}
	}
	tr, clock := newTestTracker()
	tr.Observe(Version{5, 1}, clock.now-4*time.Second)
	for revision := int64(6); revision < 20; revision++ {
		tr.Observe(Version{revision, 0}, clock.now)
	}
	if !tr.IsProven(Version{19, 0}) || len(tr.proofs) > maxProofs {
		t.Errorf("%d versions are kept, want at most %d with the newest one", len(tr.proofs), maxProofs)
	}
}

// A source that was restored from an older copy names a lower revision than a member. That must not
// prove the lower one from a moment at which the higher one was known, until the higher one is
// lost for good.
func TestRestoredSource(t *testing.T) {
	tr, c := newTestTracker()
	lower := Version{Revision: 4, Digest: 1}
	tr.Observe(lower, c.now)
	tr.ObserveNewer(6)
	for range 6 {
		c.now += time.Second
		tr.ObserveNewer(6)
		tr.Observe(lower, c.now)
	}
	if tr.IsProven(lower) {
		t.Error("revision 4 is proven 6 s after a member named revision 6")
	}
	tr.Observe(Version{Revision: 6, Digest: 2}, c.now)
	if !tr.IsProven(Version{Revision: 6, Digest: 2}) {
		t.Error("revision 6 is not proven by its own evidence")
	}
	c.now += newerTimeout*bound + time.Second
	tr.Observe(lower, c.now)
	if !tr.IsProven(lower) {
		t.Error("revision 4 is not proven long after revision 6 was last named")
	}
}

// Evidence must survive its encoding, and no reply of another form may pass as evidence.
func TestEncoding(t *testing.T) {
	e := Evidence{Version: Version{Revision: 7, Digest: 1 << 63}, Age: 1234 * time.Millisecond}
	if got, ok := Decode(e.Encode()); !ok || got != e {
		t.Errorf("got %+v, %v for %+v", got, ok, e)
	}
	for _, data := range [][]byte{
		nil, e.Encode()[:encodedBytes-1],
		Evidence{Version: e.Version, Age: -1}.Encode(), Evidence{Age: 1}.Encode(),
	} {
		if got, ok := Decode(data); ok {
			t.Errorf("%x was taken for %+v", data, got)
		}
	}
}

func members(n int) []Member {
	var list []Member
	for i := range n {
		list = append(list, Member{VM: fmt.Sprintf("vm-%d", i), ReadAge: time.Minute, Weight: 0.16, Hash: uint64(i)})
	}
	return list
}

// cycle returns numbers in turn, as a source of random numbers.
func cycle() func(int) int {
	next := 0
	return func(n int) int {
		next++
		return next % n
	}
}

// A question without an answer is repeated soon at another member, and the silent one is not asked
// first for a while, but again when nobody else is left.
func TestSilentMember(t *testing.T) {
	p := NewPlanner(bound, cycle())
	list := members(3)
	list[0].ReadAge = time.Second
	now := time.Hour
	m, ok := p.Choose(now, Other, list, nil)
	if !ok || m.VM != "vm-0" {
		t.Fatalf("asked %q first, want the one that reads the source", m.VM)
	}
	if p.Due(now+p.share(repeatShare)-1, 2*time.Second, Other) {
		t.Error("asks again before the first one could answer")
	}
	now += p.share(repeatShare)
	if !p.Due(now, 2*time.Second, Other) {
		t.Error("does not ask again without an answer")
	}
	p.Silent(now, m.VM)
	if m, _ = p.Choose(now, Other, list, nil); m.VM == "vm-0" {
		t.Error("asked the silent one again")
	}
	p.Silent(now, "vm-1")
	p.Silent(now, "vm-2")
	if m, ok = p.Choose(now, Other, list, nil); !ok {
		t.Error("asks nobody although all were silent")
	}
	if _, ok := p.Choose(now, Other, nil, nil); ok {
		t.Error("asked a member of an empty cluster")
	}
}

// Open questions are bounded, so that an entry in a cluster that does not answer stays cheap.
func TestOpenQuestionsAreBounded(t *testing.T) {
	p := NewPlanner(bound, cycle())
	now := time.Hour
	for range 2 * maxOpen {
		if p.Due(now, 2*bound, Other) {
			p.Choose(now, Other, members(9), nil)
		}
		now += bound
	}
	if p.open > maxOpen {
		t.Errorf("%d questions are open, want at most %d", p.open, maxOpen)
	}
}

// The strongest members help, one for each membersPerHelper members, and all others ask them first.
func TestHelpers(t *testing.T) {
	list := members(40)
	list[30].Weight, list[31].Weight = 0.8, 0.8
	helpers := Helpers(list)
	if len(helpers) != 2 || !helpers["vm-30"] || !helpers["vm-31"] {
		t.Errorf("got helpers %v, want the two strongest of 40 members", helpers)
	}
	if n := len(Helpers(list[:membersPerHelper-1])); n != 0 {
		t.Errorf("got %d helpers in a small cluster, want none", n)
	}
	list[3].ReadAge, list[5].ReadAge = 0, 0
	p := NewPlanner(bound, cycle())
	for i := range 10 {
		m, _ := p.Choose(time.Hour, Other, list, helpers)
		if !helpers[m.VM] {
			t.Errorf("question %d went to %s, want a helper", i, m.VM)
		}
		p.Answered(m.VM, time.Hour, true, true)
	}
	for range 10 {
		m, _ := p.Choose(time.Hour, Helper, list, helpers)
		if m.VM != "vm-3" && m.VM != "vm-5" {
			t.Errorf("a helper asked %s, want a reader", m.VM)
		}
		p.Answered(m.VM, time.Hour, true, true)
	}
	// Helpers that have nothing young must not hide the others.
	asked := map[string]bool{}
	for range 40 {
		m, _ := p.Choose(time.Hour, Other, list, helpers)
		asked[m.VM] = true
		p.Answered(m.VM, 0, true, false)
	}
	if len(asked) < 5 {
		t.Errorf("asked only %v while no answer helped", asked)
	}
	p.Forget(list[:3])
	if len(p.members) > 3 {
		t.Errorf("%d members are kept after the others have left", len(p.members))
	}
}

// An entry reads the source itself only when the readers and their replacements had time to pass on
// evidence, and the entries do not all read at once.
func TestOwnReads(t *testing.T) {
	p := NewPlanner(bound, cycle())
	if p.ReadDue(2*time.Second, 2, 100) || !p.ReadDue(2100*time.Millisecond, 2, 100) {
		t.Error("the first entry after the readers must read at 0.4 of the bound")
	}
	if p.ReadDue(2400*time.Millisecond, 99, 100) || !p.ReadDue(2600*time.Millisecond, 99, 100) {
		t.Error("the last entry must read at 0.5 of the bound")
	}
	for range unanswered {
		p.Choose(time.Hour, Other, members(1), nil)
		p.Silent(time.Hour, "vm-0")
	}
	if p.ReadDue(1400*time.Millisecond, 99, 100) || !p.ReadDue(1500*time.Millisecond, 99, 100) {
		t.Error("an entry without answers must read before its evidence is 0.3 of the bound old")
	}
	// Otherwise its own reads would keep it from finding that it gets answers again.
	if p.Due(2*time.Hour, 800*time.Millisecond, Other) || !p.Due(2*time.Hour, 1100*time.Millisecond, Other) {
		t.Error("an entry without answers must ask before it reads")
	}
	p.Answered("vm-0", time.Hour, true, false)
	if p.ReadDue(2*time.Second, 99, 100) {
		t.Error("an entry that gets answers again must not read early")
	}
}
