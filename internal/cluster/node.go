package cluster

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// livenessTimeout is how long after its last heartbeat a member counts as live.
	// It spans seven heartbeats, so that a few lost datagrams don't matter, and is well
	// below the second that a caller allows for opening a connection.
	livenessTimeout = 500 * time.Millisecond
	// forgetAfter is how long a silent member stays in the member table.
	forgetAfter = 2 * time.Minute
	// silentGrace is how long after its last heartbeat a member may be among the silent ones of
	// a View.
	silentGrace = 20 * time.Second
	// maxListedSilence is how long after its last heartbeat an isolated member may still hand out
	// the address of a silent member to callers. A lost member must be in no endpoint list 6 s
	// after its loss, and callers use a list for up to 2 s.
	maxListedSilence = 3 * time.Second
	// helloInterval is the minimum time between two hellos to the same seed or silent
	// member.
	helloInterval = 250 * time.Millisecond
	// stableTime is how long the set of live members must be unchanged before a
	// different set at another member is treated as a real difference. A shorter
	// difference may only be due to a heartbeat in transit.
	stableTime = 100 * time.Millisecond
	// maxSyncBackoff bounds the pause between two requests for the members of others.
	maxSyncBackoff = 2 * time.Second
	// maxHellos bounds the hellos to seeds, and those to silent members, that are sent
	// with one heartbeat.
	maxHellos = 8
	// socketBuffer is the size of the datagram socket's receive buffer in bytes. It
	// holds the heartbeats of some hundred members for as long as a busy processor may
	// delay reading them.
	socketBuffer = 1 << 20
)

// PacketConn is a datagram socket; *net.UDPConn implements it. After Close, a pending or
// later read returns an error that wraps net.ErrClosed.
type PacketConn interface {
	WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error)
	ReadFromUDPAddrPort(buf []byte) (int, netip.AddrPort, error)
	SetReadBuffer(bytes int) error
	Close() error
}

// Options are the settings of a Node.
type Options struct {
	// Self describes this process.
	Self Member
	// Conn is the datagram socket, bound to Self.DatagramAddress.
	Conn PacketConn
	// OnHeartbeat is called with each heartbeat of another member. It must not block.
	OnHeartbeat func(from LiveMember, hb *Heartbeat)
	// OnChange is called after the set of live members, their Ready or Leaving status, or
	// the number of missing members has changed. It may be nil.
	OnChange func(*View)
	// Scope receives the counters. If it is nil, nothing is counted.
	Scope tally.Scope
}

// Node is this process's end of the cluster protocol. It is safe for concurrent use,
// except that SendHeartbeat must not be called concurrently with itself.
type Node struct {
	options      Options
	view         atomic.Pointer[View]
	sequence     atomic.Uint64
	relayCounter atomic.Uint64 // rotates over the relays of other zones
	// relayAddresses is derived from view, nil before its first use; see relayTable.
	relayAddresses atomic.Pointer[relayTable]
	queries        queries

	mu      sync.Mutex // guards the fields below
	members map[netip.AddrPort]*memberState
	order   []*memberState // members by VM name, nil after a change; see sortedMembers
	seeds   map[netip.AddrPort]*seed
	// configured are the seeds of the settings. They become seeds again once they are forgotten
	// as members.
	configured map[netip.AddrPort]bool
	status     Status    // of the last regular heartbeat
	statusAt   time.Time // when it was announced
	// syncWanted is set if other members may know members that this node does not.
	// lastExchange is when the node last began an exchange for that reason.
	syncWanted   bool
	lastExchange time.Time
	// directRequests counts the hellos requested from unknown senders since directSince.
	directSince    time.Time
	directRequests int
	// lastChange is when the set of live members last changed, lastSync when another
	// member was last asked for its members.
	lastChange, lastSync time.Time
	syncBackoff          time.Duration // doubles while the sets stay different
	heartbeats           int           // sent by SendHeartbeat
	intervals            int           // counted by HeartbeatDue
	relaying             relayState
	// returned counts the members that were heard again after they had been silent, and
	// returnedAfter is how long the last of them had been.
	returned      int
	returnedAfter time.Duration
}

// NewNode returns a node whose view contains only itself.
func NewNode(options Options) *Node {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	n := &Node{
		options: options, members: map[netip.AddrPort]*memberState{},
		seeds: map[netip.AddrPort]*seed{}, configured: map[netip.AddrPort]bool{},
	}
	n.relaying.usedSince, n.relaying.lastBatch = map[netip.AddrPort]time.Time{}, map[netip.AddrPort]time.Time{}
	n.view.Store(&View{Live: []LiveMember{newLiveMember(options.Self, Status{}, time.Time{})}, Known: 1})
	return n
}

// View returns the cluster as this member sees it.
func (n *Node) View() *View { return n.view.Load() }

func (n *Node) send(to netip.AddrPort, data []byte) {
	if _, err := n.options.Conn.WriteToUDPAddrPort(data, to); err != nil {
		n.count("send_errors")
	}
}

// SendUpdate sends a heartbeat outside the regular interval, with the status of the
// last regular one, in which only the age of the last read of the store is that of now.
// In a large cluster it goes to this zone only.
func (n *Node) SendUpdate(hb *Heartbeat, now time.Time) {
	hb.Status = n.currentStatus(now)
	n.broadcast(n.encode(hb), now)
}

