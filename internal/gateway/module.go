package gateway

import (
	"context"
	stdlog "log"
	"math"
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
	"chestnutrouter.example/chestnutrouter/internal/allowance"
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
	"chestnutrouter.example/chestnutrouter/internal/steady"
	"chestnutrouter.example/chestnutrouter/internal/storesync"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	// maxAddresses bounds the addresses in the endpoint list.
	maxAddresses = 64
	// maxBufferedResponseBytes is the size of the largest response that is buffered
	// completely before it is used.
	maxBufferedResponseBytes = 256 << 10
	// serverIdleTimeout is how long an idle connection to a backend server is kept if the server
	// does not announce how long it keeps it.
	serverIdleTimeout = 4 * time.Second
	// maxAnnouncedIdleTimeout bounds the announced time, so that connections to servers that
	// are not used any more do not add up.
	maxAnnouncedIdleTimeout = 30 * time.Second
	// nonIdempotentReuseAge is the idle time up to which a connection carries a non-idempotent
	// call. Some servers drop idle connections without notice, after 220 ms at the earliest.
	nonIdempotentReuseAge = 200 * time.Millisecond
	// serverDialTimeout bounds the opening of a connection to a backend server. This
	// takes a few milliseconds if the server is up, and after a timeout there is still
	// time to try another server.
	serverDialTimeout = 200 * time.Millisecond
	// settleTime is how long after its start an entry sends nothing to servers that warm up, and no
	// probes while it knows no other entry. Entries that start together know each other by then, so
	// that their shares of a limit add up to it.
	settleTime = time.Second
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
			newAllowances,
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

// peerReuseAge is the idle time after which a connection to another entry is replaced. It is short
// compared with the time in which a new configuration must be in force, and longer than the pauses
// between the calls for one update.
const peerReuseAge = 500 * time.Millisecond

func newPool() *peer.Pool {
	return peer.NewPool(peer.Options{MaxMessageBytes: maxPeerMessageBytes, ReuseAge: peerReuseAge})
}

func newLimits(s *Settings, events *eventlog.Logger) account.Limits {
	descriptors, err := account.Descriptors()
	if err != nil {
		events.Warn("descriptors are not limited", "error", err)
	}
	if s.Descriptors > 0 && (descriptors == 0 || s.Descriptors < descriptors) {
		descriptors = s.Descriptors
	}
	return account.LimitsFor(s.softMemoryLimit(), descriptors)
}

func newAccount(limits account.Limits, events *eventlog.Logger, scope tally.Scope) *account.Account {
	return account.New(limits, events.Warn, scope)
}

func newTreeHolder() *treeHolder { return &treeHolder{first: make(chan struct{})} }

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
	members   memberGauges

	pendingView      atomic.Pointer[cluster.View] // not applied yet, nil if there is none
	membersAppliedAt time.Time                    // see applyMembers
	returned         int                          // of the last view applied, see cluster.View.Returned
}

// memberGauges show the cluster as this entry sees it.
type memberGauges struct {
	live, silent, missing, known, longestSilence tally.Gauge
}

func newMemberGauges(scope tally.Scope) memberGauges {
	return memberGauges{
		live: scope.Gauge("members_live"), silent: scope.Gauge("members_silent"), missing: scope.Gauge("members_missing"),
		known: scope.Gauge("members_known"), longestSilence: scope.Gauge("members_longest_silence_seconds"),
	}
}

func (g *memberGauges) update(v *cluster.View) {
	g.live.Update(float64(len(v.Live)))
	g.silent.Update(float64(len(v.Silent)))
	g.missing.Update(float64(v.Missing))
	g.known.Update(float64(v.Known))
	g.longestSilence.Update(v.LongestSilence.Seconds())
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

// logWarmUp logs a warm-up of a backend server.
func (c *clusterCallbacks) logWarmUp(change balancer.WarmUpChange) {
	c.events.Info("server warming up", "server", change.Server, "left_ms", change.Left.Milliseconds(),
		"per_second", change.PerSecond, "source", change.Source, "age_ms", change.Age.Milliseconds())
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

// logZoneShare logs which share of a service's requests leaves for another availability zone, and
// the loads that it follows from, in requests per slot below the knee.
func (c *clusterCallbacks) logZoneShare(change balancer.ZoneShareChange) {
	c.events.Info("share to another zone changed", "service", change.Service, "zone", change.Zone,
		"share", round(change.Share), "before", round(change.Before), "own_load", round(change.OwnLoad), "load", round(change.Load))
}

// round rounds to hundredths, for log lines.
func round(x float64) float64 { return math.Round(100*x) / 100 }

// minMembersInterval is the minimum time between two changes of members that are
// applied. A change takes time for each pair of a member and a server, and at a start
// members join one by one.
const minMembersInterval = 200 * time.Millisecond

// applyMembers applies the latest changed view, if any, and updates the gauges from the current one.
// It must not be called concurrently.
func (c *clusterCallbacks) applyMembers(now time.Time, current *cluster.View) {
	c.members.update(current)
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
		ZoneRank: zoneRank(v, c.self),
		Senders: balancer.SenderOrder{
			Position: func(server, zone string) int { return v.LocalPosition(c.self, server, zone) },
			Entries:  max(ready, 1),
			Live:     len(v.Live),
			Missing:  v.Missing,
		},
	})
	c.events.Info("members changed", "live", len(v.Live), "ready", ready, "silent", len(v.Silent), "missing", v.Missing, "known", v.Known,
		"longest_silence_ms", v.LongestSilence.Milliseconds())
	if v.Returned != c.returned {
		c.events.Info("members heard again", "members", v.Returned-c.returned, "live", len(v.Live),
			"silence_ms", v.ReturnedAfter.Milliseconds())
		c.returned = v.Returned
	}
}

