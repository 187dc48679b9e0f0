// Package tree holds the settings that the members of a co-operative share: the
// documents that operators publish, their validation, and the effective Tree that
// entries use.
//
// A Tree is immutable. It is built from the accepted documents of all branches and
// replaced as a whole; a request keeps the Tree that it started with.
package tree

import (
	"time"
)

// Tree is the effective configuration after inheritance.
type Tree struct {
	// Members are the member businesses, in the root's order.
	Members []string
	// Quorum is the number of members that must approve a change that needs a vote.
	Quorum int
	// Seats is the number of equal shares into which each global limit is divided.
	Seats int
	// Regions group the availability zones.
	Regions Regions
	// Services are all services of all members, sorted by member, then name.
	Services []*Service
	// Limits are the global limits of all scopes, the least specific scope first.
	Limits []Limit
	// Budgets are the root's budgets, which apply to each entry as a whole.
	Budgets Budgets
	// Revision orders the trees of one platform; it never decreases.
	Revision int64
	// HostRoutes are the weighted routes by lower-case host. A host that has any is
	// not matched against the routes of the services. See IndexHostRoutes.
	HostRoutes map[string][]*HostRoute

	// KeysRequired is set if requests must carry the key of a tenant, unless their route is public.
	// If there are no tenants then, every key is refused.
	KeysRequired bool
	// Tenants are the customers whose callers send keys. See AddTenant.
	Tenants []*Tenant
	// Digest identifies the content of the tree among those of the same revision.
	Digest uint64
	// Warnings say which values of the configuration are not used as they are written.
	Warnings []string

	hostIndex    map[string]map[string]*HostRoute // HostRoutes by host and prefix
	tenantsByKey map[keyHash]*Tenant
}

// Service is one service of a member after inheritance.
type Service struct {
	// Member is the name of the member that owns the service.
	Member string
	// Name is unique within the member.
	Name string
	// Hosts are the lower-case host names of requests for this service.
	Hosts []string
	// Routes are tried in order; the first match wins.
	Routes []*Route
	// Ranks are sorted by Order: the most urgent first.
	Ranks []Rank
	// Budgets bound the service's retries, hedges and probes at each entry.
	Budgets Budgets
	// ConnectionsPerServer is the maximum number of connections to one backend
	// server from all entries together.
	ConnectionsPerServer int
	// SlotsPerServer is the number of requests that one backend server runs at a
	// time.
	SlotsPerServer int
	// Regions group the availability zones, as in the Tree.
	Regions Regions
	// LoadReportHeader and LoadShedHeader are the header names in which the service's
	// servers report their load and that they shed a request.
	LoadReportHeader, LoadShedHeader string
	// WarmUp is how long a backend server is cold after its start, zero if that is not known.
	WarmUp time.Duration
	// WarmUpPerSecond is the number of requests a second that a cold server takes from all
	// entries together, zero if it is not limited.
	WarmUpPerSecond float64
	// HealthPath is the path of a backend server's liveness check.
	HealthPath string
}

// Key returns "member/service", the service's name in the VM list.
func (s *Service) Key() string { return s.Member + "/" + s.Name }

// Rank returns the rank with that name.
func (s *Service) Rank(name string) (Rank, bool) {
	for _, r := range s.Ranks {
		if r.Name == name {
			return r, true
		}
	}
	return Rank{}, false
}

// Route maps a method and a path prefix of a service to a rank.
type Route struct {
	// Methods are in upper case; an empty list matches every method.
	Methods []string
	// PathPrefix is matched on whole path segments.
	PathPrefix string
	// Rank is the name of one of the service's ranks.
	Rank string
	// Idempotent calls may be retried and hedged; all others run at most once.
	Idempotent bool
	// Upload calls stream their body and count towards the rank's Streams.
	Upload bool
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64
	// Timeout is the default timeout of a call and the maximum that a caller may set.
	Timeout time.Duration
	// Target is the target latency of the route's calls; zero uses the rank's.
	Target time.Duration
	// MaxAttempts is the maximum number of backend servers that one call is sent to;
	// zero uses the default of package attempt.
	MaxAttempts int
	// Public calls need no key, even if the tree requires keys.
	Public bool
}

// Rank is the effective policy of one rank (priority class) of a service.
type Rank struct {
	// Name is the rank's name, such as "payments".
	Name string
	// Order sorts ranks; the lowest is the most urgent.
	Order int
	// Target is the target latency; the time in the queue must leave it attainable.
	Target time.Duration
	// QueueLength is the maximum number of requests that wait at one entry.
	QueueLength int
	// QueueBytes is the maximum number of request bytes buffered at one entry.
	QueueBytes int64
	// KeptShare is the share of served calls (0 to 1) that the rank is guaranteed
	// while more urgent ranks are overloaded.
	KeptShare float64
	// Streams is the maximum number of uploads in progress at one entry; zero means
	// no limit.
	Streams int
}

// Scope selects the calls that a limit applies to. Empty fields match everything,
// so the zero Scope is the whole co-operative.
type Scope struct {
	Member, Service, Rank string
}

// Limit is a global limit: it applies to the sum over all entries, and the members
// vote on its value.
type Limit struct {
	// Scope selects the calls that the limit applies to.
	Scope Scope
	// CallsPerSecond is the maximum number of calls started in a second; zero means
	// no limit.
	CallsPerSecond int
	// ConcurrentCalls is the maximum number of calls in progress; zero means no limit.
	ConcurrentCalls int
}

// Covers reports whether the limit applies to a call of that member, service and
// rank.
func (l Limit) Covers(member, service, rank string) bool {
	s := l.Scope
	if s.Member != "" && s.Member != member {
		return false
	}
	if s.Service != "" && s.Service != service {
		return false
	}
	return s.Rank == "" || s.Rank == rank
}

// Budgets bound the probes, retries and hedges of each entry.
type Budgets struct {
	// ProbesPerSecond is the maximum rate of active probes.
	ProbesPerSecond float64
	// RetryShare is the maximum number of retries as a share of successful calls.
	RetryShare float64
	// HedgeShare is the maximum number of hedges as a share of calls.
	HedgeShare float64
	// RetryBurst is the maximum burst of retries and hedges together at one entry;
	// zero uses the default of package attempt.
	RetryBurst float64
}
