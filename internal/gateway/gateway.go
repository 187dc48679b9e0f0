package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/eventlog"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/frontend"
	"chestnutrouter.example/chestnutrouter/internal/loadsync"
	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/service"
	"chestnutrouter.example/chestnutrouter/internal/storesync"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	// roundInterval is the time between two probes of a server whose rhythm is not
	// known. Noisy neighbours change every 150 ms; a report is then old for a small
	// part of that.
	roundInterval = 33 * time.Millisecond
	// beatRounds is how many rounds lie between two beats. What others have to know
	// sooner is sent at once.
	beatRounds = 2
	// idleTimeout is how long an idle connection of a caller is kept: longer than
	// any idle limit that operators set, as callers reuse connections up to that.
	idleTimeout = 2 * time.Minute
	// readHeaderTimeout bounds how long a caller may take for a request's header.
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// dispatchers is the goroutines that dispatch queued requests. They never
	// wait, so more than one only helps on several cores.
	dispatchers = 2
	// memoryShare is the part of the memory from which garbage is collected as
	// often as it takes.
	memoryShare = 0.8
)

// Params are all parts of an entry that are started or stopped.
type Params struct {
	fx.In

	Settings  *Settings
	Adapter   *Adapter
	Events    *eventlog.Logger
	Registry  *metrics.Registry
	Pool      *peer.Pool
	Node      *cluster.Node
	StoreSync *storesync.Syncer
	Observer  *loadsync.Syncer
	Wiring    *wiring
	Workers   *admission.Workers
	Services  *service.Set
	Forwarder *forward.Forwarder
	Handler   *frontend.Handler
	Drain     *frontend.Drainer
	Trees     *trees
}

// Entry is one running entry.
type Entry struct {
	parts Params
	// callers is the server of the callers' requests; the others need no care
	// when the entry stops.
	callers *http.Server
	others  []*http.Server
	peers   *peer.Server

	rounds     int // of goBackground
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// trees holds the tree in force and the backend servers with it.
type trees struct {
	tree atomic.Pointer[tree.Tree]

	mu      sync.Mutex // orders changes of either; guards servers
	servers []fleet.VM
}

// Tree returns the tree in force, or nil.
func (t *trees) Tree() *tree.Tree { return t.tree.Load() }

// serverList is the list of backend servers as service.Set asks for it.
type serverList map[string][]fleet.VM

// Servers implements service.Servers.
func (l serverList) Servers(key string) []fleet.VM { return l[key] }

func newServerList(vms []fleet.VM) serverList {
	list := serverList{}
	for _, vm := range vms {
		list[vm.Service] = append(list[vm.Service], vm)
	}
	return list
}

// applier puts trees and servers in force at the services and the observer.
type applier struct {
	trees    *trees
	services *service.Set
	observer *loadsync.Syncer
}

// setTree puts a tree in force. The services start first, so that no request is
// matched to one that has no queue yet.
func (a applier) setTree(t *tree.Tree) {
	a.trees.mu.Lock()
	defer a.trees.mu.Unlock()
	a.services.SetTree(t)
	a.trees.tree.Store(t)
	a.observer.Update(t, a.services, a.trees.servers)
}

func (a applier) setServers(vms []fleet.VM) {
	a.trees.mu.Lock()
	defer a.trees.mu.Unlock()
	a.trees.servers = vms
	a.services.SetServers(newServerList(vms))
	if t := a.trees.Tree(); t != nil {
		a.observer.Update(t, a.services, vms)
	}
}

func newEntry(p Params) (*Entry, error) {
	e := &Entry{parts: p, peers: peer.NewServer()}
	e.callers = &http.Server{
		Handler:           p.Adapter.CallerMiddleware(p.Handler),
		IdleTimeout:       idleTimeout,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          errorLog(p.Events),
	}
	return e, e.peers.Register(storesync.ReceiverName, p.StoreSync.Receiver())
}

// Ready reports whether the entry serves callers.
func (e *Entry) Ready() bool {
	return e.parts.Trees.Tree() != nil && e.parts.StoreSync.ServersVersion() > 0 && !e.parts.Drain.Draining()
}

// addresses are the entries to hand out to callers.
func (e *Entry) addresses() []string {
	return atMost(e.parts.Node.View().CallerAddresses(), mostAddresses)
}

// Start binds the sockets and starts the servers and the background work.
func (e *Entry) Start(context.Context) error {
	s := e.parts.Settings
	if s.Cores > 0 {
		runtime.GOMAXPROCS(s.Cores)
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	if err := e.listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.goBackground(ctx)
	e.parts.Events.Info("started", "incarnation", e.parts.Node.View().Live[0].Incarnation,
		"callers", s.CallerAddress, "directory", s.DirectoryAddress, "ready", s.ReadyAddress,
		"peers", s.PeerAddress, "datagrams", s.DatagramAddress, "metrics", s.MetricsAddress, "seeds", len(s.Seeds))
	return nil
}

// listen binds all sockets and serves them.
func (e *Entry) listen() error {
	s, adapter := e.parts.Settings, e.parts.Adapter
	peers, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return err
	}
	e.serve("peers", peers, e.peers.Serve)
	if err := e.listenHTTP("callers", s.CallerAddress, e.callers); err != nil {
		return err
	}
	for _, page := range []struct {
		side, address string
		handler       http.Handler
	}{
		{"ready", s.ReadyAddress, adapter.NewReadyHandler(e.Ready)},
		{"directory", s.DirectoryAddress, adapter.NewDirectoryHandler(e.addresses, s.AddressTTL)},
		{"metrics", s.MetricsAddress, e.parts.Registry.Handler},
	} {
		server := &http.Server{
			Handler:           page.handler,
			ReadHeaderTimeout: readHeaderTimeout,
			ErrorLog:          errorLog(e.parts.Events),
		}
		e.others = append(e.others, server)
		if err := e.listenHTTP(page.side, page.address, server); err != nil {
			return err
		}
	}
	return nil
}

func (e *Entry) listenHTTP(side, address string, server *http.Server) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.serve(side, l, server.Serve)
	return nil
}

