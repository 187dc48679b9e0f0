package gateway

import (
	stdlog "log"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"chestnutrouter.example/chestnutrouter/internal/account"
	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/attempt"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/buffer"
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
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	// maxAddresses bounds the addresses in the endpoint list.
	maxAddresses = 64
	// maxBufferedResponseBytes is the size of the largest response that is buffered
	// completely before it is used.
	maxBufferedResponseBytes = 256 << 10
	// serverIdleTimeout is how long an idle connection to a backend server is kept.
	// Servers close theirs somewhat later.
	serverIdleTimeout = 4 * time.Second
	// nonIdempotentIdleTimeout is the same for non-idempotent calls. It is shorter, as a
	// server may close or drop an idle connection sooner than usual.
	nonIdempotentIdleTimeout = time.Second
	// serverDialTimeout bounds the opening of a connection to a backend server. This
	// takes a few milliseconds if the server is up, and after a timeout there is still
	// time to try another server.
	serverDialTimeout = 200 * time.Millisecond
	// unackedTimeout closes a connection whose other side acknowledges nothing.
	unackedTimeout = time.Second
)

// Module provides an *Entry for the settings and the adapter, and its start and stop
// hooks.
func Module(s *Settings, adapter *Adapter) fx.Option {
	return fx.Options(
		fx.Supply(s, adapter),
		fx.Provide(
			newEvents,
			metrics.NewRegistry,
			newScope,
			newPool,
			newNode,
			newTreeHolder,
			newLimits,
			newAccount,
			newLoadSync,
			admission.NewWorkers,
			newServices,
			newStoreSync,
			newForwarder,
			newGuard,
			drain.New,
			newHandler,
			newEntry,
		),
		fx.Invoke(func(lc fx.Lifecycle, e *Entry) {
			lc.Append(fx.Hook{OnStart: e.Start, OnStop: e.Stop})
		}),
	)
}

func newEvents(s *Settings) *eventlog.Logger {
	out := s.Log
	if out == nil {
		out = os.Stdout
	}
	return eventlog.New(out, log.InfoLevel, "vm", s.VM)
}

// errorLog returns a logger that writes the messages of net/http to events.
func errorLog(events *eventlog.Logger) *stdlog.Logger {
	return stdlog.New(warnWriter{events}, "", 0)
}

type warnWriter struct{ events *eventlog.Logger }

// maxHTTPErrorBytes bounds a logged message of net/http, which may quote what a server sent.
const maxHTTPErrorBytes = 200

func (w warnWriter) Write(line []byte) (int, error) {
	w.events.Warn("net/http", "error", string(line[:min(len(line), maxHTTPErrorBytes)]))
	return len(line), nil
}

func newScope(registry *metrics.Registry) tally.Scope { return registry.Scope }

func newPool() *peer.Pool { return peer.NewPool(peer.Options{}) }

func newLimits(s *Settings, events *eventlog.Logger) account.Limits {
	descriptors, err := account.Descriptors()
	if err != nil {
		events.Warn("descriptors are not limited", "error", err)
	}
	return account.LimitsFor(s.softMemoryLimit(), descriptors)
}

func newAccount(limits account.Limits, events *eventlog.Logger, scope tally.Scope) *account.Account {
	return account.New(limits, events.Warn, scope)
}

func newTreeHolder() *treeHolder { return &treeHolder{} }

// clusterCallbacks breaks the dependency cycle between cluster.Node, which delivers
// heartbeats and view changes, and the components that handle these and use the node.
// Its components are set as they are constructed.
type clusterCallbacks struct {
	self      string
	storeSync *storesync.Syncer
	loadSync  *loadsync.Syncer
	services  *service.Set
	guard     *quarantine.Guard
	events    *eventlog.Logger

	pendingView      atomic.Pointer[cluster.View] // not applied yet, nil if there is none
	membersAppliedAt time.Time                    // see applyMembers
}

func (c *clusterCallbacks) onHeartbeat(from cluster.LiveMember, hb *cluster.Heartbeat) {
	now := time.Now()
	c.loadSync.Receive(hb, now)
	c.guard.Receive(hb, now)
	c.storeSync.ObservePeer(from)
}

// sendNow sends the load and crash reports since the last heartbeat to the other members immediately.
func (c *clusterCallbacks) sendNow(node *cluster.Node) {
	now := time.Now()
	hb := &cluster.Heartbeat{}
	c.loadSync.Collect(hb, now)
	c.guard.Collect(hb, now)
	node.SendUpdate(hb, now)
}

