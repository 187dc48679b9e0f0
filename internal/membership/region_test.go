package membership

import (
	"fmt"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// oneRegion treats all availability zones as one region.
func oneRegion(string, string) bool { return true }

func TestOwnZoneThenOwnRegionThenOthers(t *testing.T) {
	v := &View{}
	for _, zone := range []string{"north-1", "north-2", "south-1"} {
		for i := range 3 {
			v.Entries = append(v.Entries, Entry{VM: fleet.VM{Name: fmt.Sprint(zone, i), Zone: zone}, slowStartShare: 1})
		}
	}
	// Slow start defers this one for all callers.
	v.Entries[0].slowStartShare = 0
	sameRegion := func(a, b string) bool { return a[:5] == b[:5] }
	for i := range 50 {
		addresses := v.Addresses("north-1", fmt.Sprint("caller-", i), sameRegion)
		if addresses[0].Zone != "north-1" || addresses[1].Zone != "north-1" {
			t.Fatalf("got first addresses %v, want those of the caller's zone", addresses[:2])
		}
		for _, c := range addresses[2:6] {
			if c.Zone == "south-1" {
				t.Fatalf("an address of another region comes before the caller's own region: %v", addresses)
			}
		}
	}
}
