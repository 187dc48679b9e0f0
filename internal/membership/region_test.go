package membership

import (
	"fmt"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// oneRegion takes all availability zones for near.
func oneRegion(string, string) bool { return true }

func TestOwnZoneThenOwnRegionThenOthers(t *testing.T) {
	v := &View{}
	for _, zone := range []string{"north-1", "north-2", "south-1"} {
		for i := range 3 {
			v.Entries = append(v.Entries, Entry{VM: fleet.VM{Name: fmt.Sprint(zone, i), Zone: zone}, readiness: 1})
		}
	}
	// The ramp leaves this one out for nearly all callers.
	v.Entries[0].readiness = 0
	near := func(a, b string) bool { return a[:5] == b[:5] }
	for i := range 50 {
		choices := v.Addresses("north-1", fmt.Sprint("caller-", i), near)
		if choices[0].Zone != "north-1" || choices[1].Zone != "north-1" {
			t.Fatalf("first choices %v, want the own zone", choices[:2])
		}
		for _, c := range choices[2:6] {
			if c.Zone == "south-1" {
				t.Fatalf("another region comes before the own one: %v", choices)
			}
		}
	}
}
