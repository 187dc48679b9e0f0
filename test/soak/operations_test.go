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
		stop := make(chan struct{})
		var group sync.WaitGroup
		for i := range surgeCallers {
			c := w.newCaller(tenantSurge, 300+i, r.Uint64())
			group.Go(func() { c.run(stop) })
		}
		time.Sleep(randomDuration(r, 2000, 6000))
		close(stop)
		group.Wait()
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
		s := w.randomServer(r)
		w.mu.Lock()
		defer w.mu.Unlock()
		began := time.Now()
		s.SetCold(warmUp)
		s.colds = append(s.colds, interval{began, began.Add(warmUp)})
	}},
	{"server starts cold", func(w *world, r *rand.Rand) {
		old := w.randomServer(r)
		w.addColdServer(old.Service, warmUp)
		old.Drain()
		time.Sleep(2500 * time.Millisecond)
		old.Close()
	}},
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
