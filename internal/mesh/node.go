package mesh

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// aliveFor is how long after its last beat a member counts as live: a dozen
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
	// Conn is the datagram socket, bound to Self.Datagrams.
	Conn *net.UDPConn
	// Handle takes in the beat of another member; it must not block.
	Handle func(from Live, b *Beat)
	// Changed is told that the set of live members has changed; nil is told nothing.
	Changed func(*View)
	// Scope receives the counters; nil counts nowhere.
	Scope tally.Scope
}

// row is one known member.
type row struct {
	Live
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
	n.view.Store(&View{Live: []Live{{Member: options.Self, mark: markOf(options.Self)}}, Known: 1})
	return n
}

// View returns the members as this one sees them.
func (n *Node) View() *View { return n.view.Load() }

// Greet adds addresses at which other members may be found.
func (n *Node) Greet(addresses ...netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		if _, known := n.seeds[a]; !known && a != n.options.Self.Datagrams {
			n.seeds[a] = time.Time{}
		}
	}
}

// Receive reads datagrams until the socket is closed.
func (n *Node) Receive() error {
	// A smaller buffer only loses datagrams under load.
	_ = n.options.Conn.SetReadBuffer(socketBuffer)
	buf := make([]byte, maxDatagram)
	for {
		size, from, err := n.options.Conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			n.count("receive_errors")
			continue
		}
		n.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:size])
	}
}

func (n *Node) receive(from netip.AddrPort, data []byte) {
	if len(data) == 0 {
		return
	}
	switch data[0] {
	case kindBeat:
		b, err := decodeBeat(data[1:])
		if err != nil {
			n.count("malformed")
			return
		}
		n.hear(from, &b, time.Now())
	case kindHello:
		h, err := decodeHello(data[1:])
		if err != nil {
			n.count("malformed")
			return
		}
		n.meet(from, h, time.Now())
	case kindCollect:
		n.collect(from, data[1:])
	case kindDigest:
		n.digested(from, data[1:])
	default:
		n.count("malformed")
	}
}

// hear takes in a beat. A sender that is not known is asked who it is.
func (n *Node) hear(from netip.AddrPort, b *Beat, now time.Time) {
	n.mu.Lock()
	r := n.rows[from]
	if r == nil || r.Incarnation != b.Incarnation {
		n.mu.Unlock()
		n.greetNow(from, now)
		return
	}
	if b.Sequence <= r.sequence {
		// It came another way than a later one: only what it carries is news.
		live := r.Live
		live.Status = b.Status
		n.mu.Unlock()
		n.options.Handle(live, b)
		return
	}
	ask := n.differs(b, now)
	news := now.Sub(r.Heard) > n.aliveFor(&r.Live) || r.Ready != b.Ready || r.Leaving != b.Leaving
	r.sequence = b.Sequence
	r.Status = b.Status
	r.Heard = now
	live := r.Live
	n.mu.Unlock()
	if ask {
		n.sendHello(from, true, true)
	}
	n.options.Handle(live, b)
	if news {
		n.Refresh(now)
	}
}

// differs reports whether the sender sees other members than this one and is to
// be asked for them now. The lock is held.
func (n *Node) differs(b *Beat, now time.Time) bool {
	if b.Set == n.View().set {
		n.askPause = helloInterval
		return false
	}
	if now.Sub(n.changed) < settleTime || now.Sub(n.asked) < n.askPause {
		return false
	}
	n.asked = now
	n.askPause = min(2*max(n.askPause, helloInterval), longestAskPause)
	return true
}

// greetNow asks an unknown sender at once, but seldom for one address.
func (n *Node) greetNow(to netip.AddrPort, now time.Time) {
	n.mu.Lock()
	last := n.seeds[to]
	due := now.Sub(last) > helloInterval
	if due {
		n.seeds[to] = now
	}
	n.mu.Unlock()
	if due {
		n.sendHello(to, true, false)
	}
}

// meet takes in an introduction.
func (n *Node) meet(from netip.AddrPort, h *hello, now time.Time) {
	if h.From.Datagrams != from || from == n.options.Self.Datagrams {
		n.count("malformed")
		return
	}
	n.mu.Lock()
	r := n.rows[from]
	isNew := r == nil || r.Incarnation < h.From.Incarnation
	if isNew {
		n.rows[from] = &row{Live: Live{Member: h.From, Heard: now, mark: markOf(h.From)}}
	}
	delete(n.seeds, from)
	for _, other := range h.Others {
		n.learn(other)
	}
	n.mu.Unlock()
	if h.Answer || h.Tell {
		n.sendHello(from, false, false)
	}
	if h.Tell || isNew && h.Answer {
		n.tell(from)
	}
	if isNew {
		n.count("met")
		n.Refresh(now)
	}
}

// learn notes where another member may be found. The lock is held.
func (n *Node) learn(address netip.AddrPort) {
	if address == n.options.Self.Datagrams || n.rows[address] != nil {
		return
	}
	if _, known := n.seeds[address]; !known {
		n.seeds[address] = time.Time{}
	}
}

