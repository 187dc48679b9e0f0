package cluster

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// lossBound is the time after the loss of members from which on no live member may list one.
	lossBound = stability + 3*time.Second
	// listTTL is how long callers use an endpoint list.
	listTTL = 2 * time.Second
)

// Guards against an endpoint list that names lost members for as long as more of them are silent
// than live. Callers use a list for listTTL, so it must be right that much earlier. A member that
// starts after the loss learns of the lost ones by the records of others, and may not list them either.
func TestLostMembersLeaveTheEndpointList(t *testing.T) {
	cases := []struct {
		members, zones, lost int
		joins                bool // a member starts after the loss
	}{
		{2, 1, 1, false},
		{5, 2, 3, false},
		{5, 2, 3, true},
		{5, 2, 4, false},
		{5, 2, 4, true},
		{6, 3, 3, false},
		{12, 3, 1, true},
		{12, 3, 6, true},
		{12, 3, 11, false},
		{30, 3, 19, true},
		{60, 3, 30, false},
		{104, 3, 64, true},
		{104, 3, 103, false},
		{200, 3, 124, false},
		{471, 8, 292, true},
	}
	for _, c := range cases {
		if raceEnabled && c.members > 30 {
			continue // too large for its runtime; played without it
		}
		t.Run(fmt.Sprintf("%d of %d, one joins %v", c.lost, c.members, c.joins), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newNetwork()
				nodes := w.startCluster(c.members, c.zones)
				defer func() { stopAll(nodes) }()
				time.Sleep(stability)
				if wrong := incomplete(nodes, c.members); wrong != 0 {
					t.Fatalf("%d of %d nodes do not see all members before the loss", wrong, c.members)
				}
				stopAll(nodes[:c.lost])
				end := time.Now().Add(lossBound + stability)
				if c.joins {
					nodes = append(nodes, w.startMember(c.members, c.zones, uint64(c.members+1), memoryAddress(c.lost)))
				}
				survivors := nodes[c.lost:]
				var want []string
				for _, n := range survivors {
					want = append(want, n.options.Self.CallerAddress)
				}
				slices.Sort(want)
				time.Sleep(time.Until(end) - stability - listTTL)
				for time.Now().Before(end) {
					for _, n := range survivors {
						got := n.View().CallerAddresses()
						slices.Sort(got)
						if !slices.Equal(got, want) {
							t.Fatalf("%s lists %v, want the %d members that are left: %v", n.options.Self.VM, got, len(want), want)
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against an isolated member that lists only itself as soon as it hears nobody, and one that
// does not list itself: its callers may reach the others when it can't.
func TestIsolatedMembersStillAnswerCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members = 12
		w := newNetwork()
		nodes := w.startCluster(members, 3)
		defer stopAll(nodes)
		time.Sleep(stability)
		w.cutOff(1)
		isolated := nodes[0]
		time.Sleep(livenessTimeout + 2*heartbeatInterval)
		if got := isolated.View().CallerAddresses(); len(got) != members {
			t.Errorf("lists %v as soon as it is cut off, want all %d members", got, members)
		}
		time.Sleep(lossBound)
		if got := isolated.View().CallerAddresses(); !slices.Equal(got, []string{isolated.options.Self.CallerAddress}) {
			t.Errorf("lists %v after %v, want itself", got, lossBound)
		}
		w.heal()
		time.Sleep(stability)
		for _, n := range nodes {
			if got := n.View().CallerAddresses(); len(got) != members {
				t.Errorf("%s lists %v after the cut, want all %d members", n.options.Self.VM, got, members)
			}
		}
	})
}