// zoneRank returns an entry's place among the ready entries of its availability zone.
func zoneRank(v *cluster.View, vm string) balancer.ZoneRank {
	rank, entries := v.ZoneRank(vm)
	return balancer.ZoneRank{Rank: rank, Entries: entries}
}

func newNode(s *Settings, events *eventlog.Logger, scope tally.Scope) (*cluster.Node, *clusterCallbacks, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.DatagramAddress))
	if err != nil {
		return nil, nil, err
	}
	callbacks := &clusterCallbacks{self: s.VM, events: events, members: newMemberGauges(scope)}
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

// incarnationRandomBits is the number of low bits of an incarnation that distinguish starts within
// the same millisecond, also after the clock was set back.
const incarnationRandomBits = 16

// incarnation returns a number that grows with the time of the start.
func incarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}

// startedAt returns when a member started, since the Unix epoch by the time of day of its VM.
func startedAt(m cluster.Member) time.Duration {
	return time.Duration(m.Incarnation>>incarnationRandomBits) * time.Millisecond
}

func newLoadSync(s *Settings, adapter *Adapter, node *cluster.Node, callbacks *clusterCallbacks, scope tally.Scope) *loadsync.Syncer {
	settledAt := time.Time{}
	if hasPeers(s) {
		settledAt = time.Now().Add(settleTime)
	}
	callbacks.loadSync = loadsync.New(loadsync.Options{
		VM:     s.VM,
		View:   node.View,
		Sender: adapter.Prober,
		Flush:  func() { callbacks.sendNow(node) },
		Scope:  scope,

		SettledAt: settledAt,
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
		OnWarmUp:       callbacks.logWarmUp,
		SettledAt:      time.Now().Add(settleTime),
		OnZoneShare:    callbacks.logZoneShare,
	})
	callbacks.services = set
	return set
}

func newStoreSync(s *Settings, adapter *Adapter, node *cluster.Node, callbacks *clusterCallbacks, pool *peer.Pool, events *eventlog.Logger,
	scope tally.Scope, holder *treeHolder, services *service.Set, loadSync *loadsync.Syncer,
) *storesync.Syncer {
	a := applier{holder: holder, services: services, loadSync: loadSync, events: events, scope: scope}
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
		OnTree: func(t *tree.Tree) {
			a.setTree(t)
			logWarnings(events, t)
		},
		OnServers: func(vms []fleet.VM) { a.setServers(vms) },
		Proof:     s.proof(node),
		Events:    events,
		Scope:     scope,

		DecodeEvacuation: adapter.DecodeEvacuation,
		OnEvacuations:    a.setEvacuations,
	})
	callbacks.storeSync = storeSync
	if s.StrictRevocation {
		node.HandleQueries(cluster.TopicFreshness, storeSync.AnswerProofQuery)
	}
	return storeSync
}

// proof returns the options of the proof that the configuration is the newest one.
func (s *Settings) proof(node *cluster.Node) storesync.ProofOptions {
	if !s.StrictRevocation {
		return storesync.ProofOptions{}
	}
	return storesync.ProofOptions{
		Bound:   s.RevocationBound,
		Current: min(s.ConfigBound, s.RevocationBound),
		Query: func(ctx context.Context, to cluster.LiveMember, question []byte) ([]byte, error) {
			return node.Query(ctx, to, cluster.TopicFreshness, question)
		},
		Clock: steady.SinceBoot,
	}
}

// maxLoggedWarnings bounds the log lines about one configuration.
const maxLoggedWarnings = 16

// logWarnings logs which values of an active configuration are not used.
func logWarnings(events *eventlog.Logger, t *tree.Tree) {
	for _, warning := range t.Warnings[:min(len(t.Warnings), maxLoggedWarnings)] {
		events.Warn("configuration value not used", "revision", t.Revision, "value", warning)
	}
	if more := len(t.Warnings) - maxLoggedWarnings; more > 0 {
		events.Warn("further configuration values not used", "revision", t.Revision, "values", more)
	}
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

func newForwarder(adapter *Adapter, node *cluster.Node, scope tally.Scope) *forward.Forwarder {
	return forward.New(forward.Options{
		Entries:                  func() int { return len(node.View().Live) },
		Dial:                     dialServer,
		Dialect:                  adapter.Dialect,
		DisableExpectContinue:    true,
		MaxBufferedResponseBytes: maxBufferedResponseBytes,
		CorrelatedResponses:      true,
		IdleTimeout:              serverIdleTimeout,
		MaxAnnouncedIdleTimeout:  maxAnnouncedIdleTimeout,
		NonIdempotentReuseAge:    nonIdempotentReuseAge,
		Scope:                    scope,
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
	guard *quarantine.Guard, allowances *allowance.Client, accounts *account.Account, events *eventlog.Logger, scope tally.Scope,
) *frontend.Handler {
	return frontend.NewHandler(frontend.Options{
		VM:                   s.VM,
		Tree:                 holder,
		FirstTree:            holder.first,
		Allowances:           allowances,
		Runner:               attempt.New(attempt.QueueAdmitter{Services: services}, forwarder, scope).WithGuard(guard).WithDrainer(drainer),
		Servers:              noServerHosts{},
		Drainer:              drainer,
		IsBehind:             storeSync.IsBehind,
		IsProven:             storeSync.IsProven,
		IsCurrent:            storeSync.IsCurrent,
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
