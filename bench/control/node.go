package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/follow"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/membership"
	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// nodeArgument makes the command run as one entry process.
const nodeArgument = "--run-as-node"

// nodeSettings is the first line on a node's standard input. Each further line
// requests a usage message; the end of input stops the node.
type nodeSettings struct {
	VM       fleet.VM
	Platform string
	Seeds    []string
}

// message is one line on a node's standard output. Exactly one field is set.
type message struct {
	PeerAddress string   `json:",omitempty"`
	Applied     *applied `json:",omitempty"`
	Usage       *usage   `json:",omitempty"`
}

// applied reports when the node applied an offset.
type applied struct {
	Offset    int64
	UnixNanos int64
}

// usage holds the resources that a node has used since its start, and its current view.
type usage struct {
	CPUMicros                       int64
	PeerSent, PeerReceived          int64
	PlatformSent, PlatformReceived  int64
	MaxResidentKB                   int64
	Entries, Servers, AddressAnswer int
}

// node is one entry process without the request path.
type node struct {
	pool       *peer.Pool
	server     *peer.Server
	platform   *logservice.Client
	follower   *follow.Follower
	membership *membership.Membership
}

func runNode(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Scan()
	var settings nodeSettings
	if err := json.Unmarshal(lines.Bytes(), &settings); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	settings.VM.PeerAddress = listener.Addr().String()
	w := &messageWriter{encoder: json.NewEncoder(out)}
	n := newNode(settings)
	n.follower.Subscribe(func(s *statemachine.State) {
		w.write(message{Applied: &applied{Offset: s.Offset(), UnixNanos: time.Now().UnixNano()}})
		n.membership.Announce()
	})
	if err := n.register(); err != nil {
		return err
	}
	w.write(message{PeerAddress: settings.VM.PeerAddress})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = n.server.Serve(listener) })
	running.Go(func() { n.follower.Run(ctx) })
	running.Go(func() { n.membership.Run(ctx) })
	for lines.Scan() {
		w.write(message{Usage: n.usage()})
	}
	cancel()
	n.server.Close()
	n.pool.Close()
	running.Wait()
	return nil
}

func newNode(settings nodeSettings) *node {
	n := &node{
		pool:     peer.NewPool(peer.Options{}),
		server:   peer.NewServer(),
		platform: logservice.NewClient([]string{settings.Platform}, logservice.Options{ClientName: settings.VM.Name}),
	}
	n.follower = follow.New(follow.Options{
		Log:      n.platform,
		Client:   n.pool,
		Position: func(key string) int { return n.membership.View().Position(key) },
	})
	n.membership = membership.New(membership.Options{
		Self:        settings.VM,
		Incarnation: "incarnation-of-" + settings.VM.Name,
		Epoch:       func() uint32 { return 0 },
		Follower:    n.follower,
		VMs:         n.platform,
		Client:      n.pool,
		Seeds:       settings.Seeds,
	})
	return n
}

func (n *node) register() error {
	if err := n.server.Register(peer.ReceiverMembership, n.membership.Receiver()); err != nil {
		return err
	}
	return n.server.Register(peer.ReceiverFollow, n.follower.Receiver())
}

func (n *node) usage() *usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r) // cannot fail with valid arguments
	view := n.membership.View()
	return &usage{
		CPUMicros:        micros(r.Utime) + micros(r.Stime),
		PeerSent:         n.pool.Traffic().SentBytes() + n.server.Traffic().SentBytes(),
		PeerReceived:     n.pool.Traffic().ReceivedBytes() + n.server.Traffic().ReceivedBytes(),
		PlatformSent:     n.platform.SentBytes(),
		PlatformReceived: n.platform.ReceivedBytes(),
		MaxResidentKB:    r.Maxrss,
		Entries:          len(view.Entries),
		Servers:          len(view.Servers(benchService)),
		AddressAnswer:    len(view.Addresses("zone-0", "caller", tree.Regions(nil).SameRegion)),
	}
}

func micros(t syscall.Timeval) int64 { return t.Sec*int64(time.Second/time.Microsecond) + t.Usec }

// messageWriter writes complete lines for concurrent goroutines.
type messageWriter struct {
	mu      sync.Mutex // guards encoder
	encoder *json.Encoder
}

func (w *messageWriter) write(m message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.encoder.Encode(m) // without a reader the node stops by itself
}
