package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"chestnutrouter.example/chestnutrouter/internal/account"
	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/allowance"
	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/drain"
	"chestnutrouter.example/chestnutrouter/internal/eventlog"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/frontend"
	"chestnutrouter.example/chestnutrouter/internal/loadsync"
	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/quarantine"
	"chestnutrouter.example/chestnutrouter/internal/service"
	"chestnutrouter.example/chestnutrouter/internal/storesync"
	"chestnutrouter.example/chestnutrouter/internal/traffic"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	// probeInterval is the time between two probes of a server whose change period is
	// not known. Load from noisy neighbours changes every 150 ms, so a report is
	// outdated only for a small part of that time.
	probeInterval = 33 * time.Millisecond
	// heartbeatRounds is the number of probe rounds per heartbeat. Urgent updates are
	// sent immediately.
	heartbeatRounds = 2
	// callerIdleTimeout is how long an idle connection of a caller is kept open. It
	// exceeds any idle timeout that operators set for callers, as callers reuse
	// connections up to theirs.
	callerIdleTimeout = 2 * time.Minute
	// readHeaderTimeout bounds how long a caller may take to send a request's header.
	readHeaderTimeout = 10 * time.Second
	// maxPeerMessageBytes bounds a message from another entry. The calls have a few numbers and a name;
	// only their replies are large.
	maxPeerMessageBytes = 256 << 10
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// dispatchers is the number of goroutines that dispatch queued requests. They never
	// block, so more than one only helps on several cores.
	dispatchers = 2
	// memoryLimitShare is the part of the memory limit that is set as the soft limit of
	// the Go runtime, above which the garbage collector runs as often as needed.
	memoryLimitShare = 0.8
)

// Params are the dependencies of an Entry, provided by Module.
type Params struct {
	fx.In

	Settings  *Settings
	Adapter   *Adapter
	Events    *eventlog.Logger
	Registry  *metrics.Registry
	Pool      *peer.Pool
	Node      *cluster.Node
	StoreSync *storesync.Syncer
	LoadSync  *loadsync.Syncer
	Callbacks *clusterCallbacks
	Workers   *admission.Workers
	Services  *service.Set
	Forwarder *forward.Forwarder
	Handler   *frontend.Handler
	Guard     *quarantine.Guard
	Drainer   *drain.Drainer
	Tree      *treeHolder
	Owner     *allowance.Owner
	Account   *account.Account
	Limits    account.Limits
}

// Entry is one running process of the load balancer.
type Entry struct {
	params Params
	// callers serves the callers' requests. The other servers are closed after it, when
	// the entry stops.
	callers        *http.Server
	callerListener net.Listener
	others         []*http.Server
	peers          *peer.Server

	rounds     int // probe rounds so far
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// treeHolder holds the active configuration tree and the current backend servers.
type treeHolder struct {
	tree  atomic.Pointer[tree.Tree]
	first chan struct{} // closed once there is a tree

	mu         sync.Mutex // serializes changes of all; guards the fields below
	listed     []fleet.VM // the servers as the store lists them
	servers    []fleet.VM // those of evacuated zones are marked
	evacuation zoneEvacuation
}

// Tree returns the active tree, nil if there is none yet.
func (t *treeHolder) Tree() *tree.Tree { return t.tree.Load() }

// isInUse reports whether the store lists that start of the server as live, in a zone that is not
// evacuated.
func (t *treeHolder) isInUse(vm fleet.VM) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.servers, func(listed fleet.VM) bool {
		return listed.Name == vm.Name && listed.Incarnation == vm.Incarnation && listed.State == fleet.Live
	})
}

// serverList holds the backend servers by service.
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

// applier applies trees and servers to the services and to loadSync.
type applier struct {
	holder   *treeHolder
	services *service.Set
	loadSync *loadsync.Syncer
	events   *eventlog.Logger
	scope    tally.Scope
}

// setTree applies a tree. The services are updated before the tree becomes visible, so
// that no request is matched to a service that has no queue yet.
func (a applier) setTree(t *tree.Tree) {
	a.holder.mu.Lock()
	defer a.holder.mu.Unlock()
	a.services.SetTree(t)
	previous := a.holder.tree.Swap(t)
	if previous == nil {
		close(a.holder.first)
	}
	a.reportTree(previous, t)
	a.loadSync.Update(t, a.services, a.holder.servers)
}

