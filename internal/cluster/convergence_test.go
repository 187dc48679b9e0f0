package cluster

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var convergenceSeeds = flag.Uint64("convergence.seeds", 0, "number of seeds of TestViewsConvergeAfterRandomFaults, 0 for a few")

// faultWorld plays random faults on a cluster in virtual time.
type faultWorld struct {
	network
	random  *rand.Rand
	zones   int
	nodes   map[int]*testNode // the running members
	starts  uint64
	started int       // members so far
	frozen  time.Time // when the last freeze ends
	log     []string  // what was done, for a failure
}

func (f *faultWorld) note(format string, args ...any) {
	f.log = append(f.log, fmt.Sprintf(format, args...))
}

// start starts a member with the first three of the cluster as seeds, as in the settings.
func (f *faultWorld) start(i int, incarnation uint64) {
	seeds := []netip.AddrPort{memoryAddress(0), memoryAddress(1), memoryAddress(2)}
	f.nodes[i] = f.startMember(i, f.zones, incarnation, seeds...)
}

// nextIncarnation returns that of a start at the time of day.
func (f *faultWorld) nextIncarnation() uint64 {
	f.starts++
	return 1000 + f.starts
}

// running returns the indexes of the running members.
func (f *faultWorld) running() []int {
	var indexes []int
	for i := range f.nodes {
		indexes = append(indexes, i)
	}
	slices.Sort(indexes)
	return indexes
}

func (f *faultWorld) any() int {
	running := f.running()
	return running[f.random.IntN(len(running))]
}

// stop ends a member, after it has announced that for a while if it leaves.
func (f *faultWorld) stop(i int, leaves bool) {
	n := f.nodes[i]
	if leaves {
		n.leaving.Store(true)
		time.Sleep(time.Duration(f.random.IntN(int(time.Second))))
	}
	n.stop()
	delete(f.nodes, i)
}

// fault brings about a random fault.
func (f *faultWorld) fault() {
	part := map[netip.AddrPort]bool{}
	for i := range f.nodes {
		if f.random.IntN(3) == 0 {
			part[memoryAddress(i)] = true
		}
	}
	i := f.any()
	switch kind := f.random.IntN(10); kind {
	case 0, 1:
		f.note("%d members cut off", len(part))
		f.SetDrop(func(from, to netip.AddrPort) bool { return part[from] != part[to] })
	case 2:
		f.note("%d members not heard by the others", len(part))
		f.SetDrop(func(from, to netip.AddrPort) bool { return part[from] && !part[to] })
	case 3:
		seed := f.random.Uint64()
		f.note("links cut at random")
		f.SetDrop(func(from, to netip.AddrPort) bool {
			return score(seed^uint64(from.Addr().As4()[3]), uint64(to.Addr().As4()[3]))%4 == 0
		})
	case 4:
		f.note("healed")
		f.heal()
	case 5:
		f.note("%d starts", f.started)
		f.start(f.started, f.nextIncarnation())
		f.started++
	case 6:
		length := 200*time.Millisecond + time.Duration(f.random.IntN(int(4*time.Second)))
		f.note("%d freezes for %v", i, length)
		f.nodes[i].freeze(length)
		if end := time.Now().Add(length); end.After(f.frozen) {
			f.frozen = end
		}
	case 7, 8:
		if len(f.nodes) > 2 {
			f.note("%d stops, leaving %v", i, kind == 7)
			f.stop(i, kind == 7)
		}
	case 9:
		incarnation := f.nextIncarnation()
		if f.random.IntN(3) == 0 {
			incarnation = f.starts // the time of day was set back
		}
		f.note("%d starts again with incarnation %d", i, incarnation)
		f.stop(i, false)
		f.start(i, incarnation)
	}
}

// wrong describes the first view that does not hold exactly the running members, "" if there is none.
func (f *faultWorld) wrong() string {
	var want []string
	for _, i := range f.running() {
		self := f.nodes[i].options.Self
		want = append(want, fmt.Sprint(self.VM, "/", self.Incarnation))
	}
	slices.Sort(want)
	for _, i := range f.running() {
		var got []string
		for _, m := range f.nodes[i].View().Live {
			got = append(got, fmt.Sprint(m.VM, "/", m.Incarnation))
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			return fmt.Sprintf("%s sees\n%v, want\n%v", f.nodes[i].options.Self.VM, got, want)
		}
	}
	return ""
}

// Guards against members that do not find each other after random cuts, starts, stops and freezes,
// and against members that are gone and stay in a view.
func TestViewsConvergeAfterRandomFaults(t *testing.T) {
	seeds, most := uint64(50), 40
	if raceEnabled {
		seeds, most = 15, 16
	}
	if *convergenceSeeds > 0 {
		seeds = *convergenceSeeds
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 42))
			f := &faultWorld{network: newNetwork(), random: random, zones: 1 + random.IntN(4), nodes: map[int]*testNode{}}
			count := 3 + random.IntN(most-2)
			if seed%25 == 24 && !raceEnabled {
				count = maxFullMesh + 20 // with relays
			}
			for f.started < count {
				f.start(f.started, f.nextIncarnation())
				f.started++
			}
			defer func() {
				for _, n := range f.nodes {
					n.stop()
				}
			}()
			time.Sleep(stability)
			for range 2 + random.IntN(8) {
				f.fault()
				time.Sleep(time.Duration(random.IntN(int(6 * time.Second))))
			}
			f.heal()
			time.Sleep(max(time.Until(f.frozen), 0))
			time.Sleep(stability)
			for range 100 {
				if wrong := f.wrong(); wrong != "" {
					t.Fatalf("seed %d, %d members, %d zones: %s\nafter\n%s", seed, count, f.zones, wrong, strings.Join(f.log, "\n"))
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
}

// Guards against a view that changes with each hello of a member that hears this one, or is heard
// by it, in one direction only: work, callers and allowances would be assigned anew each time.
func TestViewsAreSteadyInAOneWayCut(t *testing.T) {
	cases := []struct{ members, zones int }{{2, 1}, {6, 2}, {24, 3}}
	if !raceEnabled {
		cases = append(cases, struct{ members, zones int }{60, 3})
	}
	for _, c := range cases {
		for _, links := range []struct {
			name string
			drop func(from, to netip.AddrPort) bool
		}{
			{"one is not heard by another", func(from, to netip.AddrPort) bool { return from == memoryAddress(0) && to == memoryAddress(1) }},
			{"one is not heard by the others", func(from, _ netip.AddrPort) bool { return from == memoryAddress(0) }},
			{"one does not hear the others", func(_, to netip.AddrPort) bool { return to == memoryAddress(0) }},
			{"one link is cut", func(from, to netip.AddrPort) bool {
				return from == memoryAddress(0) && to == memoryAddress(c.zones) || to == memoryAddress(0) && from == memoryAddress(c.zones)
			}},
		} {
			t.Run(fmt.Sprintf("%d members, %s", c.members, links.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newNetwork()
					nodes := w.startCluster(c.members, c.zones)
					defer stopAll(nodes)
					time.Sleep(stability)
					w.SetDrop(links.drop)
					time.Sleep(2 * stability)
					before := make([]int64, len(nodes))
					for i, n := range nodes {
						before[i] = n.changes.Load()
					}
					time.Sleep(30 * time.Second)
					for i, n := range nodes {
						if changes := n.changes.Load() - before[i]; changes > 0 {
							t.Errorf("the view of %s, with %d live members, changed %d times in 30s of a cut that does not change",
								n.options.Self.VM, len(n.View().Live), changes)
						}
					}
				})
			})
		}
	}
}
