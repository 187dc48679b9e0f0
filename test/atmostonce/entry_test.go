package atmostonce_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/attempt"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/drain"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/frontend"
	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

var (
	errKilled   = errors.New("process was killed")
	errLinkDown = errors.New("network link is down")
)

// Limits of each entry's operation table, small enough that a run reaches them.
const (
	maxOperations  = 12
	maxStoredBytes = 1 << 10
	epochLength    = 10 * time.Second
	retainedEpochs = 3
)

// hedgeAfter is the delay before a lookup gets a hedged second attempt.
const hedgeAfter = 100 * time.Millisecond

// gate simulates the signals that a process receives: it blocks the actions of a
// paused process and fails those of a killed one.
type gate struct {
	mu      sync.Mutex
	resumed chan struct{} // closed unless the process is paused
	killed  chan struct{}
}

func newGate() *gate {
	g := &gate{resumed: make(chan struct{}), killed: make(chan struct{})}
	close(g.resumed)
	return g
}

// waitRunning blocks while the process is paused. It fails once the process is killed.
func (g *gate) waitRunning() error {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	select {
	case <-g.killed:
		return errKilled
	default:
	}
	select {
	case <-resumed:
		return nil
	case <-g.killed:
		return errKilled
	}
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if isClosed(g.resumed) {
		g.resumed = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !isClosed(g.resumed) {
		close(g.resumed)
	}
}

func (g *gate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !isClosed(g.killed) {
		close(g.killed)
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// gatedConn is a connection of a process that may be paused or killed.
type gatedConn struct {
	net.Conn
	gate *gate
}

func (c gatedConn) Write(p []byte) (int, error) {
	if err := c.gate.waitRunning(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if killErr := c.gate.waitRunning(); killErr != nil {
		return 0, killErr
	}
	return n, err
}

// process is an entry: the real handler, operation table and forwarder, with
// fakes of the limits, the load balancing, the backend servers and the network.
type process struct {
	*gate
	world     *world
	number    int
	table     *operation.Table
	seals     *operation.SealStore
	receiver  *operation.Receiver
	handler   *frontend.Handler
	forwarder *forward.Forwarder

	connMu     sync.Mutex
	conns      []net.Conn
	nextServer int
}

func newProcess(w *world, number int) *process {
	p := &process{gate: newGate(), world: w, number: number, seals: operation.NewSealStore()}
	p.table = operation.New(operation.Options{
		EpochLength: epochLength, RetainedEpochs: retainedEpochs, MaxOperations: maxOperations, MaxStoredBytes: maxStoredBytes,
	})
	p.forwarder = forward.New(forward.Options{Dial: p.dial})
	p.handler = frontend.NewHandler(frontend.Options{
		VM:          fmt.Sprint("entry-", number),
		Tree:        w,
		Operations:  p.table,
		OwnerClient: operation.NewOwnerClient(operation.OwnerClientOptions{Client: p, Address: w.address, Seals: p.seals}),
		Limiter:     w,
		Runner:      attempt.New(p, p.forwarder, tally.NoopScope),
		Drainer:     drain.New(),
		Scope:       tally.NoopScope,
	})
	p.receiver = operation.NewReceiver(p.table, p.handler, p.seals)
	return p
}

// crash kills the process and closes its connections.
func (p *process) crash() {
	p.kill()
	p.connMu.Lock()
	defer p.connMu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
}

func (p *process) dial(_ context.Context, _, address string) (net.Conn, error) {
	if err := p.waitRunning(); err != nil {
		return nil, err
	}
	clientConn, serverConn := net.Pipe()
	p.connMu.Lock()
	p.conns = append(p.conns, clientConn, serverConn)
	p.connMu.Unlock()
	go p.world.servers[address].serve(serverConn)
	return gatedConn{clientConn, p.gate}, nil
}

// Admit implements attempt.Admitter. It chooses the servers round-robin.
func (p *process) Admit(_ context.Context, r attempt.Request) (attempt.Grant, *outcome.Refusal) {
	if p.waitRunning() != nil {
		return nil, outcome.NewUnknown(outcome.ReasonInternal, "killed")
	}
	p.connMu.Lock()
	defer p.connMu.Unlock()
	for range p.world.names {
		p.nextServer++
		name := p.world.names[p.nextServer%len(p.world.names)]
		if !slices.Contains(r.Exclude, name) {
			return grant(name), nil
		}
	}
	return nil, outcome.NewNotRun(503, outcome.ReasonNoServer, "all servers were tried")
}

func (p *process) ServiceTime(attempt.Request) time.Duration { return 0 }

func (p *process) HedgeDelay(string, string, time.Duration) (time.Duration, bool) {
	return hedgeAfter, true
}

type grant string

func (g grant) Server() fleet.VM            { return fleet.VM{Name: string(g), Address: string(g) + ":80"} }
func (g grant) Estimate() balancer.Estimate { return balancer.Estimate{} }
func (g grant) Slowed() bool                { return false }
func (g grant) Done(balancer.Result)        {}

// Call implements peer.Client. It calls another process over the simulated link.
func (p *process) Call(ctx context.Context, address, method string, args, reply any) error {
	if err := p.waitRunning(); err != nil {
		return err
	}
	target, link := p.world.link(p.number, address)
	if link == linkDown || target == nil {
		return &peer.UnreachableError{Address: address, Err: errLinkDown}
	}
	done := make(chan error, 1)
	received := &peer.AskReply{}
	go func() { done <- target.receive(method, clone(args), received) }()
	select {
	case err := <-done:
		if killErr := p.waitRunning(); killErr != nil || err != nil || link == linkReplyLost {
			return &peer.UnreachableError{Address: address, Sent: true, Err: errLinkDown}
		}
	case <-ctx.Done():
		return &peer.UnreachableError{Address: address, Sent: true, Err: ctx.Err()}
	case <-p.killed:
		return errKilled
	}
	if out, ok := reply.(*peer.AskReply); ok {
		*out = *clone(received).(*peer.AskReply)
	}
	return nil
}

// receive handles a call from another process.
func (p *process) receive(method string, args any, reply *peer.AskReply) error {
	if err := p.waitRunning(); err != nil {
		return err
	}
	if method == peer.MethodOperationSeal {
		return p.receiver.Seal(args.(*peer.SealArgs), nil)
	}
	err := p.receiver.Ask(args.(*peer.AskArgs), reply)
	return errors.Join(err, p.waitRunning())
}

// clone copies a message through gob, as the network does.
func clone(message any) any {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(message); err != nil {
		panic(err)
	}
	var out any
	switch message.(type) {
	case *peer.AskArgs:
		out = &peer.AskArgs{}
	case *peer.AskReply:
		out = &peer.AskReply{}
	case *peer.SealArgs:
		out = &peer.SealArgs{}
	}
	if err := gob.NewDecoder(&buf).Decode(out); err != nil {
		panic(err)
	}
	return out
}

// Tree implements frontend.TreeSource.
func (w *world) Tree() *tree.Tree { return w.tree }

// Acquire implements frontend.Limiter.
func (w *world) Acquire(context.Context, string, string, string) (func(), *outcome.Refusal) {
	return func() {}, nil
}
