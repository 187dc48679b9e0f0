package tree

import (
	"cmp"
	"slices"
	"strings"
)

// Destination is a service that receives a share of a route's calls.
type Destination struct {
	// Service receives the calls.
	Service *Service
	// Weight is the share of the calls, relative to the other destinations.
	Weight int
}

// HostRoute is a route of a host that distributes its calls over services by
// weight. Its path prefix ends with a slash and is compared byte by byte.
type HostRoute struct {
	Route
	// Destinations holds at least one service; the sum of the weights is positive.
	Destinations []Destination
	// RankName is the name of a rank that each destination has.
	RankName string
}

// SortHostRoutes sorts the routes by prefix, the longest first, as the first match
// wins.
func SortHostRoutes(routes []*HostRoute) {
	slices.SortStableFunc(routes, func(a, b *HostRoute) int {
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
}

func matchHostRoute(routes []*HostRoute, path string) (Match, bool) {
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r.matchService(r.Destinations[0].Service)
		}
	}
	return Match{}, false
}

func (r *HostRoute) matchService(s *Service) (Match, bool) {
	rank, ok := s.Rank(r.RankName)
	return Match{Service: s, Route: &r.Route, Rank: rank, weighted: r}, ok
}

// fibonacciMultiplier is 2^64 divided by the golden ratio, as in Fibonacci hashing:
// any number of its consecutive multiples are spread evenly over the range of a
// uint64.
const fibonacciMultiplier = 0x9e3779b97f4a7c15

// PickDestination returns the match for the destination of a sequence number.
// Over consecutive numbers, the shares of the destinations follow the weights more
// closely than with a random choice.
func (m Match) PickDestination(sequence uint64) Match {
	if m.weighted == nil || len(m.weighted.Destinations) < 2 {
		return m
	}
	total := 0
	for _, d := range m.weighted.Destinations {
		total += d.Weight
	}
	point := int(sequence * fibonacciMultiplier >> 32 * uint64(total) >> 32)
	for _, d := range m.weighted.Destinations {
		point -= d.Weight
		if point < 0 {
			if picked, ok := m.weighted.matchService(d.Service); ok {
				return picked
			}
			return m
		}
	}
	return m
}