// onViewChange stores a changed view for the next call of applyMembers.
func (c *clusterCallbacks) onViewChange(v *cluster.View) { c.pendingView.Store(v) }

// logRequestLimit logs a change of a backend server's request limit.
func (c *clusterCallbacks) logRequestLimit(change balancer.RequestLimitChange) {
	fields := []any{"server", change.Server, "source", change.Source, "age_ms", change.Age.Milliseconds()}
	if change.Ended {
		c.events.Info("server limit ended", fields...)
		return
	}
	c.events.Info("server limit named", append(fields, "per_second", change.PerSecond)...)
}

// logNotices logs what a backend server newly says about further requests.
func (c *clusterCallbacks) logNotices(server string, news balancer.Notices) {
	if news.Leaving {
		c.events.Info("server says that it is leaving", "server", server)
	}
	if news.Pause > 0 {
		c.events.Info("server asked for a pause", "server", server, "pause_ms", news.Pause.Milliseconds())
	}
}

// minMembersInterval is the minimum time between two changes of members that are
// applied. A change takes time for each pair of a member and a server, and at a start
// members join one by one.
const minMembersInterval = 200 * time.Millisecond

// applyMembers applies the latest changed view, if any. It must not be called
// concurrently.
func (c *clusterCallbacks) applyMembers(now time.Time) {
	if now.Sub(c.membersAppliedAt) < minMembersInterval {
		return
	}
	v := c.pendingView.Swap(nil)
	if v == nil {
		return
	}
	c.membersAppliedAt = now
	ready := v.ReadyMembers()
	c.services.SetEntryOrder(service.EntryOrder{
		Position: func(server string) int { return v.Position(c.self, server) },
		Entries:  max(ready, 1),
		Senders: balancer.SenderOrder{
			Position: func(server, zone string) int { return v.LocalPosition(c.self, server, zone) },
			Entries:  max(ready, 1),
			Live:     len(v.Live),
			Missing:  v.Missing,
		},
	})
	c.events.Info("members changed", "live", len(v.Live), "ready", ready, "silent", len(v.Silent), "missing", v.Missing, "known", v.Known)
}

func newNode(s *Settings, events *eventlog.Logger, scope tally.Scope) (*cluster.Node, *clusterCallbacks, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.DatagramAddress))
	if err != nil {
		return nil, nil, err
	}
	callbacks := &clusterCallbacks{self: s.VM, events: events}
	node := cluster.NewNode(cluster.Options{
		Self: cluster.Member{
			VM:              s.VM,
			Zone:            s.Zone,
			CallerAddress:   s.CallerAddress,
			PeerAddress:     s.PeerAddress,
			DatagramAddress: s.DatagramAddress,
			Incarnation:     incarnation(time.Now()),
			Weight:          s.CPUQuota,
		},
		Conn:        conn,
		OnHeartbeat: callbacks.onHeartbeat,
		OnChange:    callbacks.onViewChange,
		Scope:       scope,
	})
	return node, callbacks, nil
}

// incarnation returns a number that grows with the time of the start. Random low bits
// distinguish starts within the same millisecond, also after the clock was set back.
func incarnation(now time.Time) uint64 {
	const randomBits = 16
	return uint64(now.UnixMilli())<<randomBits | rand.Uint64N(1<<randomBits)
}

func newLoadSync(s *Settings, adapter *Adapter, node *cluster.Node, callbacks *clusterCallbacks, scope tally.Scope) *loadsync.Syncer {
	callbacks.loadSync = loadsync.New(loadsync.Options{
		VM:     s.VM,
		View:   node.View,
		Sender: adapter.Prober,
		Flush:  func() { callbacks.sendNow(node) },
		Scope:  scope,
	})
	return callbacks.loadSync
}

func newServices(s *Settings, scope tally.Scope, workers *admission.Workers, node *cluster.Node, callbacks *clusterCallbacks, loadSync *loadsync.Syncer) *service.Set {
	set := service.NewSet(service.Options{
		VM:       s.VM,
		Zone:     s.Zone,
		Scope:    scope,
		Workers:  workers,
		Entries:  func() int { return len(node.View().Live) },
		Observer: loadSync,

		OnRequestLimit: callbacks.logRequestLimit,
		OnNotices:      callbacks.logNotices,
	})
	callbacks.services = set
	return set
}

