// Package tree holds the co-operative's settings: the documents that operators
// publish, their validation, and the effective Tree that entries act on.
//
// A Tree is immutable. It is built whole from the accepted documents of all
// branches and swapped whole; a request keeps the Tree that it began with.
package tree

import (
	"time"
)

// Tree is the effective configuration after inheritance.
type Tree struct {
	// Members are the member businesses, in the root's order.
	Members []string
	// Quorum is how many members must approve a change that needs a vote.
	Quorum int
	// Seats is the number of equal shares into which each voted limit is split.
	Seats int
	// Regions group the availability zones.
	Regions Regions
	// Services are all services of all members, sorted by member, then name.
	Services []*Service
	// Limits are the voted limits of every scope, widest scope first.
	Limits []Limit
	// Budgets are the root's budgets, which bound each entry as a whole.
	Budgets Budgets
	// Revision orders the trees of one platform; it only grows.
	Revision int64
	// HostRoutes are, by lower-case host, routes that name their services
	// themselves. They come before the routes of the services; see HostRoute.
	HostRoutes map[string][]*HostRoute
}

// Service is one service of a member after inheritance.
type Service struct {
	// Member is the owner.
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
	// ConnectionsPerServer is the limit of one backend server over all entries.
	ConnectionsPerServer int
	// SlotsPerServer is how many requests one backend server runs at a time.
	SlotsPerServer int
	// Regions group the availability zones, as in the Tree.
	Regions Regions
	// LoadReportHeader and LoadShedHeader name the service's own headers.
	LoadReportHeader, LoadShedHeader string
	// HealthPath is where a backend server answers liveness checks.
	HealthPath string
}

// Key returns "member/service", the service's name in the VM list.
func (s *Service) Key() string { return s.Member + "/" + s.Name }

// Rank returns the service's rank of that name.
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
	// Methods are upper-case; empty matches every method.
	Methods []string
	// PathPrefix is matched on whole path segments.
	PathPrefix string
	// Rank names one of the service's ranks.
	Rank string
	// Idempotent routes may be retried and hedged; the others run at most once.
	Idempotent bool
	// Upload routes stream large bodies and count against the rank's streams.
	Upload bool
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// Timeout is the deadline where the caller names none, and the longest it may name.
	Timeout time.Duration
	// MaxAttempts is the most backend servers that one call may be sent to; zero
	// leaves it to package attempt.
	MaxAttempts int
}

// Rank is the effective policy of one rank of work in a service.
type Rank struct {
	// Name of the rank, such as "payments".
	Name string
	// Order sorts ranks; the lowest is the most urgent.
	Order int
	// Target is the latency that the queue must leave reachable.
	Target time.Duration
	// QueueLength is the most requests that wait at one entry.
	QueueLength int
	// QueueBytes is the most request bytes buffered at one entry.
	QueueBytes int64
	// KeptShare is the share of served calls (0 to 1) kept in a more urgent flood.
	KeptShare float64
	// Streams is the most uploads in progress at one entry; zero sets no limit.
	Streams int
}

// Scope names what a limit governs. Empty fields match everything, so the zero
// Scope is the whole co-operative.
type Scope struct {
	Member, Service, Rank string
}

// Limit is a voted limit on shared capacity over the sum of all entries.
type Limit struct {
	// Scope is what the limit governs.
	Scope Scope
	// CallsPerSecond is the most calls started in a second; zero sets no limit.
	CallsPerSecond int
	// ConcurrentCalls is the most calls in progress; zero sets no limit.
	ConcurrentCalls int
}

// Covers reports whether the limit governs a call of that member, service and rank.
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

// Budgets bound work that the system causes by itself, for each entry.
type Budgets struct {
	// ProbesPerSecond is the agreed measuring budget of active probes.
	ProbesPerSecond float64
	// RetryShare is the most retries as a share of successes.
	RetryShare float64
	// HedgeShare is the most hedges as a share of calls.
	HedgeShare float64
	// RetryBurst is how many retries and hedges together may follow each other at
	// once at one entry; zero leaves it to package attempt.
	RetryBurst float64
}
