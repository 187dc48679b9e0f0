package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// callTimeout is the route timeout in the tests' tree.
const callTimeout = 3 * time.Second

// testScope is the scope of the tests' calls.
var testScope = tree.Scope{Member: "m", Service: "s", Rank: "lookups"}

// record is one record of the simulated log.
type record struct {
	claim seat.Claim
	rate  int // nonzero if the record changes the limits
	calls int
	seats int
}

// node is one simulated entry.
type node struct {
	*state
	name                             string
	skew                             time.Duration
	alive, paused, partitioned, gone bool
	applied                          int
	rate, calls, seats               int
	table                            seat.Table
	inProgress                       []call
}

type call struct {
	start  time.Duration
	limits []*allocation
	ended  bool // past its deadline; a paused entry has not noticed yet
}

type message struct {
	from, to string
	outgoing outgoingRequest
	reply    *peer.BorrowReply
	failed   bool
}

// formerLimit holds limits that were active at some entry until a time.
type formerLimit struct {
	until       time.Duration
	rate, calls int
}

// world is a simulated cluster: entries, a log and a network in virtual time.
type world struct {
	now          time.Duration
	logDown      bool
	log          []record
	nodes        []*node
	messages     []message
	starts       []time.Duration
	formerLimits []formerLimit
	random       *rand.Rand
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
	n.state = newState(n.name)
	w.nodes = append(w.nodes, n)
	w.readLog(n)
	return n
}

// clock returns the node's own time, which is unrelated to the time of other nodes.
func (w *world) clock(n *node) time.Duration { return w.now - n.skew }

func (n *node) running() bool { return n.alive && !n.paused }

func (n *node) reachable() bool { return n.running() && !n.partitioned }

// readLog lets a node apply all records of the log if it can reach the log.
func (w *world) readLog(n *node) {
	if w.logDown || !n.reachable() {
		return
	}
	w.apply(n, len(w.log))
	n.fence.recordContact(w.clock(n))
}

// receiveFrom lets a node contact another one and apply the records that it has.
func (w *world) receiveFrom(n, other *node) {
	if n == other || !n.reachable() || !other.reachable() {
		return
	}
	w.apply(n, other.applied)
	n.fence.recordContact(w.clock(n))
}

func (w *world) apply(n *node, to int) {
	for ; n.applied < to; n.applied++ {
		r := w.log[n.applied]
		if r.rate == 0 {
			n.table, _ = n.table.Apply(int64(n.applied), r.claim, n.seats)
			continue
		}
		w.formerLimits = append(w.formerLimits, formerLimit{until: w.now, rate: n.rate, calls: n.calls})
		n.rate, n.calls, n.seats = r.rate, r.calls, r.seats
		n.table = n.table.Resize(int64(n.applied), r.seats)
		n.setTree(w.clock(n), testTree(r.rate, r.calls, r.seats))
	}
	n.setSeats(w.clock(n), n.table, w.lowestApplied(n))
}

// lowestApplied is exact here; real entries only know a lower bound.
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

// claim lets a node claim a free seat, or one whose VM is no longer listed.
func (w *world) claim(n *node) {
	if w.logDown || !n.reachable() || n.gone {
		return
	}
	w.readLog(n)
	for number := range n.seats {
		h, held := n.table.Holder(number)
		if held && !w.nodeByName(h.Incarnation).gone {
			continue
		}
		w.log = append(w.log, record{claim: seat.Claim{
			Seat: number, Incarnation: n.name, VM: n.name, Previous: h.Incarnation,
		}})
		w.readLog(n)
		return
	}
}

func (w *world) nodeByName(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// tryCall makes one call through a node and reports whether it was admitted. A node
// without a tree admits no call.
func (w *world) tryCall(n *node) bool {
	if !n.running() || n.rate == 0 {
		return false
	}
	limits := n.limitsOf(testScope)
	if n.state.tryAcquire(w.clock(n), limits) != nil {
		return false
	}
	w.starts = append(w.starts, w.now)
	n.inProgress = append(n.inProgress, call{start: w.now, limits: limits})
	return true
}

// burst makes calls through a node and returns how many were admitted.
func (w *world) burst(n *node, times int) int {
	admitted := 0
	for range times {
		if w.tryCall(n) {
			admitted++
		}
	}
	return admitted
}

// burstAll makes calls through each node.
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
	n.release(n.inProgress[0].limits)
	n.inProgress = n.inProgress[1:]
}

// advance advances the time and ends the calls that are past their deadline. A
// paused node notices only after it has been resumed.
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
		w.messages = append(w.messages, message{from: n.name, to: o.lender.Incarnation, outgoing: o})
	}
}

// deliver delivers message i, or drops it if lose is set.
func (w *world) deliver(i int, lose bool) {
	m := w.messages[i]
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	to := w.nodeByName(m.to)
	if !to.running() {
		return
	}
	if lose || to.partitioned || w.nodeByName(m.from).partitioned {
		return
	}
	switch {
	case m.failed:
		to.handleFailure(w.clock(to), m.outgoing)
	case m.reply != nil:
		to.handleReply(w.clock(to), m.outgoing, *m.reply)
	default:
		reply, ok := to.lend(w.clock(to), &m.outgoing.request)
		w.messages = append(w.messages, message{from: m.to, to: m.from, outgoing: m.outgoing, reply: &reply, failed: !ok})
	}
}

// runRounds lets every node read the log and borrow, and delivers all messages.
func (w *world) runRounds(rounds int) {
	for range rounds {
		for _, n := range w.nodes {
			w.readLog(n)
			w.planNode(n)
		}
		for len(w.messages) > 0 {
			w.deliver(0, false)
		}
		w.advance(minPlanInterval)
	}
}

// check is the reference model: the last second must not have more starts, and now
// must not have more calls in progress, than the largest limit that is active at any
// node or was active during the lifetime of the loans before.
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
		return fmt.Errorf("%d calls started in the last second (limit %d), %d calls in progress (limit %d)", recent, rate, inProgress, calls)
	}
	return nil
}

func (w *world) bounds() (rate, calls int) {
	loanSpan := loanTTL + callTimeout + 2*clockMargin
	for _, n := range w.nodes {
		rate, calls = max(rate, n.rate), max(calls, n.calls)
	}
	for _, f := range w.formerLimits {
		if f.until >= w.now-loanSpan {
			rate, calls = max(rate, f.rate), max(calls, f.calls)
		}
	}
	return rate, calls
}