// reportTree updates the gauges of the active tree, and warns if it no longer requires the keys that
// the previous one did. Previous is nil for the first tree.
func (a applier) reportTree(previous, t *tree.Tree) {
	if previous != nil && previous.KeysRequired && !t.KeysRequired {
		a.events.Warn("keys no longer required", "revision", t.Revision, "previous", previous.Revision)
	}
	keysRequired := 0.0
	if t.KeysRequired {
		keysRequired = 1
	}
	a.scope.Gauge("configuration_revision").Update(float64(t.Revision))
	a.scope.Gauge("configuration_keys_required").Update(keysRequired)
	a.scope.Gauge("configuration_tenants").Update(float64(len(t.Tenants)))
}

func (a applier) setServers(vms []fleet.VM) {
	a.holder.mu.Lock()
	defer a.holder.mu.Unlock()
	a.holder.listed = vms
	a.applyServers()
}

// setEvacuations applies the list of evacuated availability zones.
func (a applier) setEvacuations(zones []string) {
	a.holder.mu.Lock()
	defer a.holder.mu.Unlock()
	a.logEvacuations(zones)
	a.holder.evacuation.set(zones)
	a.applyServers()
}

// applyServers applies the listed servers, those of evacuated zones marked. holder.mu must be held.
func (a applier) applyServers() {
	a.holder.servers = a.holder.evacuation.mark(a.holder.listed)
	a.warnOfUnknownZones()
	a.services.SetServers(newServerList(a.holder.servers))
	if t := a.holder.Tree(); t != nil {
		a.loadSync.Update(t, a.services, a.holder.servers)
	}
}

func newEntry(p Params) (*Entry, error) {
	e := &Entry{params: p, peers: peer.NewServer().WithMaxMessage(maxPeerMessageBytes)}
	e.callers = &http.Server{
		Handler:           p.Adapter.CallerMiddleware(p.Handler),
		IdleTimeout:       callerIdleTimeout,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          errorLog(p.Events),
	}
	p.Account.Prepare(e.callers)
	return e, e.peers.Register(storesync.ReceiverName, p.StoreSync.Receiver())
}

// Ready reports whether the entry serves callers.
func (e *Entry) Ready() bool {
	return e.params.Tree.Tree() != nil && e.params.StoreSync.ServersVersion() > 0 && !e.params.Drainer.Draining()
}

// addresses returns the addresses of the entries to hand out to callers.
func (e *Entry) addresses() []string {
	return e.params.Node.View().SampleCallerAddresses(maxAddresses)
}

// Start binds the sockets and starts the servers and the background work.
func (e *Entry) Start(context.Context) error {
	s := e.params.Settings
	if s.Cores > 0 {
		runtime.GOMAXPROCS(s.Cores)
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(s.softMemoryLimit())
	}
	if err := e.listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.startBackground(ctx)
	e.params.Events.Info("started", "incarnation", e.params.Node.View().Live[0].Incarnation,
		"callers", s.CallerAddress, "directory", s.DirectoryAddress, "ready", s.ReadyAddress,
		"peers", s.PeerAddress, "datagrams", s.DatagramAddress, "metrics", s.MetricsAddress, "seeds", len(s.Seeds))
	return nil
}

// listen binds all sockets and serves them.
func (e *Entry) listen() error {
	s, adapter, accounts, limits := e.params.Settings, e.params.Adapter, e.params.Account, e.params.Limits
	peers, err := accounts.Listen("peers", s.PeerAddress, limits.Peers)
	if err != nil {
		return err
	}
	e.serve("peers", peers, e.peers.Serve)
	if e.callerListener, err = accounts.Listen("callers", s.CallerAddress, limits.Callers); err != nil {
		return err
	}
	e.serve("callers", e.callerListener, e.callers.Serve)
	for _, endpoint := range []struct {
		side, address  string
		maxConnections int
		handler        http.Handler
	}{
		{"ready", s.ReadyAddress, limits.Operators, adapter.NewReadyHandler(e.Ready)},
		{"directory", s.DirectoryAddress, limits.Directory, adapter.NewDirectoryHandler(e.addresses, s.AddressTTL)},
		{"metrics", s.MetricsAddress, limits.Operators, e.metricsHandler()},
	} {
		server := &http.Server{Handler: endpoint.handler, ErrorLog: errorLog(e.params.Events)}
		accounts.PrepareSmall(server)
		e.others = append(e.others, server)
		if err := e.listenHTTP(endpoint.side, endpoint.address, endpoint.maxConnections, server); err != nil {
			return err
		}
	}
	return nil
}

