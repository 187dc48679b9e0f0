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

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/attempt"
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
	// mostAddresses bounds the address answer.
	mostAddresses = 64
	// wholeAnswerBytes is the largest answer that is read whole before it counts.
	wholeAnswerBytes = 256 << 10
	// serverIdle is how long an unused connection to a backend server is kept;
	// servers close theirs after some more.
	serverIdle = 4 * time.Second
	// serverOnceIdle is the same for calls that are not idempotent, as a server
	// may close or forget an idle connection sooner than usual.
	serverOnceIdle = time.Second
	// serverDialTimeout bounds the opening of a connection to a backend server,
	// which takes a few milliseconds where it lives. Another one can still be tried.
	serverDialTimeout = 200 * time.Millisecond
	// unackedTimeout ends a connection whose other side acknowledges nothing.
	unackedTimeout = time.Second
)

// Module provides an *Entry for the settings and the adapter, with its start and stop.
func Module(s *Settings, adapter *Adapter) fx.Option {
	return fx.Options(
		fx.Supply(s, adapter),
		fx.Provide(
			newEvents,
			metrics.NewRegistry,
			newScope,
			newPool,
			newNode,
			newTrees,
			newObserver,
			admission.NewWorkers,
			newServices,
			newStoreSync,
			newForwarder,
			newDrain,
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

// errorLog brings the lines of net/http's servers into the log.
func errorLog(events *eventlog.Logger) *stdlog.Logger {
	return stdlog.New(warnWriter{events}, "", 0)
}

type warnWriter struct{ events *eventlog.Logger }

func (w warnWriter) Write(line []byte) (int, error) {
	w.events.Warn("http server", "error", string(line))
	return len(line), nil
}

func newScope(registry *metrics.Registry) tally.Scope { return registry.Scope }

func newPool() *peer.Pool { return peer.NewPool(peer.Options{}) }

func newTrees() *trees { return &trees{} }

func newDrain() *frontend.Drainer { return &frontend.Drainer{} }

// wiring breaks the circle between the mesh, which passes beats on, and the parts
// that take them in and know the members from it.
type wiring struct {
	self     string
	feed     *storesync.Syncer
	observer *loadsync.Syncer
	services *service.Set
	events   *eventlog.Logger

	members   atomic.Pointer[cluster.View] // not in force yet, nil where there is none
	inForceAt time.Time                    // of the last ones, see putMembers
}

func (w *wiring) handle(from cluster.LiveMember, b *cluster.Heartbeat) {
	w.observer.Receive(b, time.Now())
	w.feed.ObservePeer(from)
}

// flush tells the others at once what was learned since the last beat.
func (w *wiring) flush(node *cluster.Node) {
	now := time.Now()
	b := &cluster.Heartbeat{}
	w.observer.Collect(b, now)
	node.SendUpdate(b, now)
}

// changed notes that the members have changed.
func (w *wiring) changed(v *cluster.View) { w.members.Store(v) }

// membersInterval bounds how often changed members are put in force: that takes time
// for each pair of a member and a server, and at a start members come by ones.
const membersInterval = 200 * time.Millisecond

// putMembers puts changed members in force. Calls come one at a time.
func (w *wiring) putMembers(now time.Time) {
	if now.Sub(w.inForceAt) < membersInterval {
		return
	}
	v := w.members.Swap(nil)
	if v == nil {
		return
	}
	w.inForceAt = now
	ready := 0
	for _, m := range v.Live {
		if m.Ready && !m.Leaving {
			ready++
		}
	}
	w.services.SetEntryOrder(service.EntryOrder{
		Position: func(server string) int { return v.Position(w.self, server) },
		Entries:  max(ready, 1),
	})
	w.events.Info("members changed", "live", len(v.Live), "ready", ready, "silent", len(v.Silent), "known", v.Known)
}

func newNode(s *Settings, events *eventlog.Logger, scope tally.Scope) (*cluster.Node, *wiring, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.DatagramAddress))
	if err != nil {
		return nil, nil, err
	}
	w := &wiring{self: s.VM, events: events}
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
		OnHeartbeat: w.handle,
		OnChange:    w.changed,
		Scope:       scope,
	})
	return node, w, nil
}

// incarnation grows with each start, also where two come within a millisecond or
// the clock was set.
func incarnation(now time.Time) uint64 {
	const randomBits = 16
	return uint64(now.UnixMilli())<<randomBits | rand.Uint64N(1<<randomBits)
}

func newObserver(s *Settings, adapter *Adapter, node *cluster.Node, w *wiring, scope tally.Scope) *loadsync.Syncer {
	w.observer = loadsync.New(loadsync.Options{
		Self:   s.VM,
		View:   node.View,
		Sender: adapter.Prober,
		Flush:  func() { w.flush(node) },
		Scope:  scope,
	})
	return w.observer
}

func newServices(s *Settings, scope tally.Scope, workers *admission.Workers, node *cluster.Node, w *wiring, o *loadsync.Syncer) *service.Set {
	set := service.NewSet(service.Options{
		VM:       s.VM,
		Zone:     s.Zone,
		Scope:    scope,
		Workers:  workers,
		Entries:  func() int { return len(node.View().Live) },
		Observer: o,
	})
	w.services = set
	return set
}

func newStoreSync(s *Settings, adapter *Adapter, node *cluster.Node, w *wiring, pool *peer.Pool, events *eventlog.Logger,
	scope tally.Scope, t *trees, services *service.Set, o *loadsync.Syncer,
) *storesync.Syncer {
	a := applier{trees: t, services: services, observer: o}
	f := storesync.New(storesync.Options{
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
		DecodeServer: adapter.DecodeServer,
		Client:       pool,
		Self:         s.VM,
		Bootstrap:    s.Bootstrap,
		View:         node.View,
		OnTree:       a.setTree,
		OnServers:    func(vms []fleet.VM) { a.setServers(vms) },
		Events:       events,
		Scope:        scope,
	})
	w.feed = f
	return f
}

// apply gives each service of a tree that is not yet in force this entry's part
// of the budget.
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
		MaxBufferedResponseBytes: wholeAnswerBytes,
		CorrelatedResponses:      true,
		IdleTimeout:              serverIdle,
		NonIdempotentIdleTimeout: serverOnceIdle,
	})
}

func newHandler(s *Settings, t *trees, services *service.Set, f *forward.Forwarder, drain *frontend.Drainer,
	events *eventlog.Logger, scope tally.Scope,
) *frontend.Handler {
	return frontend.NewHandler(frontend.Options{
		VM:                   s.VM,
		Trees:                t,
		Runner:               attempt.New(attempt.QueueAdmitter{Services: services}, f, scope),
		Servers:              noServerHosts{},
		Drain:                drain,
		Scope:                scope,
		BufferUploads:        true,
		FractionalRetryAfter: true,
		OnCallEnd:            callLog{events}.ended,
	})
}

// noServerHosts is for a platform whose backend servers make no calls.
type noServerHosts struct{}

// IsServerHost implements frontend.ServerHosts.
func (noServerHosts) IsServerHost(string) bool { return false }

// atMost returns a random choice of n addresses where there are more.
func atMost(addresses []string, n int) []string {
	if len(addresses) <= n {
		return addresses
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:n]
}
