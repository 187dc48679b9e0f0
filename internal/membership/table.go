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
	// forgetAfter is how long a silent process and an outdated notice are kept.
	forgetAfter = 10 * time.Minute
	// rampTime is how long a new or returned entry takes to get its full share.
	rampTime = 10 * time.Second
	// maxMembers bounds the known processes.
	maxMembers = 1024
	// rowsPerMessage bounds the rows of one heartbeat, besides the sender's own.
	rowsPerMessage = 14
)

// member is a known process other than this one.
type member struct {
	row   peer.Row
	vm    fleet.VM
	named bool      // vm is known
	heard time.Time // when its counter last rose
	since time.Time // when it was first heard, or again after a silence
	sent  int       // how often the row was passed on since it changed
}

// table is the state of the membership. It does no I/O; its owner locks it.
type table struct {
	self    peer.Member
	started time.Time
	members map[string]*member
	notices noticeTable
	list    vmList
}

func newTable(self peer.Member, now time.Time) *table {
	return &table{
		self:    self,
		started: now,
		members: map[string]*member{},
		notices: newNoticeTable(),
	}
}

// merge takes in rows and returns the processes whose VM is not known.
func (t *table) merge(now time.Time, rows []peer.Row) (unnamed []string) {
	for _, r := range rows {
		if r.Incarnation == "" || r.Incarnation == t.self.Row.Incarnation {
			continue
		}
		m := t.mergeRow(now, r)
		if m != nil && !m.named {
			unnamed = append(unnamed, r.Incarnation)
		}
	}
	return unnamed
}

func (t *table) mergeRow(now time.Time, r peer.Row) *member {
	heard := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	m := t.members[r.Incarnation]
	if m == nil {
		if len(t.members) >= maxMembers || now.Sub(heard) > silentAfter {
			return nil
		}
		m = &member{since: t.firstSince(now)}
		t.members[r.Incarnation] = m
	}
	if m.row.Counter >= r.Counter {
		return m
	}
	if m.row.Counter > 0 && m.isSilent(now) {
		m.since = now
	}
	m.row = r
	m.heard = later(m.heard, heard)
	m.sent = 0
	return m
}

// firstSince is the start of a process's ramp. Those that were there when this
// process started are not ramped.
func (t *table) firstSince(now time.Time) time.Time {
	if now.Sub(t.started) < rampTime {
		return time.Time{}
	}
	return now
}

// describe takes in the VMs of processes.
func (t *table) describe(now time.Time, members []peer.Member) {
	for _, d := range members {
		if d.Row.Incarnation == t.self.Row.Incarnation {
			continue
		}
		m := t.mergeRow(now, d.Row)
		if m != nil && !m.named && d.VM.Name != "" {
			m.vm, m.named = d.VM, true
		}
	}
}

// described returns the asked processes, or all where none is named.
func (t *table) described(now time.Time, incarnations []string) []peer.Member {
	self := t.self
	all := []peer.Member{self}
	for _, m := range t.members {
		if m.named && !m.isSilent(now) {
			all = append(all, peer.Member{Row: m.rowAt(now), VM: m.vm})
		}
	}
	if len(incarnations) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(d peer.Member) bool {
		return !slices.Contains(incarnations, d.Row.Incarnation)
	})
}

// rowsToSend returns this process's row and those of others that were passed on
// least since they changed.
func (t *table) rowsToSend(now time.Time) []peer.Row {
	var others []*member
	for _, m := range t.members {
		if !m.isSilent(now) {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(a, b *member) int { return cmp.Compare(a.sent, b.sent) })
	rows := []peer.Row{t.self.Row}
	for _, m := range others[:min(len(others), rowsPerMessage)] {
		m.sent++
		rows = append(rows, m.rowAt(now))
	}
	return rows
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
		if other != m && other.named && other.vm.Name == m.vm.Name && newerProcess(other.row, m.row) {
			return false
		}
	}
	return true
}

func newerProcess(a, b peer.Row) bool {
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	return a.Incarnation > b.Incarnation
}

// rival returns a live process of this VM's name that others hold for newer.
func (t *table) rival(now time.Time) (peer.Row, bool) {
	for _, m := range t.members {
		if m.named && m.vm.Name == t.self.VM.Name && !m.isSilent(now) && newerProcess(m.row, t.self.Row) {
			return m.row, true
		}
	}
	return peer.Row{}, false
}

func (m *member) isSilent(now time.Time) bool { return now.Sub(m.heard) > silentAfter }

// rowAt returns the row as it is passed on at that time.
func (m *member) rowAt(now time.Time) peer.Row {
	r := m.row
	r.AgeMs = uint32(max(0, now.Sub(m.heard).Milliseconds()))
	return r
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
