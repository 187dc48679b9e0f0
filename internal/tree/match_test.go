package tree

import "testing"

func TestMatchUsesWholePathSegments(t *testing.T) {
	svc := &Service{
		Member: "glazenpot", Name: "shop", Hosts: []string{"shop.example"},
		Routes: []*Route{
			{Methods: []string{"POST"}, PathPrefix: "/orders", Rank: "payments"},
			{PathPrefix: "/", Rank: "lookups", Idempotent: true},
		},
		Ranks: []Rank{{Name: "payments"}, {Name: "lookups"}},
	}
	tr := &Tree{Services: []*Service{svc}}
	for _, c := range []struct{ host, method, path, rank string }{
		{"shop.example:80", "POST", "/orders", "payments"},
		{"SHOP.example", "POST", "/orders/7", "payments"},
		{"shop.example", "POST", "/ordersx", "lookups"},
		{"shop.example", "GET", "/orders", "lookups"},
		{"other.example", "GET", "/", ""},
	} {
		m, _ := tr.Match(c.host, c.method, c.path)
		if m.Rank.Name != c.rank {
			t.Errorf("%s %s %s: rank %q, want %q", c.host, c.method, c.path, m.Rank.Name, c.rank)
		}
	}
}
