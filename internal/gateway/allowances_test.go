package gateway

import (
	"net/netip"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/allowance"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// An owner must grant by the active tree, and by none for tenants that it does not limit or know,
// so that the limit of the asking entry counts.
func TestLimitsFollowTheActiveTree(t *testing.T) {
	var active *tree.Tree
	limits := &tenantLimits{tree: func() *tree.Tree { return active }}
	check := func(tenant string, want allowance.Limit, wantOK bool) {
		t.Helper()
		if got, ok := limits.limit(tenant); got != want || ok != wantOK {
			t.Errorf("%s: got %v, %v, want %v, %v", tenant, got, ok, want, wantOK)
		}
	}
	check("a", allowance.Limit{}, false)
	active = &tree.Tree{Tenants: []*tree.Tenant{{Name: "a", PerSecond: 2, Burst: 3}, {Name: "unlimited", Burst: 3}}}
	check("a", allowance.Limit{PerSecond: 2, Burst: 3}, true)
	check("unlimited", allowance.Limit{}, false)
	check("unknown", allowance.Limit{}, false)
	active = &tree.Tree{Tenants: []*tree.Tenant{{Name: "a", PerSecond: 1}}}
	check("a", allowance.Limit{PerSecond: 1}, true)
}

// An entry that is its own only seed is alone and may grant to itself; one with another seed must
// first learn of that member.
func TestEntryKnowsWhetherItShouldHavePeers(t *testing.T) {
	self, other := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	for _, c := range []struct {
		seeds []netip.AddrPort
		want  bool
	}{{nil, false}, {[]netip.AddrPort{self}, false}, {[]netip.AddrPort{self, other}, true}} {
		if got := hasPeers(&Settings{DatagramAddress: self, Seeds: c.seeds}); got != c.want {
			t.Errorf("seeds %v: got %v, want %v", c.seeds, got, c.want)
		}
	}
}
