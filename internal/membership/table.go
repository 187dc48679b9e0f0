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
	// livenessTimeout is the time without a rise of an entry's liveness counter
	// after which the entry counts as silent.
	livenessTimeout = 6 * time.Second
	// suspectAfter is the time without a rise of an entry's liveness counter after
	// which the entry itself is contacted, instead of the next peer in rotation.
	suspectAfter = 4 * time.Second
	// suspectProbeInterval is the minimum time between two such heartbeats to one
	// entry.
	suspectProbeInterval = time.Second
	// maxListedSilence is the time since the last rise of an entry's liveness counter up to which
	// an entry to which all others are silent still lists it for callers.
	maxListedSilence = 20 * time.Second
	// forgetAfter is how long a silent process and an outdated notice are retained.
	forgetAfter = 10 * time.Minute
	// slowStartTime is how long a new or returned entry takes to reach its full
	// share of callers.
	slowStartTime = 10 * time.Second
	// maxMembers bounds the known processes.
	maxMembers = 1024
	// maxLivenessPerMessage bounds the liveness counters in one heartbeat, not
	// counting the sender's own.
	maxLivenessPerMessage = 48
	// freshSends is the number of times that an entry state or notice is sent
	// before it counts as old.
	freshSends = 8
	// offsetChangeSends is the number of times that an entry state is sent as fresh
	// after a change of its offset alone. Fewer are enough, as peers also receive
	// the offset from the entry itself.
	offsetChangeSends = 3
	// maxStatesPerMessage bounds the entry states of other members in one
	// heartbeat, maxOldStatesPerMessage the old ones among them.
	maxStatesPerMessage    = 16
	maxOldStatesPerMessage = 1
)

// member is a known process other than this one.
type member struct {
	state          peer.EntryState
	vm             fleet.VM
	counter        uint64
	lastSeen       time.Time // when its liveness counter last rose
	slowStartBegin time.Time // when it was first seen, or seen again after it was silent; zero for no slow start
	lastProbe      time.Time // when it was last contacted as a suspect
	sendCount      int       // how often the state was sent since it changed
}

// table is the state of the membership. It does no I/O; its Membership locks it.
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

// mergeLiveness merges liveness counters and returns the short ids of live
// processes that are unknown.
func (t *table) mergeLiveness(now time.Time, list peer.LivenessList) (unknown []uint64) {
	for _, l := range list {
		m := t.members[l.ID]
		switch {
		case m != nil:
			m.observeLiveness(now, l)
		case l.ID != t.self.Sign.ID && l.Age <= livenessTimeout:
			unknown = append(unknown, l.ID)
		}
	}
	return unknown
}

// observeLiveness updates the liveness counter and the last-seen time if the
// counter rose. A member that was silent begins a slow start.
func (m *member) observeLiveness(now time.Time, l peer.Liveness) {
	if l.Counter <= m.counter {
		return
	}
	if m.isSilent(now) {
		m.slowStartBegin = now
	}
	m.counter = l.Counter
	m.lastSeen = later(m.lastSeen, now.Add(-l.Age))
}

// mergeStates merges newer states of known members. It reports whether the
// draining state of one changed.
func (t *table) mergeStates(states []peer.EntryState) (changed bool) {
	for _, s := range states {
		m := t.members[peer.ShortID(s.Incarnation)]
		if m == nil || s.Version <= m.state.Version {
			continue
		}
		changed = changed || s.Draining != m.state.Draining
		if onlyOffsetDiffers(m.state, s) {
			m.sendCount = min(m.sendCount, freshSends-offsetChangeSends)
		} else {
			m.sendCount = 0
		}
		m.state = s
	}
	return changed
}

// onlyOffsetDiffers reports whether a newer entry state differs only in its offset
// of the config stream and the fingerprint there.
func onlyOffsetDiffers(old, next peer.EntryState) bool {
	next.Version, next.Offset, next.State = old.Version, old.Offset, old.State
	return next == old
}

// addMembers adds unknown live members from a peer and reports whether there were
// any.
func (t *table) addMembers(now time.Time, members []peer.Member) (added bool) {
	for _, found := range members {
		id := peer.ShortID(found.Row.Incarnation)
		isStale := found.Sign.Age > livenessTimeout || found.VM.Name == ""
		if t.members[id] != nil || id == t.self.Sign.ID || isStale || len(t.members) >= maxMembers {
			continue
		}
		t.members[id] = &member{
			state:          found.Row,
			vm:             found.VM,
			counter:        found.Sign.Counter,
			lastSeen:       now.Add(-found.Sign.Age),
			slowStartBegin: t.initialSlowStart(now),
		}
		added = true
	}
	return added
}

// initialSlowStart returns the begin of a new member's slow start. Members that
// were running when this process started get no slow start, so it is zero within
// slowStartTime after the start.
func (t *table) initialSlowStart(now time.Time) time.Time {
	if now.Sub(t.started) < slowStartTime {
		return time.Time{}
	}
	return now
}

