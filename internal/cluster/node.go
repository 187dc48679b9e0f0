package cluster

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// aliveFor is how long after its last beat a member counts as live: seven
	// beats, so that lost datagrams don't matter, and little beside the second
	// that a caller allows a connection.
	aliveFor = 500 * time.Millisecond
	// rememberFor is how long a silent member is still known.
	rememberFor = 2 * time.Minute
	// silentFor is how long a silent member may still be named to callers by one
	// that is cut off.
	silentFor = 20 * time.Second
	// helloInterval is how often a member introduces itself to those that it
	// knows and does not hear.
	helloInterval = 250 * time.Millisecond
	// settleTime is how long the set of members must stay before a difference to
	// that of another member is more than a beat on its way.
	settleTime = 100 * time.Millisecond
	// longestAskPause bounds the pause between two such questions.
	longestAskPause = 2 * time.Second
	// mostOthers bounds the members that one introduction tells of, so that it
	// fits into a datagram.
	mostOthers = 200
	// mostHellos bounds the introductions of one interval.
	mostHellos = 32
	// socketBuffer is the receive buffer of the datagram socket in bytes: the
	// beats of some hundred members for as long as a busy processor may take.
	socketBuffer = 1 << 20
)

// Options are the settings of a Node.
type Options struct {
	// Self is this process.
	Self Member
	// Conn is the datagram socket, bound to Self.DatagramAddress.
	Conn *net.UDPConn
	// OnHeartbeat takes in the beat of another member; it must not block.
	OnHeartbeat func(from LiveMember, b *Heartbeat)
	// OnChange is told that the set of live members has changed; nil is told nothing.
	OnChange func(*View)
	// Scope receives the counters; nil counts nowhere.
	Scope tally.Scope
}

// row is one known member.
type row struct {
	LiveMember
	sequence uint64
	greeted  time.Time
}

// Node is this process's part of the mesh. It is safe for concurrent use.
type Node struct {
	options  Options
	view     atomic.Pointer[View]
	sequence atomic.Uint64
	turn     atomic.Uint64 // of the collectors of other zones

	mu    sync.Mutex // guards the fields below
	rows  map[netip.AddrPort]*row
	seeds map[netip.AddrPort]time.Time // addresses to greet, with the last greeting
	own   Status
	// changed is when the set of live members changed last, asked when another
	// member was asked for its set.
	changed, asked time.Time
	askPause       time.Duration // doubles while the sets stay different
	beats          int
	collection     collection
}

// NewNode returns a node that knows itself only.
func NewNode(options Options) *Node {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	n := &Node{options: options, rows: map[netip.AddrPort]*row{}, seeds: map[netip.AddrPort]time.Time{}}
	n.collection.used, n.collection.heard = map[netip.AddrPort]time.Time{}, map[netip.AddrPort]time.Time{}
	n.view.Store(&View{Live: []LiveMember{heardMember(options.Self, Status{}, time.Time{})}, Known: 1})
	return n
}

// View returns the members as this one sees them.
func (n *Node) View() *View { return n.view.Load() }

func (n *Node) send(to netip.AddrPort, data []byte) {
	if _, err := n.options.Conn.WriteToUDPAddrPort(data, to); err != nil {
		n.count("send_errors")
	}
}

// SendUpdate sends a beat with the status of the one before.
func (n *Node) SendUpdate(b *Heartbeat, now time.Time) {
	n.mu.Lock()
	b.Status = n.own
	n.mu.Unlock()
	n.sendNear(n.encode(b), now)
}

// Send sends a beat to all live members, and introduces this one where it is
// due. Incarnation and sequence of the beat are filled in.
func (n *Node) Send(b *Heartbeat, now time.Time) {
	n.mu.Lock()
	n.own = b.Status
	n.mu.Unlock()
	n.Refresh(now)
	parts := n.encode(b)
	n.sendNear(parts, now)
	n.sendFar(parts)
	for _, to := range n.dueHellos(now) {
		n.sendHello(to, true, false)
	}
}

// encode returns the beat in parts of one packet each.
func (n *Node) encode(b *Heartbeat) [][]byte {
	const reportBytes = 12 // of an encoded report or outcome, about
	const perPart = beatBytes / reportBytes
	var parts [][]byte
	rest := *b
	for {
		part := rest
		part.Incarnation = n.options.Self.Incarnation
		part.Sequence = n.sequence.Add(1)
		part.MembersHash = n.View().set
		part.Reports = rest.Reports[:min(perPart, len(rest.Reports))]
		room := perPart - len(part.Reports)
		part.RequestCounts = rest.RequestCounts[:min(room, len(rest.RequestCounts))]
		parts = append(parts, part.append(nil))
		rest.Reports = rest.Reports[len(part.Reports):]
		rest.RequestCounts = rest.RequestCounts[len(part.RequestCounts):]
		if len(rest.Reports)+len(rest.RequestCounts) == 0 {
			return parts
		}
	}
}

// Refresh makes the view anew.
func (n *Node) Refresh(now time.Time) {
	n.mu.Lock()
	self := heardMember(n.options.Self, n.own, now)
	v := &View{Live: []LiveMember{self}, Known: 1 + len(n.rows)}
	for _, r := range n.rows {
		silent := now.Sub(r.LastSeen)
		switch {
		case silent <= n.aliveFor(&r.LiveMember):
			v.Live = append(v.Live, r.LiveMember)
		case silent <= silentFor && r.Ready && !r.Leaving:
			v.Silent = append(v.Silent, r.LiveMember)
		}
	}
	slices.SortFunc(v.Live, func(a, b LiveMember) int { return cmp.Compare(a.VM, b.VM) })
	v.sum()
	old := n.view.Swap(v)
	if old.set != v.set {
		n.changed = now
	}
	n.mu.Unlock()
	if n.options.OnChange != nil && !sameMembers(old.Live, v.Live) {
		n.options.OnChange(v)
	}
}

func sameMembers(a, b []LiveMember) bool {
	return slices.EqualFunc(a, b, func(x, y LiveMember) bool {
		return x.VM == y.VM && x.Incarnation == y.Incarnation && x.Ready == y.Ready && x.Leaving == y.Leaving
	})
}

// RunEvery calls round at the interval until ctx ends.
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

func (n *Node) count(name string) { n.options.Scope.Counter("mesh_" + name).Inc(1) }

// Close closes the socket, which ends Receive.
func (n *Node) Close() error { return n.options.Conn.Close() }
