package tree

import (
	"cmp"
	"slices"
	"strings"
)

// Destination is a service that takes part of a route's calls.
type Destination struct {
	// Service takes the calls.
	Service *Service
	// Weight is the part of the calls, relative to the other destinations.
	Weight int
}

// HostRoute is a route of a host that names its services by weight. Its path
// prefix ends with a slash and is matched as it stands.
type HostRoute struct {
	Route
	// Destinations are not empty, and their weights add up to more than zero.
	Destinations []Destination
	// RankName names a rank that each destination has.
	RankName string
}

// SortHostRoutes puts the longest prefix first, as the first match wins.
func SortHostRoutes(routes []*HostRoute) {
	slices.SortStableFunc(routes, func(a, b *HostRoute) int {
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
}

func matchHostRoute(routes []*HostRoute, path string) (Match, bool) {
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r.matchOf(r.Destinations[0].Service)
		}
	}
	return Match{}, false
}

func (r *HostRoute) matchOf(s *Service) (Match, bool) {
	rank, ok := s.Rank(r.RankName)
	return Match{Service: s, Route: &r.Route, Rank: rank, split: r}, ok
}

// spread is 2^64 divided by the golden ratio: multiples of it fill the range of
// a uint64 evenly, whatever their number.
const spread = 0x9e3779b97f4a7c15

// PickDestination returns the match at the destination of the turn. Successive turns keep
// the weights of the destinations more exactly than random ones.
func (m Match) PickDestination(turn uint64) Match {
	if m.split == nil || len(m.split.Destinations) < 2 {
		return m
	}
	total := 0
	for _, d := range m.split.Destinations {
		total += d.Weight
	}
	point := int(turn * spread >> 32 * uint64(total) >> 32)
	for _, d := range m.split.Destinations {
		point -= d.Weight
		if point < 0 {
			if at, ok := m.split.matchOf(d.Service); ok {
				return at
			}
			return m
		}
	}
	return m
}
