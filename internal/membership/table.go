package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/peer"
)

const (
	// silentAfter is how long an entry may give no sign before it counts as silent.
	silentAfter = 6 * time.Second
	// suspectAfter is the age of the last sign from which an entry is asked
	// itself, in place of the next peer in turn.
	suspectAfter = 4 * time.Second
	// suspectRetry is the least time between two such questions to one entry.
	suspectRetry = time.Second
	// forgetAfter is how long a silent process and an outdated notice are kept.
	forgetAfter = 10 * time.Minute
	// rampTime is how long a new or returned entry takes to get its full share.
	rampTime = 10 * time.Second
	// maxMembers bounds the known processes.
	maxMembers = 1024
	// signsPerMessage bounds the signs of one heartbeat, besides the sender's own.
	signsPerMessage = 48
	// freshSends is how often a row or notice is passed on before it counts as old.
	freshSends = 8
	// offsetSends is how often a row is passed on after a change of its offset
	// alone; peers also learn that from the entry itself.
	offsetSends = 3
	// freshRowsPerMessage and oldRowsPerMessage bound the rows of one heartbeat.
	freshRowsPerMessage = 16
	oldRowsPerMessage   = 1
)

// member is a known process other than this one.
type member struct {
	row     peer.EntryState
	vm      fleet.VM
	counter uint64
	heard   time.Time // when its counter last rose
	since   time.Time // when it was first heard, or again after a silence
	asked   time.Time // when it was last asked itself as a suspect
	sent    int       // how often the row was passed on since it changed
}

// table is the state of the membership. It does no I/O; its owner locks it.
type table struct {
	self    peer.Member
	started time.Time
	members map[uint64]*member // by peer.ShortID
	notices noticeTable
	list    vmList
}

func newTable(self peer.Member, now time.Time) *table {
	return &table{
		self:    self,
		started: now,
		members: map[uint64]*member{},
		notices: newNoticeTable(),
	}
}

// mergeSigns takes in signs and returns the live processes that are not known.
func (t *table) mergeSigns(now time.Time, signs peer.LivenessList) (unknown []uint64) {
	for _, s := range signs {
		m := t.members[s.ID]
		switch {
		case m != nil:
			m.hear(now, s)
		case s.ID != t.self.Sign.ID && s.Age <= silentAfter:
			unknown = append(unknown, s.ID)
		}
	}
	return unknown
}

// hear takes in a sign of the process.
func (m *member) hear(now time.Time, s peer.Liveness) {
	if s.Counter <= m.counter {
		return
	}
	if m.isSilent(now) {
		m.since = now
	}
	m.counter = s.Counter
	m.heard = later(m.heard, now.Add(-s.Age))
}

// mergeRows takes in rows of known processes.
func (t *table) mergeRows(rows []peer.EntryState) (changed bool) {
	for _, r := range rows {
		m := t.members[peer.ShortID(r.Incarnation)]
		if m == nil || r.Version <= m.row.Version {
			continue
		}
		changed = changed || r.Draining != m.row.Draining
		if onlyOffsetDiffers(m.row, r) {
			m.sent = min(m.sent, freshSends-offsetSends)
		} else {
			m.sent = 0
		}
		m.row = r
	}
	return changed
}

// onlyOffsetDiffers reports whether a newer row says no more than another offset
// of the config stream.
func onlyOffsetDiffers(old, next peer.EntryState) bool {
	next.Version, next.Offset, next.State = old.Version, old.Offset, old.State
	return next == old
}

// describe takes in processes with all that a peer knows of them, and reports
// whether one was not known.
func (t *table) describe(now time.Time, members []peer.Member) (added bool) {
	for _, d := range members {
		id := peer.ShortID(d.Row.Incarnation)
		isStale := d.Sign.Age > silentAfter || d.VM.Name == ""
		if t.members[id] != nil || id == t.self.Sign.ID || isStale || len(t.members) >= maxMembers {
			continue
		}
		t.members[id] = &member{
			row:     d.Row,
			vm:      d.VM,
			counter: d.Sign.Counter,
			heard:   now.Add(-d.Sign.Age),
			since:   t.firstSince(now),
		}
		added = true
	}
	return added
}

// firstSince is the start of a process's ramp. Those that were there when this
// process started are not ramped.
func (t *table) firstSince(now time.Time) time.Time {
	if now.Sub(t.started) < rampTime {
		return time.Time{}
	}
	return now
}

// described returns the asked processes, or all where none is named.
func (t *table) described(now time.Time, ids []uint64) []peer.Member {
	var out []peer.Member
	if len(ids) == 0 || slices.Contains(ids, t.self.Sign.ID) {
		out = append(out, t.self)
	}
	for id, m := range t.members {
		isAsked := len(ids) == 0 || slices.Contains(ids, id)
		if isAsked && !m.isSilent(now) {
			out = append(out, peer.Member{Sign: m.sign(now, id), Row: m.row, VM: m.vm})
		}
	}
	return out
}