// HeartbeatDue reports whether this regular interval has a heartbeat with the status, and
// counts it. In a very large cluster only every sparseEvery-th interval has, and each at
// which the status has changed. It must be called once an interval, and not concurrently
// with itself.
func (n *Node) HeartbeatDue(status Status) bool {
	n.intervals++
	if !n.View().IsSparse() || n.intervals%sparseEvery == 0 {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return !status.sameAnnouncement(n.status)
}

// SendHeartbeat sends a heartbeat to all live members, and hellos to seeds and silent
// members where they are due. It fills in the incarnation, sequence and members hash of
// the heartbeat.
func (n *Node) SendHeartbeat(hb *Heartbeat, now time.Time) {
	n.mu.Lock()
	announces := !hb.sameAnnouncement(n.status) && hb.StoreReadAge < announceAge
	n.status, n.statusAt = hb.Status, now
	n.mu.Unlock()
	n.Refresh(now)
	parts := n.encode(hb)
	n.broadcast(parts, now)
	n.sendCrossZone(parts, announces)
	n.sendDirect(now)
	n.sendDueHellos(now)
}

// encode returns the encoded heartbeat, split into parts that fit into one packet each.
func (n *Node) encode(hb *Heartbeat) [][]byte {
	const encodedReportBytes = 12 // approximate size of a LoadReport, RequestCounts or RequestLimit
	const crashReportSize = 3     // of a CrashReport, in encodedReportBytes; a WarmUp counts as one
	const maxPerPart = maxHeartbeatBytes / encodedReportBytes
	var parts [][]byte
	rest := *hb
	for {
		part := rest
		part.Incarnation = n.options.Self.Incarnation
		part.Sequence = n.sequence.Add(1)
		part.MembersHash = n.View().liveHash
		part.Reports = rest.Reports[:min(maxPerPart, len(rest.Reports))]
		remaining := maxPerPart - len(part.Reports)
		part.RequestCounts = rest.RequestCounts[:min(remaining, len(rest.RequestCounts))]
		remaining -= len(part.RequestCounts)
		part.RequestLimits = rest.RequestLimits[:min(remaining, len(rest.RequestLimits))]
		remaining -= len(part.RequestLimits)
		part.CrashReports = rest.CrashReports[:min(remaining/crashReportSize, len(rest.CrashReports))]
		remaining -= crashReportSize * len(part.CrashReports)
		part.WarmUps = rest.WarmUps[:min(remaining, len(rest.WarmUps))]
		parts = append(parts, part.append(nil))
		rest.Reports = rest.Reports[len(part.Reports):]
		rest.RequestCounts = rest.RequestCounts[len(part.RequestCounts):]
		rest.RequestLimits = rest.RequestLimits[len(part.RequestLimits):]
		rest.CrashReports = rest.CrashReports[len(part.CrashReports):]
		rest.WarmUps = rest.WarmUps[len(part.WarmUps):]
		if len(rest.Reports)+len(rest.RequestCounts)+len(rest.RequestLimits)+len(rest.CrashReports)+len(rest.WarmUps) == 0 {
			return parts
		}
	}
}

// Refresh recomputes the view and calls OnChange if the members have changed.
func (n *Node) Refresh(now time.Time) {
	n.mu.Lock()
	self := newLiveMember(n.options.Self, n.status, now)
	v := &View{
		Live: make([]LiveMember, 0, 1+len(n.members)), Known: 1 + len(n.members),
		Returned: n.returned, ReturnedAfter: n.returnedAfter, computedAt: now,
	}
	selfAdded := false
	for _, m := range n.sortedMembers() {
		if !selfAdded && compareVM(self.VM, m.VM) < 0 {
			v.Live, selfAdded = append(v.Live, self), true
		}
		silent := now.Sub(m.LastSeen)
		switch {
		case silent <= n.timeoutOf(&m.LiveMember):
			v.Live = append(v.Live, m.LiveMember)
		case silent <= silentGrace && m.Ready && !m.Leaving:
			v.Silent = append(v.Silent, m.LiveMember)
		}
		if silent > n.timeoutOf(&m.LiveMember) && !m.Leaving {
			v.Missing++
			v.LongestSilence = max(v.LongestSilence, silent)
		}
	}
	if !selfAdded {
		v.Live = append(v.Live, self)
	}
	v.computeHashes()
	old := n.view.Swap(v)
	if old.liveHash != v.liveHash {
		n.lastChange = now
	}
	n.mu.Unlock()
	if n.options.OnChange != nil && (!sameMembers(old.Live, v.Live) || old.Missing != v.Missing) {
		n.options.OnChange(v)
	}
}

func compareVM(a, b string) int { return cmp.Compare(a, b) }

func sameMembers(a, b []LiveMember) bool {
	return slices.EqualFunc(a, b, func(x, y LiveMember) bool {
		return x.VM == y.VM && x.Incarnation == y.Incarnation && x.Ready == y.Ready && x.Leaving == y.Leaving
	})
}

// RunEvery calls round at the interval until ctx is done.
func RunEvery(ctx context.Context, interval time.Duration, round func(ctx context.Context, now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			round(ctx, now)
		}
	}
}

// noteReturn records that a silent member is heard again. The members that it knows may be others.
// The caller holds n.mu.
func (n *Node) noteReturn(silence time.Duration) {
	n.syncWanted = true
	n.returned++
	n.returnedAfter = silence
	n.count("returned")
}

func (n *Node) count(name string) { n.options.Scope.Counter("mesh_" + name).Inc(1) }

// Close closes the socket, which ends Receive.
func (n *Node) Close() error { return n.options.Conn.Close() }
