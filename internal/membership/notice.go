package membership

import (
	"cmp"
	"slices"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
)

const (
	// maxNotices bounds the stored notices.
	maxNotices = 4096
	// maxNoticesPerMessage bounds the notices in one heartbeat,
	// maxOldNoticesPerMessage the old ones among them.
	maxNoticesPerMessage    = 32
	maxOldNoticesPerMessage = 2
)

// notice is the newest drain notice of one VM: a backend server, or an entry that
// a VM list reports as leaving.
type notice struct {
	peer.DrainNotice
	changed   time.Time
	sendCount int
}

// noticeTable holds the newest notice of each VM.
type noticeTable struct {
	byServer map[string]*notice
}

func newNoticeTable() noticeTable { return noticeTable{byServer: map[string]*notice{}} }

// reportLoad records the draining state from a load report and reports whether it
// is new. It does not override a VM list that reports the VM as leaving.
func (t noticeTable) reportLoad(now time.Time, server string, draining bool) bool {
	current := t.get(server)
	if current.Listed || current.Draining == draining {
		return false
	}
	return t.mergeOne(now, peer.DrainNotice{Server: server, Sequence: current.Sequence + 1, Draining: draining})
}

// reportList records the leaving state from a VM list and reports whether it is
// new.
func (t noticeTable) reportList(now time.Time, server string, leaving bool) bool {
	current := t.get(server)
	if current.Listed == leaving {
		return false
	}
	next := peer.DrainNotice{Server: server, Sequence: current.Sequence + 1, Draining: leaving, Listed: leaving}
	return t.mergeOne(now, next)
}

// get returns the newest notice, or the zero notice if there is none.
func (t noticeTable) get(server string) peer.DrainNotice {
	if n := t.byServer[server]; n != nil {
		return n.DrainNotice
	}
	return peer.DrainNotice{}
}

// merge merges notices from peers and reports whether one was new.
func (t noticeTable) merge(now time.Time, notices []peer.DrainNotice) bool {
	changed := false
	for _, n := range notices {
		if t.mergeOne(now, n) {
			changed = true
		}
	}
	return changed
}

func (t noticeTable) mergeOne(now time.Time, n peer.DrainNotice) bool {
	old := t.byServer[n.Server]
	if old == nil && len(t.byServer) >= maxNotices {
		return false
	}
	if old != nil && !newerNotice(n, old.DrainNotice) {
		return false
	}
	t.byServer[n.Server] = &notice{DrainNotice: n, changed: now}
	return true
}

// newerNotice reports whether a takes precedence over b. Of two notices with the
// same sequence, the one that sends less work to the VM wins.
func newerNotice(a, b peer.DrainNotice) bool {
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	if a.Draining != b.Draining {
		return a.Draining
	}
	return a.Listed && !b.Listed
}

// toSend returns the notices for one heartbeat: fresh ones, and a few old ones in
// rotation for peers that missed them.
func (t noticeTable) toSend() []peer.DrainNotice {
	all := make([]*notice, 0, len(t.byServer))
	for _, n := range t.byServer {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b *notice) int {
		return cmp.Or(cmp.Compare(a.sendCount, b.sendCount), cmp.Compare(a.Server, b.Server))
	})
	var out []peer.DrainNotice
	old := 0
	for _, n := range all {
		if n.sendCount >= freshSends {
			old++
		}
		if len(out) == maxNoticesPerMessage || old > maxOldNoticesPerMessage {
			break
		}
		n.sendCount++
		out = append(out, n.DrainNotice)
	}
	return out
}

// all returns every notice.
func (t noticeTable) all() []peer.DrainNotice {
	out := make([]peer.DrainNotice, 0, len(t.byServer))
	for _, n := range t.byServer {
		out = append(out, n.DrainNotice)
	}
	return out
}

func (t noticeTable) isDraining(server string) bool { return t.get(server).Draining }

// draining returns the servers that take no new work.
func (t noticeTable) draining() map[string]bool {
	out := map[string]bool{}
	for _, n := range t.byServer {
		if n.Draining {
			out[n.Server] = true
		}
	}
	return out
}

// forget removes outdated notices of VMs that are not in the VM list. It does
// nothing before the first VM list.
func (t noticeTable) forget(now time.Time, list vmList) {
	if !list.known() {
		return
	}
	for server, n := range t.byServer {
		if !list.has(server) && now.Sub(n.changed) > forgetAfter {
			delete(t.byServer, server)
		}
	}
}
