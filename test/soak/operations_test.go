package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// warmUp and warmUpPerSecond are those of the users' platform.
	warmUp          = 3 * time.Second
	warmUpPerSecond = 7.9
	// operationPeriod is the time in which each operation happens once, in its first half, so that
	// a short run has requests after the bounds.
	operationPeriod = 6 * time.Second
	// surgeCallers send many times the allowance of tenantSurge, or what a cold server may get.
	surgeCallers = 8
	surgePause   = 4 * time.Millisecond
)

// evacuation is a zone that was evacuated from the store's acknowledgement until just before the
// removal.
type evacuation struct {
	zone string
	interval
}

// operations are what operators, tenants and servers do beside the faults.
var operations = []fault{
	{"replace key", func(w *world, _ *rand.Rand) {
		w.mu.Lock()
		defer w.mu.Unlock()
		t := w.tenant(tenantRotating)
		former := t.key
		t.key = w.newKey(t.name)
		w.version++
		written := time.Now()
		w.store.PutJSON("keyed.op", "config", w.config())
		acknowledged := time.Now()
		t.key.setAdded(acknowledged)
		former.setRemoved(written, acknowledged)
	}},
	{"change limit", func(w *world, r *rand.Rand) {
		w.mu.Lock()
		defer w.mu.Unlock()
		t := w.tenant(tenantSurge)
		t.limits = append(t.limits, limit{time.Now(), 5 + 30*r.Float64(), float64(2 + r.IntN(20))})
		w.version++
		w.store.PutJSON("keyed.op", "config", w.config())
	}},
	{"surge", func(w *world, r *rand.Rand) {
		w.surge(tenantSurge, r, randomDuration(r, 2000, 6000))
	}},
	{"evacuate", func(w *world, r *rand.Rand) {
		zone := []string{"z0", "z1"}[r.IntN(2)]
		duration := evacuationBound + randomDuration(r, 500, 2500)
		w.evacuateMu.Lock()
		defer w.evacuateMu.Unlock()
		w.store.PutJSON("keyed.op", "evacuate/"+zone, struct{}{})
		acknowledged := time.Now()
		time.Sleep(duration)
		w.mu.Lock()
		w.evacuations = append(w.evacuations, evacuation{zone, interval{acknowledged, time.Now()}})
		w.mu.Unlock()
		w.store.Put("keyed.op", "evacuate/"+zone, nil)
	}},
	{"server becomes cold", func(w *world, r *rand.Rand) {
		s := w.busyServer(r)
		w.mu.Lock()
		began := time.Now()
		s.SetCold(warmUp)
		s.colds = append(s.colds, interval{began, began.Add(warmUp)})
		w.mu.Unlock()
		w.surge(tenantSteady, r, warmUp) // more than a cold server may get
	}},
	{"server starts cold", func(w *world, r *rand.Rand) {
		old := w.busyServer(r)
		w.addColdServer(old.Service, warmUp)
		old.Drain()
		w.surge(tenantSteady, r, 2500*time.Millisecond)
		old.Close()
	}},
}

// busyServer returns one of the newest servers of a service that most requests go to.
func (w *world) busyServer(r *rand.Rand) *server {
	service := routes[r.IntN(2)].service
	w.mu.Lock()
	defer w.mu.Unlock()
	of := slices.DeleteFunc(slices.Clone(w.servers), func(s *server) bool { return s.Service != service })
	return of[len(of)-1-r.IntN(serverCount)]
}

// surge runs callers of the tenant that do not pause between their requests.
func (w *world) surge(tenant string, r *rand.Rand, duration time.Duration) {
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range surgeCallers {
		w.mu.Lock()
		w.callers++
		c := w.newCaller(tenant, 300+w.callers, r.Uint64())
		w.mu.Unlock()
		c.pause = surgePause
		group.Go(func() { c.run(stop) })
	}
	time.Sleep(duration)
	close(stop)
	group.Wait()
}

// withOperations adds the operations to the faults, whose schedule they leave as it is.
func withOperations(faults []scheduledFault, seed uint64, duration time.Duration) []scheduledFault {
	r := rand.New(rand.NewPCG(seed, 3))
	all := slices.Clone(faults)
	for begin := time.Duration(0); begin < duration; begin += operationPeriod {
		period := min(operationPeriod, duration-begin)
		for _, o := range operations {
			all = append(all, scheduledFault{begin + time.Duration(r.Int64N(int64(period)/2)), o, r.Uint64()})
		}
	}
	slices.SortStableFunc(all, func(a, b scheduledFault) int { return int(a.at - b.at) })
	return all
}

func (w *world) recordStoreDown(began time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeDown = append(w.storeDown, interval{began, time.Now()})
}
