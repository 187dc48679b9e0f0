package tree

import (
	"fmt"
	"net/url"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func hostRouteTree(weights ...int) *Tree {
	ranks := []Rank{{Name: "first"}}
	r := &HostRoute{Route: Route{PathPrefix: "/a/"}, RankName: "first"}
	for i, w := range weights {
		s := &Service{Member: "m", Name: string(rune('a' + i)), Ranks: ranks}
		r.Destinations = append(r.Destinations, Destination{Service: s, Weight: w})
	}
	longer := &HostRoute{Route: Route{PathPrefix: "/a/b/"}, RankName: "first", Destinations: r.Destinations[:1]}
	t := &Tree{HostRoutes: map[string][]*HostRoute{"shop.example": {r, longer}}}
	t.IndexHostRoutes()
	return t
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

// An escaped slash does not end a segment, so that a request with one runs at the service of the
// longest prefix that begins its path as it was sent (review, case 5). Other escapes are those of
// the same path.
func TestEscapedSlashBeginsNoSegment(t *testing.T) {
	tr := hostRouteTree(1)
	for _, c := range []struct {
		sent, path, prefix string
	}{
		{"/a/b%2Fx", "/a/b%2Fx", "/a/"},
		{"/a%2fb/x", "/a%2Fb/x", ""},
		{"/a/b/x%2Fy", "/a/b/x%2Fy", "/a/b/"},
		{"/%61/b/x", "/a/b/x", "/a/b/"},
		{"/a/b/x%20y%2f%C3%A9", "/a/b/x y%2Fé", "/a/b/"},
		{"/a/b/x", "/a/b/x", "/a/b/"},
	} {
		u, err := url.ParseRequestURI(c.sent)
		if err != nil {
			t.Fatal(err)
		}
		if got := PathOf(u); got != c.path {
			t.Errorf("%s: path %q, want %q", c.sent, got, c.path)
		}
		m, ok := tr.Match("shop.example", "GET", PathOf(u))
		if ok != (c.prefix != "") || ok && m.Route.PathPrefix != c.prefix {
			t.Errorf("%s: matched %v, route %+v, want prefix %q", c.sent, ok, m.Route, c.prefix)
		}
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

// The index finds the same route as a comparison with each prefix.
func TestHostRouteIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.StringMatching(`/([ab]{0,2}/){0,4}[ab]?`)
		s := &Service{Member: "m", Name: "s", Ranks: []Rank{{Name: "first"}}}
		tr := &Tree{HostRoutes: map[string][]*HostRoute{"h": {}}}
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			prefix := strings.TrimSuffix(path.Draw(t, "prefix"), "/") + "/"
			tr.HostRoutes["h"] = append(tr.HostRoutes["h"], &HostRoute{
				Route: Route{PathPrefix: prefix}, RankName: "first", Destinations: []Destination{{Service: s, Weight: 1}},
			})
		}
		tr.IndexHostRoutes()
		requested, want := path.Draw(t, "path"), ""
		for _, r := range tr.HostRoutes["h"] {
			if strings.HasPrefix(requested, r.PathPrefix) && len(r.PathPrefix) > len(want) {
				want = r.PathPrefix
			}
		}
		m, ok := tr.Match("h", "GET", requested)
		if ok != (want != "") || ok && m.Route.PathPrefix != want {
			t.Fatalf("%s: matched %v %+v, want prefix %q", requested, ok, m.Route, want)
		}
	})
}

func BenchmarkHostRouteMatch(b *testing.B) {
	for _, routes := range []int{100, 1400, 10_000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			s := &Service{Member: "m", Name: "s", Ranks: []Rank{{Name: "first"}}}
			tr := &Tree{HostRoutes: map[string][]*HostRoute{}}
			for i := range routes {
				tr.HostRoutes["h"] = append(tr.HostRoutes["h"], &HostRoute{
					Route: Route{PathPrefix: fmt.Sprintf("/route%x/", i)}, RankName: "first", Destinations: []Destination{{Service: s, Weight: 1}},
				})
			}
			tr.IndexHostRoutes()
			for b.Loop() {
				tr.Match("h", "GET", "/route1/item")
			}
		})
	}
}