// membersByID returns the live members with the given short ids, or all live
// members if ids is empty. This process is one of them.
func (t *table) membersByID(now time.Time, ids []uint64) []peer.Member {
	var out []peer.Member
	if len(ids) == 0 || slices.Contains(ids, t.self.Sign.ID) {
		out = append(out, t.self)
	}
	for id, m := range t.members {
		isRequested := len(ids) == 0 || slices.Contains(ids, id)
		if isRequested && !m.isSilent(now) {
			out = append(out, peer.Member{Sign: m.liveness(now, id), Row: m.state, VM: m.vm})
		}
	}
	return out
}

// livenessToSend returns this process's liveness counter and the most recent ones
// of others, without those that the receiver is known to have.
func (t *table) livenessToSend(now time.Time, known peer.LivenessList) peer.LivenessList {
	counters := make(map[uint64]uint64, len(known))
	for _, l := range known {
		counters[l.ID] = l.Counter
	}
	list := make(peer.LivenessList, 0, len(t.members)+1)
	for id, m := range t.members {
		if !m.isSilent(now) && m.counter > counters[id] {
			list = append(list, m.liveness(now, id))
		}
	}
	slices.SortFunc(list, func(a, b peer.Liveness) int { return cmp.Compare(a.Age, b.Age) })
	list = list[:min(len(list), maxLivenessPerMessage)]
	return append(list, t.self.Sign)
}

// statesToSend returns the states of other members that changed, and an old one in
// rotation for peers that missed it.
func (t *table) statesToSend(now time.Time) []peer.EntryState {
	live := make([]*member, 0, len(t.members))
	for _, m := range t.members {
		if !m.isSilent(now) {
			live = append(live, m)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	slices.SortStableFunc(live, func(a, b *member) int { return cmp.Compare(a.sendCount, b.sendCount) })
	var states []peer.EntryState
	old := 0
	for _, m := range live {
		if m.sendCount >= freshSends {
			old++
		}
		if len(states) == maxStatesPerMessage || old > maxOldStatesPerMessage {
			break
		}
		m.sendCount++
		states = append(states, m.state)
	}
	return states
}

// suspect returns the live member with the oldest last-seen time beyond
// suspectAfter, unless it was contacted recently. It returns nil if there is none.
func (t *table) suspect(now time.Time) *member {
	var oldest *member
	for _, m := range t.members {
		isSuspect := !m.isSilent(now) && now.Sub(m.lastSeen) > suspectAfter
		if !isSuspect || now.Sub(m.lastProbe) < suspectProbeInterval {
			continue
		}
		if oldest == nil || m.lastSeen.Before(oldest.lastSeen) {
			oldest = m
		}
	}
	return oldest
}

// mostAdvanced returns the peer address of the live member with the highest offset
// of the config stream, and that offset; -1 if there is none.
func (t *table) mostAdvanced(now time.Time) (address string, offset int64) {
	offset = -1
	for _, m := range t.members {
		if !m.isSilent(now) && m.state.Offset > offset {
			address, offset = m.vm.PeerAddress, m.state.Offset
		}
	}
	return address, offset
}

// newestSnapshot returns the offset of the newest snapshot that any member has
// reported, -1 for none.
func (t *table) newestSnapshot() int64 {
	newest := int64(-1)
	for _, m := range t.members {
		newest = max(newest, m.state.Snapshot)
	}
	return newest
}

// compensatePause moves all last-seen times forward by the length of a pause of
// this process, during which it could receive no heartbeats.
func (t *table) compensatePause(now time.Time, pause time.Duration) {
	for _, m := range t.members {
		m.lastSeen = earlier(m.lastSeen.Add(pause), now)
	}
}

// forget removes members that have been silent for longer than forgetAfter, and
// outdated notices.
func (t *table) forget(now time.Time) {
	for id, m := range t.members {
		if now.Sub(m.lastSeen) > forgetAfter {
			delete(t.members, id)
		}
	}
	t.notices.forget(now, t.list)
}

// isNewest reports whether no other known process of the same VM is newer. A
// process with this entry's VM name is never the newest.
func (t *table) isNewest(m *member) bool {
	if m.vm.Name == t.self.VM.Name {
		return false
	}
	for _, other := range t.members {
		if other != m && other.vm.Name == m.vm.Name && newerProcess(other.state, m.state) {
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

// newerDuplicate returns a live process with this entry's VM name that counts as
// newer, and false if there is none.
func (t *table) newerDuplicate(now time.Time) (peer.EntryState, bool) {
	for _, m := range t.members {
		if m.vm.Name == t.self.VM.Name && !m.isSilent(now) && newerProcess(m.state, t.self.Row) {
			return m.state, true
		}
	}
	return peer.EntryState{}, false
}

func (m *member) isSilent(now time.Time) bool { return now.Sub(m.lastSeen) > livenessTimeout }

// liveness returns the member's liveness counter and its age at the given time.
func (m *member) liveness(now time.Time, id uint64) peer.Liveness {
	return peer.Liveness{ID: id, Counter: m.counter, Age: now.Sub(m.lastSeen)}
}

// slowStartShare returns the share of callers (0 to 1) that may get the process as
// their first choice.
func (m *member) slowStartShare(now time.Time) float64 {
	if m.slowStartBegin.IsZero() {
		return 1
	}
	return min(1, float64(now.Sub(m.slowStartBegin))/float64(slowStartTime))
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
