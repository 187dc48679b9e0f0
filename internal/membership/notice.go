package membership

import (
	"cmp"
	"slices"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
)

const (
	// maxNotices bounds the kept notices.
	maxNotices = 4096
	// freshPerMessage and oldPerMessage bound the notices of one heartbeat.
	freshPerMessage = 32
	oldPerMessage   = 2
)

// notice is the newest word on one VM: a backend server, or an entry that the VM
// list calls leaving.
type notice struct {
	peer.DrainNotice
	changed time.Time
	sent    int
}

// noticeTable holds the newest notice of each VM.
type noticeTable struct {
	byServer map[string]*notice
}

func newNoticeTable() noticeTable { return noticeTable{byServer: map[string]*notice{}} }

// reportLoad records what a load report says, and reports whether it is new.
func (t noticeTable) reportLoad(now time.Time, server string, draining bool) bool {
	n := t.get(server)
	if n.Listed || n.Draining == draining {
		return false
	}
	return t.mergeOne(now, peer.DrainNotice{Server: server, Sequence: n.Sequence + 1, Draining: draining})
}

// reportList records what the VM list says, and reports whether it is new.
func (t noticeTable) reportList(now time.Time, server string, leaving bool) bool {
	n := t.get(server)
	if n.Listed == leaving {
		return false
	}
	next := peer.DrainNotice{Server: server, Sequence: n.Sequence + 1, Draining: leaving, Listed: leaving}
	return t.mergeOne(now, next)
}

// get returns the newest notice, the zero one where there is none.
func (t noticeTable) get(server string) peer.DrainNotice {
	if n := t.byServer[server]; n != nil {
		return n.DrainNotice
	}
	return peer.DrainNotice{}
}

// merge takes in notices of peers and reports whether one was new.
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

// newerNotice orders notices; of two with the same sequence, the one holds that
// sends less work.
func newerNotice(a, b peer.DrainNotice) bool {
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	if a.Draining != b.Draining {
		return a.Draining
	}
	return a.Listed && !b.Listed
}

// toSend returns fresh notices, and a few old ones in turn for those that
// missed them.
func (t noticeTable) toSend() []peer.DrainNotice {
	all := make([]*notice, 0, len(t.byServer))
	for _, n := range t.byServer {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b *notice) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.Server, b.Server))
	})
	var out []peer.DrainNotice
	old := 0
	for _, n := range all {
		if n.sent >= freshSends {
			old++
		}
		if len(out) == freshPerMessage || old > oldPerMessage {
			break
		}
		n.sent++
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

// forget drops the notices of servers that have long left a known VM list.
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
