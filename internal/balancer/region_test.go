package balancer

import (
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Requests go to another region only if the entry's own region has no free slot.
func TestOtherRegionTakesOverflowOfTheOwnRegion(t *testing.T) {
	svc := shopService()
	svc.SlotsPerServer = 2
	svc.Regions = tree.Regions{"a": "north", "b": "north", "c": "south"}
	b := New(Options{Entry: "e1", Zone: "a"})
	b.Update([]fleet.VM{
		{Name: "own", Address: "own:80", Zone: "a", State: fleet.Live},
		{Name: "near", Address: "near:80", Zone: "b", State: fleet.Live},
		{Name: "far", Address: "far:80", Zone: "c", State: fleet.Live},
	}, svc)
	var order []string
	for range 6 {
		r, ok := b.Pick(time.Now(), nil)
		if !ok {
			t.Fatalf("no free slot after the picks %v, want 6 picks", order)
		}
		order = append(order, r.VM.Name)
	}
	for i, want := range []string{"own", "near", "own", "near", "far", "far"} {
		if order[i] != want {
			t.Fatalf("picked %v, want own and near alternating, then far", order)
		}
	}
}