func newStoreSync(s *Settings, adapter *Adapter, node *cluster.Node, callbacks *clusterCallbacks, pool *peer.Pool, events *eventlog.Logger,
	scope tally.Scope, holder *treeHolder, services *service.Set, loadSync *loadsync.Syncer,
) *storesync.Syncer {
	a := applier{holder: holder, services: services, loadSync: loadSync}
	storeSync := storesync.New(storesync.Options{
		Log:           adapter.Log,
		ConfigStream:  adapter.ConfigStream,
		ConfigKey:     adapter.ConfigKey,
		ServersStream: adapter.ServersStream,
		DecodeTree: func(value []byte) (*tree.Tree, error) {
			next, err := adapter.DecodeTree(value)
			if err == nil {
				s.Retry.apply(next, node.View().Known)
			}
			return next, err
		},
		DecodeRevision: adapter.DecodeRevision,
		DecodeServer:   adapter.DecodeServer,
		Client:         pool,
		Self:           s.VM,
		Zone:           s.Zone,
		Bootstrap:      s.Bootstrap,
		View:           node.View,
		OnTree:         a.setTree,
		OnServers:      func(vms []fleet.VM) { a.setServers(vms) },
		Events:         events,
		Scope:          scope,
	})
	callbacks.storeSync = storeSync
	return storeSync
}

// apply sets this entry's share of the budget in each service of a tree that is not
// active yet.
func (b RetryBudget) apply(t *tree.Tree, entries int) {
	for _, svc := range t.Services {
		svc.Budgets.RetryShare = b.share()
		svc.Budgets.HedgeShare = b.share()
		svc.Budgets.RetryBurst = b.burst(entries)
	}
}

func newForwarder(adapter *Adapter, node *cluster.Node) *forward.Forwarder {
	return forward.New(forward.Options{
		Entries:                  func() int { return len(node.View().Live) },
		Dial:                     dialServer,
		Dialect:                  adapter.Dialect,
		DisableExpectContinue:    true,
		MaxBufferedResponseBytes: maxBufferedResponseBytes,
		CorrelatedResponses:      true,
		IdleTimeout:              serverIdleTimeout,
		NonIdempotentIdleTimeout: nonIdempotentIdleTimeout,
	})
}

func newGuard(s *Settings, node *cluster.Node, callbacks *clusterCallbacks, services *service.Set, holder *treeHolder,
	events *eventlog.Logger, scope tally.Scope,
) *quarantine.Guard {
	callbacks.guard = quarantine.NewGuard(quarantine.Options{
		Check:      checkServer,
		InUse:      func(vm fleet.VM) bool { return holder.isInUse(vm) && !services.IsDraining(vm) },
		LastReport: services.LastReport,
		View:       node.View,
		Self:       s.VM,
		Flush:      func() { callbacks.sendNow(node) },
		Events:     events,
		Scope:      scope,
	})
	return callbacks.guard
}

func newHandler(s *Settings, holder *treeHolder, storeSync *storesync.Syncer, services *service.Set, forwarder *forward.Forwarder, drainer *drain.Drainer,
	guard *quarantine.Guard, accounts *account.Account, events *eventlog.Logger, scope tally.Scope,
) *frontend.Handler {
	return frontend.NewHandler(frontend.Options{
		VM:                   s.VM,
		Tree:                 holder,
		Runner:               attempt.New(attempt.QueueAdmitter{Services: services}, forwarder, scope).WithGuard(guard).WithDrainer(drainer),
		Servers:              noServerHosts{},
		Drainer:              drainer,
		IsBehind:             storeSync.IsBehind,
		Scope:                scope,
		Bodies:               buffer.NewBudgetFor(s.softMemoryLimit(), scope).WithShedder(accounts),
		BufferUploads:        true,
		FractionalRetryAfter: true,
		OnCallEnd:            accessLog{events}.logCall,
	})
}

// noServerHosts implements frontend.ServerHosts for a platform whose backend servers
// make no calls.
type noServerHosts struct{}

// IsServerHost implements frontend.ServerHosts.
func (noServerHosts) IsServerHost(string) bool { return false }

// sampleAddresses returns n random addresses, or all if there are at most n. It may
// shuffle its argument.
func sampleAddresses(addresses []string, n int) []string {
	if len(addresses) <= n {
		return addresses
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:n]
}
