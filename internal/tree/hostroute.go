package tree

import "strings"

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

// IndexHostRoutes prepares the matching of HostRoutes and must be called once after they
// are complete. Of routes of a host with the same prefix the first is used.
func (t *Tree) IndexHostRoutes() {
	t.hostIndex = make(map[string]map[string]*HostRoute, len(t.HostRoutes))
	for host, routes := range t.HostRoutes {
		byPrefix := make(map[string]*HostRoute, len(routes))
		for _, r := range routes {
			if byPrefix[r.PathPrefix] == nil {
				byPrefix[r.PathPrefix] = r
			}
		}
		t.hostIndex[host] = byPrefix
	}
}

// matchHostRoute returns the match of the longest prefix that begins the path. It looks up
// each part of the path that ends with a slash, so thousands of routes cost no more than a
// few.
func matchHostRoute(byPrefix map[string]*HostRoute, path string) (Match, bool) {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := byPrefix[path[:end+1]]; r != nil {
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

// PickDestination returns the match for the destination of a sequence number, with the rank
// of its route and no tenant.
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
				picked.KeysRequired = m.KeysRequired
				return picked
			}
			return m
		}
	}
	return m
}
