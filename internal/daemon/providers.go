package daemon

import (
	"encoding/json"
	"math"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/account"
	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/attempt"
	"chestnutrouter.example/chestnutrouter/internal/buffer"
	"chestnutrouter.example/chestnutrouter/internal/drain"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/follow"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/frontend"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/membership"
	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/quota"
	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/service"
	"chestnutrouter.example/chestnutrouter/internal/settings"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

func newScope(registry *metrics.Registry) tally.Scope { return registry.Scope }

func newLimits(s *settings.Settings, logger *log.Logger) account.Limits {
	descriptors, err := account.Descriptors()
	if err != nil {
		logger.Warn("descriptors are not limited", "error", err)
	}
	return account.LimitsFor(softMemoryLimit(s), descriptors)
}

func newAccount(limits account.Limits, logger *log.Logger, scope tally.Scope) *account.Account {
	write := func(msg string, fields ...any) { logger.Warn(msg, fields...) }
	return account.New(limits, write, scope)
}

func newOperationTable() *operation.Table { return operation.New(operation.Options{}) }

func newPool() *peer.Pool { return peer.NewPool(peer.Options{}) }

func newPlatformClient(s *settings.Settings) *logservice.Client {
	return logservice.NewClient(s.PlatformEndpoints, logservice.Options{ClientName: s.VM})
}

func newServices(s *settings.Settings, scope tally.Scope, workers *admission.Workers,
	m *membership.Membership,
) *service.Set {
	return service.NewSet(service.Options{
		VM:         s.VM,
		Zone:       s.Zone,
		Scope:      scope,
		Workers:    workers,
		OnDraining: m.ReportDraining,
		Entries:    func() int { return len(m.View().Entries) },
	})
}

// selfVM is this entry's row of the VM list according to its settings.
func selfVM(s *settings.Settings) fleet.VM {
	return fleet.VM{
		Name:          s.VM,
		Address:       s.CallerAddress,
		PeerAddress:   s.PeerAddress,
		StatusAddress: s.StatusAddress,
		Zone:          s.Zone,
		Service:       fleet.EntryService,
		State:         fleet.Live,
	}
}

// newContactTracker returns the record of the last contact with the log or a peer, for
// the global limits.
func newContactTracker() *quota.ContactTracker { return &quota.ContactTracker{} }

// newPeerClient returns a peer client whose replies count as contact.
func newPeerClient(pool *peer.Pool, contact *quota.ContactTracker) peer.Client {
	return contact.Client(pool)
}

// newLog returns a log client whose responses count as contact.
func newLog(p *logservice.Client, contact *quota.ContactTracker) logservice.Log {
	return contact.Log(p)
}

// memberPosition breaks the dependency cycle between the follower, which needs its
// position in the staggering order of the live entries, and the membership, which
// publishes the follower's offset.
type memberPosition struct {
	members atomic.Pointer[membership.Membership]
}

func newMemberPosition() *memberPosition { return &memberPosition{} }

// position returns how many live entries come before this one for the key.
func (p *memberPosition) position(key string) int {
	m := p.members.Load()
	if m == nil {
		return 0
	}
	return m.View().Position(key)
}

func newFollower(l logservice.Log, client peer.Client, position *memberPosition, logger *log.Logger, scope tally.Scope) *follow.Follower {
	return follow.New(follow.Options{Log: l, Client: client, Position: position.position, Logger: logger, Scope: scope})
}

func newMembership(s *settings.Settings, ops *operation.Table, f *follow.Follower, p *logservice.Client,
	client peer.Client, position *memberPosition, logger *log.Logger, scope tally.Scope,
) *membership.Membership {
	m := membership.New(membership.Options{
		Self:        selfVM(s),
		Incarnation: ops.Incarnation(),
		Epoch:       ops.Epoch,
		Follower:    f,
		VMs:         p,
		Client:      client,
		Seeds:       s.Peers,
		Logger:      logger,
		Scope:       scope,
	})
	position.members.Store(m)
	return m
}

func newLimiter(ops *operation.Table, f *follow.Follower, m *membership.Membership, client peer.Client,
	contact *quota.ContactTracker, scope tally.Scope,
) *quota.Limiter {
	self := ops.Incarnation()
	return quota.New(quota.Options{
		Incarnation:   self,
		Client:        client,
		Peers:         func() []quota.Peer { return lenders(m.View(), self) },
		Scope:         scope,
		LastContact:   contact.Last,
		LowestApplied: func() int64 { return lowestApplied(f.Current().Seats(), m.View()) },
	})
}

// lowestApplied returns the highest offset that all seat holders are known to have
// applied, or -1 if one of the holders is unknown.
func lowestApplied(seats seat.Table, v *membership.View) int64 {
	lowest := int64(math.MaxInt64)
	for _, incarnation := range seats.Holders() {
		holder, ok := v.ByIncarnation(incarnation)
		if !ok {
			return -1
		}
		lowest = min(lowest, holder.Offset)
	}
	if lowest == math.MaxInt64 {
		return -1
	}
	return lowest
}

// newClaimer returns the part that claims this entry's seat.
func newClaimer(s *settings.Settings, ops *operation.Table, l logservice.Log,
	f *follow.Follower, m *membership.Membership,
) *seat.Claimer {
	return seat.NewClaimer(seat.Options{
		Incarnation: ops.Incarnation(),
		VM:          s.VM,
		Log:         l,
		Listed:      func(vm string) (listed, known bool) { return m.View().Listed(vm) },
		Encode:      func(c seat.Claim) (json.RawMessage, error) { return statemachine.NewSeatClaim(c).Encode() },
		State:       func() (seat.Table, int) { return seatsOf(f.Current()) },
		Live:        func() []string { return liveIncarnations(m.View()) },
	})
}

// seatsOf returns the seat table and the declared number of seats.
func seatsOf(state *statemachine.State) (seat.Table, int) {
	t := state.Tree()
	if t == nil {
		return seat.Table{}, 0
	}
	return state.Seats(), t.Seats
}

func liveIncarnations(v *membership.View) []string {
	live := make([]string, 0, len(v.Entries))
	for _, e := range v.Entries {
		live = append(live, e.Incarnation)
	}
	return live
}

// lenders returns the other live entries.
func lenders(v *membership.View, self string) []quota.Peer {
	var peers []quota.Peer
	for _, e := range v.Entries {
		if e.Incarnation != self {
			peers = append(peers, quota.Peer{Incarnation: e.Incarnation, Address: e.VM.PeerAddress})
		}
	}
	return peers
}

// maxBufferedResponseBytes is the size of the largest response that is buffered completely before it is
// sent to the caller, so that a caller that reads slowly takes no slot of the server.
const maxBufferedResponseBytes = 256 << 10

func newForwarder(m *membership.Membership) *forward.Forwarder {
	return forward.New(forward.Options{
		Entries:                  func() int { return len(m.View().Entries) },
		MaxBufferedResponseBytes: maxBufferedResponseBytes,
		BufferSizedOnly:          true,
	})
}

func newRunner(services *service.Set, f *forward.Forwarder, drainer *drain.Drainer, scope tally.Scope) *attempt.Runner {
	return attempt.New(attempt.QueueAdmitter{Services: services}, f, scope).WithDrainer(drainer)
}

func newOwnerClient(client peer.Client, m *membership.Membership, seals *operation.SealStore) *operation.OwnerClient {
	return operation.NewOwnerClient(operation.OwnerClientOptions{
		Client: client,
		Address: func(incarnation string) (string, bool) {
			e, ok := m.View().ByIncarnation(incarnation)
			return e.VM.PeerAddress, ok
		},
		Seals: seals,
	})
}

// treeSource returns the active tree of a follower.
type treeSource struct{ follower *follow.Follower }

// Tree returns the active tree, or nil.
func (t treeSource) Tree() *tree.Tree { return t.follower.Current().Tree() }

// serverHosts looks up the IP addresses of backend servers in the newest view.
type serverHosts struct{ members *membership.Membership }

// IsServerHost reports whether a backend server has the IP address.
func (s serverHosts) IsServerHost(ip string) bool { return s.members.View().IsServerHost(ip) }

func newHandler(s *settings.Settings, f *follow.Follower, ops *operation.Table, ownerClient *operation.OwnerClient,
	limiter *quota.Limiter, runner *attempt.Runner, drainer *drain.Drainer, m *membership.Membership,
	accounts *account.Account, scope tally.Scope,
) *frontend.Handler {
	return frontend.NewHandler(frontend.Options{
		VM:          s.VM,
		Tree:        treeSource{f},
		Addresses:   m,
		AddressTTL:  s.AddressTTL(),
		Operations:  ops,
		OwnerClient: ownerClient,
		Limiter:     limiter,
		Runner:      runner,
		Servers:     serverHosts{m},
		Drainer:     drainer,
		Bodies:      buffer.NewBudgetFor(softMemoryLimit(s), scope).WithShedder(accounts),
		Scope:       scope,
	})
}
