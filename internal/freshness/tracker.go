package freshness

import (
	"slices"
	"sync"
	"time"
)

// Version is a version of the tracked subject.
type Version struct {
	// Revision orders the versions.
	Revision int64
	// Digest tells versions of the same revision apart.
	Digest uint64
}

// Includes reports whether whoever has the version v has all that evidence for the other version is about.
func (v Version) Includes(other Version) bool {
	return v.Revision > other.Revision || v == other
}

// Evidence says that nothing newer than the version existed at a moment.
type Evidence struct {
	Version Version
	// Age is the time since that moment.
	Age time.Duration
}

const (
	// maxProofs bounds the versions for which evidence is kept: the active one and some that
	// are known but not active yet.
	maxProofs = 4
	// driftShare is the part of the bound that is kept as a margin: the clocks of the VMs along
	// which an age travels run at slightly different rates.
	driftShare = 0.01
	// newerTimeout is the time, in bounds, after which a newer revision that no member has
	// named again is forgotten. After a restore of the source it may be lost for good.
	newerTimeout = 2
	// maxAge is the age, in bounds, above which evidence is ignored. Malformed evidence may have any
	// age, and the sum of that and the time since would overflow.
	maxAge = 100
)

// Tracker keeps the evidence about one subject. It is safe for concurrent use; its lock is a leaf.
type Tracker struct {
	bound time.Duration
	clock func() time.Duration

	mu     sync.Mutex // guards the fields below
	proofs []proof
	// newer is the highest revision that a member has named, since when it is known, and when it
	// was last named.
	newer                  int64
	newerSince, newerNamed time.Duration
}

// proof is the newest moment at which nothing newer than the version existed.
type proof struct {
	version Version
	at      time.Duration
}

// NewTracker returns a tracker without evidence. The clock returns the time since some fixed
// moment.
func NewTracker(bound time.Duration, clock func() time.Duration) *Tracker {
	return &Tracker{bound: bound, clock: clock}
}

// Bound returns the age up to which evidence counts.
func (t *Tracker) Bound() time.Duration { return t.bound }

// Now returns the time of the tracker's clock.
func (t *Tracker) Now() time.Duration { return t.clock() }

// Observe adds the evidence that at a moment of the tracker's clock nothing newer than the version
// existed.
func (t *Tracker) Observe(v Version, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	at = min(at, now)
	if at < now-maxAge*t.bound {
		return
	}
	if v.Revision < t.newer {
		if now-t.newerNamed <= newerTimeout*t.bound {
			// Something newer existed by then, even if the source has lost it since.
			at = min(at, t.newerSince)
		} else {
			t.newer = 0
		}
	}
	if i := slices.IndexFunc(t.proofs, func(p proof) bool { return p.version == v }); i >= 0 {
		t.proofs[i].at = max(t.proofs[i].at, at)
		return
	}
	t.proofs = append(t.proofs, proof{v, at})
	if len(t.proofs) > maxProofs {
		oldest := 0
		for i, p := range t.proofs {
			if p.at < t.proofs[oldest].at {
				oldest = i
			}
		}
		t.proofs = slices.Delete(t.proofs, oldest, oldest+1)
	}
}

// ObserveNewer records that a member names a revision. Evidence for a lower one from a later
// moment does not count.
func (t *Tracker) ObserveNewer(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	if revision > t.newer {
		t.newer, t.newerSince = revision, now
	}
	if revision == t.newer {
		t.newerNamed = now
	}
}

// Newest returns the youngest evidence that counts for the active version, or false if there is
// none. It may be older than the bound.
func (t *Tracker) Newest(active Version) (Evidence, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *proof
	for i := range t.proofs {
		p := &t.proofs[i]
		if active.Includes(p.version) && (best == nil || p.at > best.at) {
			best = p
		}
	}
	if best == nil {
		return Evidence{}, false
	}
	return Evidence{Version: best.version, Age: t.clock() - best.at}, true
}

// IsProven reports whether the active version was the newest one at a moment within the bound.
func (t *Tracker) IsProven(active Version) bool {
	e, ok := t.Newest(active)
	return ok && t.Within(e)
}

// Within reports whether the evidence is young enough.
func (t *Tracker) Within(e Evidence) bool {
	return e.Age <= t.bound-time.Duration(driftShare*float64(t.bound))
}
