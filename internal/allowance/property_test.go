package allowance

import (
	"flag"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// fixedSeed makes the runs of the property test reproducible, unless the command line sets another
// seed.
const fixedSeed = "20261206"

func TestMain(m *testing.M) {
	flag.Parse()
	if isMemberProcess() {
		os.Exit(runMemberProcess())
	}
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", fixedSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fault is one fault of a random script.
type fault struct {
	kind   string
	entry  int
	length time.Duration
}

// play lets the fault happen and ends it.
func (f fault) play(w *world) {
	e := w.entries[f.entry]
	switch f.kind {
	case "kill":
		w.kill(e)
		time.Sleep(f.length)
		w.start(e)
	case "pause":
		w.pause(e, true)
		time.Sleep(f.length)
		w.pause(e, false)
	case "cut outgoing":
		w.setCut(func(from, _ *entry) bool { return from == e })
	case "cut incoming":
		w.setCut(func(_, to *entry) bool { return to == e })
	case "cut off":
		w.setCut(func(from, to *entry) bool { return from == e || to == e })
	case "cut off zone":
		w.setCut(func(from, to *entry) bool { return (from.zone == e.zone) != (to.zone == e.zone) })
	case "cut zone incoming":
		w.setCut(func(from, to *entry) bool { return to.zone == e.zone && from.zone != e.zone })
	case "cut zone outgoing":
		w.setCut(func(from, to *entry) bool { return from.zone == e.zone && to.zone != e.zone })
	case "kill all":
		for _, other := range w.entries {
			w.kill(other)
		}
		time.Sleep(f.length / 10)
		for _, other := range w.entries {
			w.start(other)
		}
	}
	if f.kind != "kill" && f.kind != "pause" {
		time.Sleep(f.length)
	}
	w.setCut(func(_, _ *entry) bool { return false })
}

// Load: 12 entries in three zones; one tenant sends 6 times its allowance while an entry is killed, then
// all are restarted at once, and then one of them is not heard by the others but hears them. A run of
// TestBoundHoldsInRandomFaults with -rapid.seed=31337 -rapid.checks=600 found it.
func TestBoundHoldsIfAnEntryIsNotHeardAfterAStartOfAll(t *testing.T) {
	tenant := &tree.Tenant{Name: "hot", PerSecond: 60}
	faults := []fault{
		{kind: "kill", entry: 10, length: 106 * time.Millisecond},
		{kind: "kill all", entry: 11, length: 113 * time.Millisecond},
		{kind: "cut outgoing", entry: 0, length: 3367 * time.Millisecond},
	}
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 12, tenant)
		play(t, w, []*tree.Tenant{tenant}, 6, 12*time.Second, func() {
			for _, f := range faults {
				time.Sleep(500 * time.Millisecond)
				f.play(w)
			}
		})
		w.checkBound(tenant)
	})
}

// Load: 12 entries in three zones; one tenant sends 6 times its allowance while random faults
// follow each other. The bound must hold in every window, whatever the rate and the burst are.
func TestBoundHoldsInRandomFaults(t *testing.T) {
	kinds := []string{"kill", "pause", "cut outgoing", "cut incoming", "cut off", "cut off zone", "cut zone incoming", "cut zone outgoing", "kill all"}
	rapid.Check(t, func(rt *rapid.T) {
		tenant := &tree.Tenant{
			Name:      "hot",
			PerSecond: rapid.SampledFrom([]float64{2, 10, 60, 200}).Draw(rt, "rate"),
			Burst:     rapid.SampledFrom([]float64{0, 5, 100}).Draw(rt, "burst"),
		}
		var faults []fault
		for range rapid.IntRange(1, 5).Draw(rt, "faults") {
			faults = append(faults, fault{
				kind:   rapid.SampledFrom(kinds).Draw(rt, "kind"),
				entry:  rapid.IntRange(0, 11).Draw(rt, "entry"),
				length: time.Duration(rapid.IntRange(100, 6000).Draw(rt, "ms")) * time.Millisecond,
			})
		}
		most, granted := 0, 0
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 12, tenant)
			play(t, w, []*tree.Tenant{tenant}, 6, 12*time.Second, func() {
				for _, f := range faults {
					time.Sleep(500 * time.Millisecond)
					f.play(w)
				}
			})
			most = w.most(tenant)
			granted, _ = w.count(tenant, http.StatusTooManyRequests)
		})
		if wanted := bound(tenant); float64(most) > wanted {
			rt.Fatalf("%d grants within %v, want at most %.1f", most, quotaWindow, wanted)
		}
		if granted == 0 {
			rt.Fatal("nothing was granted")
		}
	})
}