// serve runs one server until it is closed.
func (e *Entry) serve(side string, l net.Listener, run func(net.Listener) error) {
	e.background.Go(func() {
		err := run(l)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, peer.ErrServerClosed) {
			e.parts.Events.Warn("server failed", "side", side, "error", err)
		}
	})
}

func (e *Entry) goBackground(ctx context.Context) {
	s := e.parts.Settings
	e.parts.Node.AddSeeds(s.Seeds...)
	e.background.Go(func() { e.parts.Workers.Run(ctx, dispatchers) })
	e.background.Go(func() { e.parts.StoreSync.Run(ctx) })
	e.background.Go(func() {
		if err := e.parts.Node.Receive(); err != nil {
			e.parts.Events.Warn("datagrams failed", "error", err)
		}
	})
	e.background.Go(func() { cluster.RunEvery(ctx, roundInterval, e.round) })
	list := &registry{
		log:    e.parts.Adapter.Log,
		stream: e.parts.Adapter.EntriesStream,
		node:   e.parts.Node,
		self:   s.VM,
		events: e.parts.Events,
	}
	e.background.Go(func() { list.run(ctx) })
}

// round probes this member's servers and tells the others what it learned.
func (e *Entry) round(ctx context.Context, now time.Time) {
	e.parts.Wiring.putMembers(now)
	e.parts.Observer.Round(ctx, now)
	e.rounds++
	if e.rounds%beatRounds == 0 {
		e.beat(time.Now())
	}
}

// beat tells the other entries what is new.
func (e *Entry) beat(now time.Time) {
	b := &cluster.Heartbeat{Status: cluster.Status{
		Ready:          e.Ready(),
		Leaving:        e.parts.Drain.Draining(),
		Revision:       e.parts.StoreSync.Revision(),
		ServersVersion: e.parts.StoreSync.ServersVersion(),
		StoreReadAge:   e.parts.StoreSync.StoreReadAge(now),
	}}
	e.parts.Observer.Collect(b, now)
	e.parts.Node.Send(b, now)
}

// View returns the members as this entry sees them.
func (e *Entry) View() *cluster.View { return e.parts.Node.View() }