// metricsHandler serves the traffic report under its path and the metrics everywhere else.
func (e *Entry) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", e.params.Registry.Handler)
	mux.Handle(traffic.Path, traffic.Source{
		VM: e.params.Settings.VM, Zone: e.params.Settings.Zone,
		Tree: e.params.Tree.Tree, Services: e.params.Services,
	}.Handler())
	mux.Handle(allowance.Path, e.params.Owner.Handler())
	return mux
}

func (e *Entry) listenHTTP(side, address string, maxConnections int, server *http.Server) error {
	if address == "" {
		return nil
	}
	l, err := e.params.Account.Listen(side, address, maxConnections)
	if err != nil {
		return err
	}
	e.serve(side, l, server.Serve)
	return nil
}

// serve runs one server in the background until it or its listener is closed.
func (e *Entry) serve(side string, l net.Listener, run func(net.Listener) error) {
	e.background.Go(func() {
		err := run(l)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, peer.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			e.params.Events.Warn("server failed", "side", side, "error", err)
		}
	})
}

func (e *Entry) startBackground(ctx context.Context) {
	s := e.params.Settings
	e.params.Node.AddSeeds(s.Seeds...)
	e.params.Node.Join(time.Now())
	e.background.Go(func() { e.params.Workers.Run(ctx, dispatchers) })
	e.background.Go(func() { e.params.StoreSync.Run(ctx) })
	e.background.Go(func() {
		if err := e.params.Node.Receive(); err != nil {
			e.params.Events.Warn("receiving datagrams failed", "error", err)
		}
	})
	e.background.Go(func() { cluster.RunEvery(ctx, probeInterval, e.probeRound) })
	list := &memberList{
		log:    e.params.Adapter.Log,
		stream: e.params.Adapter.EntriesStream,
		node:   e.params.Node,
		self:   s.VM,
		events: e.params.Events,

		storeEpoch: e.params.StoreSync.StoreEpoch,
	}
	e.background.Go(func() { list.run(ctx) })
}

// probeRound runs one round of probes of the servers assigned to this member, and sends
// the regular heartbeat after every heartbeatRounds-th round.
func (e *Entry) probeRound(ctx context.Context, now time.Time) {
	e.params.Callbacks.applyMembers(now, e.params.Node.View())
	e.params.Owner.Tick()
	e.params.LoadSync.Round(ctx, now)
	e.rounds++
	if e.rounds%heartbeatRounds != 0 {
		return
	}
	now = time.Now()
	if status := e.status(now); e.params.Node.HeartbeatDue(status) {
		e.sendHeartbeat(status, now)
	}
}

// status returns what this entry announces about itself.
func (e *Entry) status(now time.Time) cluster.Status {
	version, hash := e.params.StoreSync.ServersVersionAndHash()
	evacuationsVersion, evacuationsHash := e.params.StoreSync.EvacuationsVersionAndHash()
	return cluster.Status{
		Ready:          e.Ready(),
		Leaving:        e.params.Drainer.Draining(),
		Revision:       e.params.StoreSync.Revision(),
		ServersVersion: version,
		ServersHash:    hash,
		StoreReadAge:   e.params.StoreSync.StoreReadAge(now),
		StoreFailing:   e.params.StoreSync.StoreFailing(),

		EvacuationsVersion: evacuationsVersion,
		EvacuationsHash:    evacuationsHash,
	}
}

// sendHeartbeat sends the status of this entry and the new load reports to the other
// entries.
func (e *Entry) sendHeartbeat(status cluster.Status, now time.Time) {
	hb := &cluster.Heartbeat{Status: status}
	e.params.LoadSync.Collect(hb, now)
	e.params.Guard.Collect(hb, now)
	e.params.Node.SendHeartbeat(hb, now)
}

// View returns the cluster as this entry sees it.
func (e *Entry) View() *cluster.View { return e.params.Node.View() }
