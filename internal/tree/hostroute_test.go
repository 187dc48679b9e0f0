package tree

import "testing"

func hostRouteTree(weights ...int) *Tree {
	ranks := []Rank{{Name: "first"}}
	r := &HostRoute{Route: Route{PathPrefix: "/a/"}, RankName: "first"}
	for i, w := range weights {
		s := &Service{Member: "m", Name: string(rune('a' + i)), Ranks: ranks}
		r.Destinations = append(r.Destinations, Destination{Service: s, Weight: w})
	}
	longer := &HostRoute{Route: Route{PathPrefix: "/a/b/"}, RankName: "first", Destinations: r.Destinations[:1]}
	routes := []*HostRoute{r, longer}
	SortHostRoutes(routes)
	return &Tree{HostRoutes: map[string][]*HostRoute{"shop.example": routes}}
}

func TestHostRouteLongestPrefixWins(t *testing.T) {
	tr := hostRouteTree(1)
	for _, c := range []struct {
		path, prefix string
	}{
		{"/a/x", "/a/"},
		{"/a/b/x", "/a/b/"},
		{"/a/b", "/a/"},
		{"/a", ""},
		{"/b/", ""},
	} {
		m, ok := tr.Match("SHOP.example:80", "GET", c.path)
		if ok != (c.prefix != "") || ok && m.Route.PathPrefix != c.prefix {
			t.Errorf("%s: matched %v, route %+v", c.path, ok, m.Route)
		}
	}
	if _, ok := tr.Match("other.example", "GET", "/a/x"); ok {
		t.Error("a route of another host matched")
	}
}

// The share of each destination is close to its weight even over few calls.
func TestPickDestinationKeepsTheWeights(t *testing.T) {
	const calls = 300
	m, _ := hostRouteTree(90, 10).Match("shop.example", "GET", "/a/x")
	counts := map[string]int{}
	for sequence := range uint64(calls) {
		counts[m.PickDestination(sequence).Service.Name]++
	}
	if counts["a"] < calls*85/100 || counts["b"] < calls*5/100 {
		t.Errorf("300 calls over weights 90 and 10: %v, want at least 255 for a and 15 for b", counts)
	}
	m, _ = hostRouteTree(100, 0).Match("shop.example", "GET", "/a/x")
	for sequence := range uint64(calls) {
		if m.PickDestination(sequence).Service.Name != "a" {
			t.Fatal("a destination of weight zero was picked")
		}
	}
}
