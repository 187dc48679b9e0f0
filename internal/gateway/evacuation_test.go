package gateway

import (
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// A server of an evacuated zone is not in use, so quarantine neither takes its end as evidence nor
// tries a request there; one that leaves is marked as leaving still.
func TestServersOfEvacuatedZonesAreNotInUse(t *testing.T) {
	listed := []fleet.VM{
		{Name: "a", Zone: "north", State: fleet.Live},
		{Name: "b", Zone: "south", State: fleet.Live},
		{Name: "c", Zone: "north", State: fleet.Leaving},
	}
	h := newTreeHolder()
	for _, c := range []struct {
		zones  []string
		states []fleet.State
	}{
		{nil, []fleet.State{fleet.Live, fleet.Live, fleet.Leaving}},
		{[]string{"none", "north"}, []fleet.State{fleet.Evacuated, fleet.Live, fleet.Leaving}},
		{[]string{"south"}, []fleet.State{fleet.Live, fleet.Evacuated, fleet.Leaving}},
	} {
		h.evacuation.set(c.zones)
		h.servers = h.evacuation.mark(listed)
		for i, want := range c.states {
			if got := h.servers[i].State; got != want {
				t.Errorf("zones %v: server %s is %s, want %s", c.zones, listed[i].Name, got, want)
			}
			if got := h.isInUse(listed[i]); got != (want == fleet.Live) {
				t.Errorf("zones %v: server %s is in use: %v", c.zones, listed[i].Name, got)
			}
		}
		if listed[0].State != fleet.Live || listed[1].State != fleet.Live {
			t.Fatal("the list of the store was changed")
		}
	}
}