// sendHello introduces this member, and asks for an introduction in return and
// for the members that the other one hears.
func (n *Node) sendHello(to netip.AddrPort, answer, tell bool) {
	n.sendEncoded(to, &hello{From: n.options.Self, Answer: answer, Tell: tell})
}

// tell names the members that this one hears, a random part of them where they
// are many.
func (n *Node) tell(to netip.AddrPort) {
	h := &hello{From: n.options.Self}
	for _, m := range n.View().Live {
		if m.VM != n.options.Self.VM && m.Datagrams != to {
			h.Others = append(h.Others, m.Datagrams)
		}
	}
	if len(h.Others) > mostOthers {
		rand.Shuffle(len(h.Others), func(i, j int) { h.Others[i], h.Others[j] = h.Others[j], h.Others[i] })
		h.Others = h.Others[:mostOthers]
	}
	n.sendEncoded(to, h)
}

func (n *Node) sendEncoded(to netip.AddrPort, h *hello) {
	data, err := h.encode()
	if err != nil {
		n.count("encode_errors")
		return
	}
	n.send(to, data)
}

func (n *Node) send(to netip.AddrPort, data []byte) {
	if _, err := n.options.Conn.WriteToUDPAddrPort(data, to); err != nil {
		n.count("send_errors")
	}
}

// SendNews sends a beat with the status of the one before.
func (n *Node) SendNews(b *Beat, now time.Time) {
	n.mu.Lock()
	b.Status = n.own
	n.mu.Unlock()
	n.sendNear(n.encode(b), now)
}

// Send sends a beat to all live members, and introduces this one where it is
// due. Incarnation and sequence of the beat are filled in.
func (n *Node) Send(b *Beat, now time.Time) {
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
func (n *Node) encode(b *Beat) [][]byte {
	const reportBytes = 12 // of an encoded report or outcome, about
	const perPart = beatBytes / reportBytes
	var parts [][]byte
	rest := *b
	for {
		part := rest
		part.Incarnation = n.options.Self.Incarnation
		part.Sequence = n.sequence.Add(1)
		part.Set = n.View().set
		part.Reports = rest.Reports[:min(perPart, len(rest.Reports))]
		room := perPart - len(part.Reports)
		part.Outcomes = rest.Outcomes[:min(room, len(rest.Outcomes))]
		parts = append(parts, part.append(nil))
		rest.Reports = rest.Reports[len(part.Reports):]
		rest.Outcomes = rest.Outcomes[len(part.Outcomes):]
		if len(rest.Reports)+len(rest.Outcomes) == 0 {
			return parts
		}
	}
}

// dueHellos are the addresses to greet now: unknown ones, and silent members.
func (n *Node) dueHellos(now time.Time) []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	var due []netip.AddrPort
	for address, last := range n.seeds {
		if len(due) < mostHellos && now.Sub(last) > helloInterval {
			n.seeds[address] = now
			due = append(due, address)
		}
	}
	for address, r := range n.rows {
		silent := now.Sub(r.Heard)
		if silent > rememberFor {
			delete(n.rows, address)
			continue
		}
		// The longer a member is silent, the less often it is greeted.
		if silent > n.aliveFor(&r.Live) && len(due) < mostHellos && now.Sub(r.greeted) > max(helloInterval, silent/4) {
			r.greeted = now
			due = append(due, address)
		}
	}
	return due
}

// Refresh makes the view anew.
func (n *Node) Refresh(now time.Time) {
	n.mu.Lock()
	self := Live{Member: n.options.Self, Status: n.own, Heard: now, mark: markOf(n.options.Self)}
	v := &View{Live: []Live{self}, Known: 1 + len(n.rows)}
	for _, r := range n.rows {
		silent := now.Sub(r.Heard)
		switch {
		case silent <= n.aliveFor(&r.Live):
			v.Live = append(v.Live, r.Live)
		case silent <= silentFor && r.Ready && !r.Leaving:
			v.Silent = append(v.Silent, r.Live)
		}
	}
	slices.SortFunc(v.Live, func(a, b Live) int { return cmp.Compare(a.VM, b.VM) })
	v.sum()
	old := n.view.Swap(v)
	if old.set != v.set {
		n.changed = now
	}
	n.mu.Unlock()
	if n.options.Changed != nil && !sameMembers(old.Live, v.Live) {
		n.options.Changed(v)
	}
}

func sameMembers(a, b []Live) bool {
	return slices.EqualFunc(a, b, func(x, y Live) bool {
		return x.VM == y.VM && x.Incarnation == y.Incarnation && x.Ready == y.Ready && x.Leaving == y.Leaving
	})
}

// Run calls round at the interval until ctx ends.
func Run(ctx context.Context, interval time.Duration, round func(ctx context.Context, now time.Time)) {
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