// signsToSend returns this process's sign and the newest ones of others, without
// those that the receiver has shown to know.
func (t *table) signsToSend(now time.Time, known peer.LivenessList) peer.LivenessList {
	counters := make(map[uint64]uint64, len(known))
	for _, s := range known {
		counters[s.ID] = s.Counter
	}
	signs := make(peer.LivenessList, 0, len(t.members)+1)
	for id, m := range t.members {
		if !m.isSilent(now) && m.counter > counters[id] {
			signs = append(signs, m.sign(now, id))
		}
	}
	slices.SortFunc(signs, func(a, b peer.Liveness) int { return cmp.Compare(a.Age, b.Age) })
	signs = signs[:min(len(signs), signsPerMessage)]
	return append(signs, t.self.Sign)
}

// rowsToSend returns the rows of others that changed, and an old one in turn for
// those that missed it.
func (t *table) rowsToSend(now time.Time) []peer.EntryState {
	live := make([]*member, 0, len(t.members))
	for _, m := range t.members {
		if !m.isSilent(now) {
			live = append(live, m)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	slices.SortStableFunc(live, func(a, b *member) int { return cmp.Compare(a.sent, b.sent) })
	var rows []peer.EntryState
	old := 0
	for _, m := range live {
		if m.sent >= freshSends {
			old++
		}
		if len(rows) == freshRowsPerMessage || old > oldRowsPerMessage {
			break
		}
		m.sent++
		rows = append(rows, m.row)
	}
	return rows
}

// suspect returns the live process that gave no sign for the longest time, where
// that is long enough to ask it.
func (t *table) suspect(now time.Time) *member {
	var longest *member
	for _, m := range t.members {
		isSuspect := !m.isSilent(now) && now.Sub(m.heard) > suspectAfter
		if !isSuspect || now.Sub(m.asked) < suspectRetry {
			continue
		}
		if longest == nil || m.heard.Before(longest.heard) {
			longest = m
		}
	}
	return longest
}

// furthest returns the live entry with the highest offset of the config stream.
func (t *table) furthest(now time.Time) (address string, offset int64) {
	offset = -1
	for _, m := range t.members {
		if !m.isSilent(now) && m.row.Offset > offset {
			address, offset = m.vm.PeerAddress, m.row.Offset
		}
	}
	return address, offset
}

// newestSnapshot returns the place of the newest snapshot that any entry knows.
func (t *table) newestSnapshot() int64 {
	newest := int64(-1)
	for _, m := range t.members {
		newest = max(newest, m.row.Snapshot)
	}
	return newest
}

// shift moves all times of hearing by the length of a pause of this process, in
// which it could hear nobody.
func (t *table) shift(now time.Time, pause time.Duration) {
	for _, m := range t.members {
		m.heard = earlier(m.heard.Add(pause), now)
	}
}

// forget drops processes that have long been silent and outdated notices.
func (t *table) forget(now time.Time) {
	for id, m := range t.members {
		if now.Sub(m.heard) > forgetAfter {
			delete(t.members, id)
		}
	}
	t.notices.forget(now, t.list)
}

// isNewest reports whether no known process of the same VM is newer.
func (t *table) isNewest(m *member) bool {
	if m.vm.Name == t.self.VM.Name {
		return false
	}
	for _, other := range t.members {
		if other != m && other.vm.Name == m.vm.Name && newerProcess(other.row, m.row) {
			return false
		}
	}
	return true
}

func newerProcess(a, b peer.EntryState) bool {
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	return a.Incarnation > b.Incarnation
}

// rival returns a live process of this VM's name that others hold for newer.
func (t *table) rival(now time.Time) (peer.EntryState, bool) {
	for _, m := range t.members {
		if m.vm.Name == t.self.VM.Name && !m.isSilent(now) && newerProcess(m.row, t.self.Row) {
			return m.row, true
		}
	}
	return peer.EntryState{}, false
}

func (m *member) isSilent(now time.Time) bool { return now.Sub(m.heard) > silentAfter }

// sign returns the sign as it is passed on at that time.
func (m *member) sign(now time.Time, id uint64) peer.Liveness {
	return peer.Liveness{ID: id, Counter: m.counter, Age: now.Sub(m.heard)}
}

// readiness is the share of callers that may choose the process first.
func (m *member) readiness(now time.Time) float64 {
	if m.since.IsZero() {
		return 1
	}
	return min(1, float64(now.Sub(m.since))/float64(rampTime))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
