package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// callTimeout is the longest call in the tests' tree.
const callTimeout = 3 * time.Second

// scopeOfTest is what the tests' calls belong to.
var scopeOfTest = tree.Scope{Member: "m", Service: "s", Rank: "lookups"}

// record is one record of the world's log.
type record struct {
	claim seat.Claim
	rate  int // a change of the limits, if not zero
	calls int
	seats int
}

// node is one entry in a world.
type node struct {
	*book
	name                         string
	skew                         time.Duration
	alive, paused, severed, gone bool
	applied                      int
	rate, calls, seats           int
	table                        seat.Table
	inProgress                   []call
}

type call struct {
	start  time.Duration
	limits []*account
	ended  bool // by its deadline, though the entry may not know yet
}

type message struct {
	from, to string
	order    order
	reply    *peer.BorrowReply
	failed   bool
}

// used is the largest limits that some entry had in force until a time.
type used struct {
	until       time.Duration
	rate, calls int
}

// world is entries, a log and a network in virtual time.
type world struct {
	now      time.Duration
	logDown  bool
	log      []record
	nodes    []*node
	messages []message
	starts   []time.Duration
	former   []used
	random   *rand.Rand
}

func newWorld(entries, seats, rate, calls int) *world {
	w := &world{now: time.Hour, random: rand.New(rand.NewPCG(1, 2))}
	w.log = []record{{rate: rate, calls: calls, seats: seats}}
	for range entries {
		w.join()
	}
	return w
}

func (w *world) join() *node {
	n := &node{name: fmt.Sprint("e", len(w.nodes)), alive: true}
	n.skew = time.Duration(w.random.Int64N(int64(time.Hour)))
	n.book = newBook(n.name)
	w.nodes = append(w.nodes, n)
	w.readLog(n)
	return n
}

// clock is the node's own time, which shares nothing with that of the others.
func (w *world) clock(n *node) time.Duration { return w.now - n.skew }

func (n *node) running() bool { return n.alive && !n.paused }

func (n *node) reachable() bool { return n.running() && !n.severed }

// readLog applies what the log has; a node that can't reach it learns nothing.
func (w *world) readLog(n *node) {
	if w.logDown || !n.reachable() {
		return
	}
	w.apply(n, len(w.log))
	n.fence.hear(w.clock(n))
}

// meet lets a node hear another one, which hands on the records that it has.
func (w *world) meet(n, other *node) {
	if n == other || !n.reachable() || !other.reachable() {
		return
	}
	w.apply(n, other.applied)
	n.fence.hear(w.clock(n))
}

func (w *world) apply(n *node, to int) {
	for ; n.applied < to; n.applied++ {
		r := w.log[n.applied]
		if r.rate == 0 {
			n.table, _ = n.table.Apply(int64(n.applied), r.claim, n.seats)
			continue
		}
		w.former = append(w.former, used{until: w.now, rate: n.rate, calls: n.calls})
		n.rate, n.calls, n.seats = r.rate, r.calls, r.seats
		n.table = n.table.Resize(int64(n.applied), r.seats)
		n.setTree(w.clock(n), testTree(r.rate, r.calls, r.seats))
	}
	n.setSeats(w.clock(n), n.table, w.lowestApplied(n))
}

// lowestApplied is exact here; entries know a lower bound of it.
func (w *world) lowestApplied(n *node) int64 {
	lowest := n.applied
	for _, other := range w.nodes {
		if len(n.table.HeldBy(other.name)) > 0 {
			lowest = min(lowest, other.applied)
		}
	}
	return int64(lowest) - 1
}

func testTree(rate, calls, seats int) *tree.Tree {
	route := &tree.Route{Rank: "lookups", Timeout: callTimeout}
	return &tree.Tree{
		Seats:    seats,
		Services: []*tree.Service{{Member: "m", Name: "s", Routes: []*tree.Route{route}}},
		Limits: []tree.Limit{
			{CallsPerSecond: rate, ConcurrentCalls: calls},
			{Scope: tree.Scope{Member: "m"}, CallsPerSecond: rate + 1},
		},
	}
}

