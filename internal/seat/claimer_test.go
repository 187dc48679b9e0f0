package seat

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

// testCluster simulates the log, the VM list and the live processes for claimers.
// Tests change the fields between steps.
type testCluster struct {
	logservice.Log
	table   Table
	seats   int
	logDown bool
	count   int64
	vms     []string
	live    []string
}

func (c *testCluster) Append(_ context.Context, _ string, data json.RawMessage) (int64, error) {
	if c.logDown {
		return 0, errors.New("the log is down")
	}
	var claim Claim
	if err := json.Unmarshal(data, &claim); err != nil {
		return 0, err
	}
	c.count++
	c.table, _ = c.table.Apply(c.count, claim, c.seats)
	return c.count, nil
}

func (c *testCluster) listed(vm string) (listed, known bool) {
	return slices.Contains(c.vms, vm), c.vms != nil
}

func (c *testCluster) claimer(incarnation, vm string) *Claimer {
	return NewClaimer(Options{
		Incarnation: incarnation, VM: vm, Log: c, Listed: c.listed,
		Encode: func(claim Claim) (json.RawMessage, error) { return json.Marshal(claim) },
		State:  func() (Table, int) { return c.table, c.seats },
		Live:   func() []string { return c.live },
	})
}

func (c *testCluster) remove(vm, incarnation string) {
	c.vms = slices.DeleteFunc(c.vms, func(name string) bool { return name == vm })
	c.live = slices.DeleteFunc(c.live, func(name string) bool { return name == incarnation })
}

func newTestCluster(seats int) *testCluster {
	return &testCluster{
		seats: seats,
		vms:   []string{"v1", "v2", "v3"},
		live:  []string{"a", "b", "c"},
	}
}

func (c *testCluster) run(d time.Duration, claimers ...*Claimer) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(claimInterval) {
		for _, claimer := range claimers {
			claimer.step(context.Background())
		}
	}
}

func TestEveryEntryGetsOneSeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(3)
		c.run(time.Minute, c.claimer("a", "v1"), c.claimer("b", "v2"), c.claimer("c", "v3"))
		if got := c.table.Holders(); len(got) != 3 {
			t.Errorf("holders %v, want all three", got)
		}
	})
}

func TestSeatMovesOnlyWhenItsVMHasLeft(t *testing.T) {
	tests := []struct {
		name   string
		change func(*testCluster)
		moves  bool
	}{
		{"silent for hours, still listed", func(c *testCluster) { c.live = []string{"b"} }, false},
		{"not listed, still heard", func(c *testCluster) { c.vms = c.vms[1:] }, false},
		{"silent, no list known", func(c *testCluster) { c.live, c.vms = []string{"b"}, nil }, false},
		{"not listed, silent", func(c *testCluster) { c.remove("v1", "a") }, true},
		{"not listed, silent, log down", func(c *testCluster) { c.remove("v1", "a"); c.logDown = true }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(1)
				c.live = []string{"a", "b"}
				c.table, _ = c.table.Apply(0, Claim{Incarnation: "a", VM: "v1"}, 1)
				test.change(c)
				b := c.claimer("b", "v2")
				c.run(takeoverDelay-time.Second, b)
				if h, _ := c.table.Holder(0); h.Incarnation != "a" {
					t.Fatal("the seat was reassigned within the takeover delay")
				}
				c.run(3*time.Hour, b)
				if h, _ := c.table.Holder(0); (h.Incarnation == "b") != test.moves {
					t.Errorf("got holder %q, want it to be b: %v", h.Incarnation, test.moves)
				}
			})
		})
	}
}

func TestRestartedProcessTakesItsOwnSeatBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(1)
		c.table, _ = c.table.Apply(0, Claim{Incarnation: "a", VM: "v1"}, 1)
		c.live = []string{"a2"}
		c.run(takeoverDelay+10*time.Second, c.claimer("a2", "v1"))
		if h, _ := c.table.Holder(0); h.Incarnation != "a2" {
			t.Errorf("holder %q, want a2", h.Incarnation)
		}
	})
}

func TestSpareSeatsAreTakenAndGivenUpForNewcomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(4)
		c.live = []string{"a", "b"}
		a, b := c.claimer("a", "v1"), c.claimer("b", "v2")
		c.run(5*time.Minute, a, b)
		if x, y := len(c.table.HeldBy("a")), len(c.table.HeldBy("b")); x != 2 || y != 2 {
			t.Fatalf("a and b hold %d and %d seats, want 2 and 2", x, y)
		}
		c.live = append(c.live, "c")
		c.run(5*time.Minute, a, b, c.claimer("c", "v3"))
		if len(c.table.HeldBy("c")) == 0 {
			t.Error("c joined and got no seat, want at least one")
		}
		if err := a.ReleaseAll(t.Context()); err != nil {
			t.Error(err)
		}
		a.step(t.Context())
		if held := c.table.HeldBy("a"); len(held) != 0 {
			t.Errorf("a holds seats %v after ReleaseAll, want none", held)
		}
	})
}

func TestHolderOfASeatThatIsNoMoreClaimsAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(4)
		c.live = []string{"a"}
		c.table, _ = c.table.Apply(0, Claim{Seat: 3, Incarnation: "a", VM: "v1"}, 4)
		c.seats = 2 // a tree with fewer seats took effect
		c.run(10*time.Second, c.claimer("a", "v1"))
		if held := c.table.HeldBy("a"); held[0] > 1 {
			t.Errorf("a holds seats %v, want one below 2", held)
		}
	})
}

func TestPausedClaimerDoesNotCountThePauseAsAbsence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(1)
		c.table, _ = c.table.Apply(0, Claim{Incarnation: "a", VM: "v1"}, 1)
		c.remove("v1", "a")
		b := c.claimer("b", "v2")
		b.step(t.Context())
		time.Sleep(time.Hour) // the process is paused
		b.step(t.Context())
		if h, _ := c.table.Holder(0); h.Incarnation != "a" {
			t.Error("the seat was reassigned after only two checks of the VM list")
		}
		c.run(takeoverDelay+10*time.Second, b)
		if h, _ := c.table.Holder(0); h.Incarnation != "b" {
			t.Error("the seat was not reassigned to b after the takeover delay")
		}
	})
}
