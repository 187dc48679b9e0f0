package balancer

import (
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Work goes to another region only where the own one has no room.
func TestOtherRegionTakesWhatTheOwnOneHasNoRoomFor(t *testing.T) {
	svc := shop()
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
		s, ok := b.Pick(time.Now(), nil)
		if !ok {
			t.Fatalf("no place after %v", order)
		}
		order = append(order, s.VM.Name)
	}
	for i, want := range []string{"own", "near", "own", "near", "far", "far"} {
		if order[i] != want {
			t.Fatalf("picked %v, want own and near in turn, then far", order)
		}
	}
}