// claim lets a node take a free seat, or one whose VM has left the list.
func (w *world) claim(n *node) {
	if w.logDown || !n.reachable() || n.gone {
		return
	}
	w.readLog(n)
	for number := range n.seats {
		h, held := n.table.Holder(number)
		if held && !w.named(h.Incarnation).gone {
			continue
		}
		w.log = append(w.log, record{claim: seat.Claim{
			Seat: number, Incarnation: n.name, VM: n.name, Previous: h.Incarnation,
		}})
		w.readLog(n)
		return
	}
}

func (w *world) named(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// spend makes one call through a node and reports whether it was admitted. An
// entry without a tree admits nothing at all.
func (w *world) spend(n *node) bool {
	if !n.running() || n.rate == 0 {
		return false
	}
	limits := n.limitsOf(scopeOfTest)
	if n.book.spend(w.clock(n), limits) != nil {
		return false
	}
	w.starts = append(w.starts, w.now)
	n.inProgress = append(n.inProgress, call{start: w.now, limits: limits})
	return true
}

// burst makes some calls through a node and returns how many were admitted.
func (w *world) burst(n *node, times int) int {
	admitted := 0
	for range times {
		if w.spend(n) {
			admitted++
		}
	}
	return admitted
}

// burstAll makes some calls through each node.
func (w *world) burstAll(times int) {
	for _, n := range w.nodes {
		w.burst(n, times)
	}
}

// finish ends the oldest call of a node.
func (w *world) finish(n *node) {
	if !n.running() || len(n.inProgress) == 0 {
		return
	}
	n.end(n.inProgress[0].limits)
	n.inProgress = n.inProgress[1:]
}

// advance moves time on and ends the calls that are past their deadline. A
// paused node does not notice before it runs again.
func (w *world) advance(d time.Duration) {
	w.now += d
	for _, n := range w.nodes {
		for i := range n.inProgress {
			n.inProgress[i].ended = w.now-n.inProgress[i].start >= callTimeout
		}
		for n.running() && len(n.inProgress) > 0 && n.inProgress[0].ended {
			w.finish(n)
		}
	}
}

func (w *world) planNode(n *node) {
	if !n.running() {
		return
	}
	var peers []Peer
	for _, other := range w.nodes {
		peers = append(peers, Peer{Incarnation: other.name})
	}
	for _, o := range n.plan(w.clock(n), peers, w.random) {
		w.messages = append(w.messages, message{from: n.name, to: o.to.Incarnation, order: o})
	}
}

// deliver brings message i to its end; with lose it vanishes.
func (w *world) deliver(i int, lose bool) {
	m := w.messages[i]
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	to := w.named(m.to)
	if !to.running() {
		return
	}
	if lose || to.severed || w.named(m.from).severed {
		return
	}
	switch {
	case m.failed:
		to.failed(w.clock(to), m.order)
	case m.reply != nil:
		to.answered(w.clock(to), m.order, *m.reply)
	default:
		reply, ok := to.lend(w.clock(to), &m.order.request)
		w.messages = append(w.messages, message{from: m.to, to: m.from, order: m.order, reply: &reply, failed: !ok})
	}
}

// settle lets every node hear the log and each other, and delivers all messages.
func (w *world) settle(rounds int) {
	for range rounds {
		for _, n := range w.nodes {
			w.readLog(n)
			w.planNode(n)
		}
		for len(w.messages) > 0 {
			w.deliver(0, false)
		}
		w.advance(planTime)
	}
}

// check is the oracle: no second has seen more starts, and no moment more calls
// in progress, than the largest limit in force then or in the loans before.
func (w *world) check() error {
	recent, inProgress := 0, 0
	for _, at := range w.starts {
		if at > w.now-time.Second {
			recent++
		}
	}
	for _, n := range w.nodes {
		for _, c := range n.inProgress {
			if n.alive && !c.ended {
				inProgress++
			}
		}
	}
	rate, calls := w.bounds()
	if recent > rate || inProgress > calls {
		return fmt.Errorf("%d starts of %d, %d calls in progress of %d", recent, rate, inProgress, calls)
	}
	return nil
}

func (w *world) bounds() (rate, calls int) {
	terms := loanTime + callTimeout + 2*clockMargin
	for _, n := range w.nodes {
		rate, calls = max(rate, n.rate), max(calls, n.calls)
	}
	for _, f := range w.former {
		if f.until >= w.now-terms {
			rate, calls = max(rate, f.rate), max(calls, f.calls)
		}
	}
	return rate, calls
}
