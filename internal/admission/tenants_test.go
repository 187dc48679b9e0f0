package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// tenantItem returns a request of a tenant that can wait for a second.
func tenantItem(tenant string, rate, utilization float64, now time.Time) *Item {
	return &Item{Request: Request{Rank: "look", Deadline: now.Add(time.Second), Tenant: tenant, TenantRate: rate, Utilization: utilization}}
}

// bothModes runs a test with a scheduler that predicts response times and one that does not. free
// sets the number of free slots.
func bothModes(t *testing.T, test func(t *testing.T, s *Scheduler, free *int)) {
	t.Run("plain", func(t *testing.T) {
		picker := &fakePicker{}
		test(t, newTestScheduler(picker), &picker.free)
	})
	t.Run("predictive", func(t *testing.T) {
		picker := &fakePredictivePicker{}
		test(t, newTestScheduler(picker), &picker.fullSpeed)
	})
}

func tenantsOf(items []*Item) []string {
	var names []string
	for _, item := range items {
		names = append(names, item.Tenant)
	}
	return names
}

// A tenant whose requests came first must not make those of another one wait until all of them
// are served: tenants of the same rate take turns.
func TestTenantsTakeTurns(t *testing.T) {
	bothModes(t, func(t *testing.T, s *Scheduler, free *int) {
		now := time.Now()
		for _, tenant := range []string{"a", "a", "a", "a", "b", "b"} {
			if refusal := s.Enqueue(tenantItem(tenant, 10, 0, now), now); refusal != nil {
				t.Fatal(refusal)
			}
		}
		*free = 10
		granted, _ := decideAll(s, now)
		if got, want := tenantsOf(granted), []string{"a", "b", "a", "b", "a", "a"}; !slices.Equal(got, want) {
			t.Errorf("served in the order %v, want %v", got, want)
		}
	})
}

// What a tenant sends beyond its usual demand must wait behind the requests of all others, and
// what it usually sends must not.
func TestExcessWaitsBehindTheOthers(t *testing.T) {
	bothModes(t, func(t *testing.T, s *Scheduler, free *int) {
		now := time.Now()
		for range 16 {
			if refusal := s.Enqueue(tenantItem("surge", 10, 1, now), now); refusal != nil {
				t.Fatal(refusal)
			}
		}
		for range 4 {
			if refusal := s.Enqueue(tenantItem("usual", 10, 0.6, now), now); refusal != nil {
				t.Fatal(refusal)
			}
		}
		*free = 20
		granted, _ := decideAll(s, now)
		names := tenantsOf(granted)
		if last := slices.Index(names[8:], "usual"); last >= 0 {
			t.Errorf("the last request of usual demand was number %d, want at most 8: %v", last+9, names)
		}
		excess := 0
		for _, item := range granted {
			if item.order.excess {
				excess++
			}
		}
		if want := 16 - 16/1.6; float64(excess) != want {
			t.Errorf("%d of 16 requests at a use of 1 counted as excess, want %.0f", excess, want)
		}
	})
}

// A full queue must drop a request of the tenant with the largest excess, not one of a tenant with
// little use that arrives last. A tenant with a surge drops none of the others.
func TestFullQueueDropsTheLargestExcess(t *testing.T) {
	bothModes(t, func(t *testing.T, s *Scheduler, _ *int) {
		now := time.Now()
		length := testRanks[0].QueueLength
		for range length {
			if refusal := s.Enqueue(tenantItem("surge", 10, 1, now), now); refusal != nil {
				t.Fatal(refusal)
			}
		}
		if refusal := s.Enqueue(tenantItem("usual", 10, 0.5, now), now); refusal != nil {
			t.Fatalf("the request of usual demand was refused: %v", refusal)
		}
		d, ok := s.Next(now)
		if !ok || d.Refusal == nil || d.Item.Tenant != "surge" || d.Refusal.Reason != outcome.ReasonQueueFull || d.Refusal.Outcome != outcome.NotRun {
			t.Errorf("got decision %+v, want the refusal of a request of the surge", d)
		}
		if s.Remove(d.Item) || s.Waiting() != length {
			t.Errorf("%d requests wait, want %d without the dropped one", s.Waiting(), length)
		}
		for range length {
			_ = s.Enqueue(tenantItem("surge", 10, 1, now), now)
			if d, ok := s.Next(now); ok && d.Item.Tenant != "surge" {
				t.Fatalf("dropped a request of %s for one of the surge", d.Item.Tenant)
			}
		}
	})
}

// The expected wait of a request counts only what is ahead of it: a backlog of a surge must not
// get requests of others refused.
func TestExpectedWaitCountsWhatIsAhead(t *testing.T) {
	bothModes(t, func(t *testing.T, s *Scheduler, free *int) {
		now := time.Now()
		// A dispatch every 20 ms shows a wait of 20 ms for each request ahead.
		for range 60 {
			if refusal := s.Enqueue(tenantItem("surge", 10, 1, now), now); refusal != nil {
				break
			}
			*free = 1
			now = now.Add(20 * time.Millisecond)
			for range 2 {
				_ = s.Enqueue(tenantItem("surge", 10, 1, now), now)
			}
			decideAll(s, now)
		}
		if refusal := s.Enqueue(tenantItem("surge", 10, 1, now), now); refusal == nil {
			t.Fatal("a request of the surge was queued behind the backlog, so the test shows nothing")
		}
		if refusal := s.Enqueue(tenantItem("usual", 10, 0.5, now), now); refusal != nil {
			t.Errorf("refused behind a backlog of another tenant: %v", refusal)
		}
	})
}

// Requests that are refused at the same moment must not all come again at the same moment.
func TestRetriesOfTenantsAreSpread(t *testing.T) {
	s := newTestScheduler(&fakePicker{})
	now := time.Now()
	for range testRanks[0].QueueLength {
		_ = s.Enqueue(tenantItem("a", 10, 1, now), now)
	}
	waits := map[time.Duration]bool{}
	for range 20 {
		if refusal := s.Enqueue(tenantItem("a", 10, 1, now), now); refusal != nil {
			waits[refusal.RetryAfter] = true
		}
	}
	if len(waits) < 15 {
		t.Errorf("20 refusals have %d values of Retry-After, want them spread", len(waits))
	}
}

// tenantLoad is the load of one entry in steps of a millisecond.
type tenantLoad struct {
	offered, served map[string]int
}

// playTenants offers the demands, in requests per second, for ten seconds to servers with that
// capacity in requests per second, whose requests take 50 ms.
func playTenants(s *Scheduler, free *int, capacity float64, demands, rates map[string]float64) tenantLoad {
	const step, serviceTime, length = time.Millisecond, 50 * time.Millisecond, 10 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	load := tenantLoad{map[string]int{}, map[string]int{}}
	*free = int(math.Round(capacity * serviceTime.Seconds()))
	var names []string
	for name := range demands {
		names = append(names, name)
	}
	slices.Sort(names)
	now := time.Now()
	running := map[time.Time][]*Item{}
	for end := now.Add(length); now.Before(end); now = now.Add(step) {
		for _, item := range running[now] {
			s.Finish(item, balancer.Result{Latency: serviceTime}, now)
			*free++
		}
		delete(running, now)
		for _, name := range names {
			for arrivals := demands[name] * step.Seconds(); arrivals > 0; arrivals-- {
				if random.Float64() < arrivals {
					load.offered[name]++
					_ = s.Enqueue(tenantItem(name, rates[name], min(demands[name]/rates[name], 1), now), now)
				}
			}
		}
		granted, _ := decideAll(s, now)
		for _, item := range granted {
			load.served[item.Tenant]++
			running[now.Add(serviceTime)] = append(running[now.Add(serviceTime)], item)
		}
	}
	return load
}

func (l tenantLoad) ratio(name string) float64 {
	return float64(l.served[name]) / float64(l.offered[name])
}

func (l tenantLoad) total() float64 {
	offered, served := 0, 0
	for name := range l.offered {
		offered += l.offered[name]
		served += l.served[name]
	}
	return float64(served) / float64(offered)
}

// tenantDemands returns the usual demands of tenants by a power law with exponent 1.2, and their
// rates.
func tenantDemands(count int, total float64) (demands, rates map[string]float64) {
	sum := 0.0
	for i := range count {
		sum += math.Pow(float64(i+1), -1.2)
	}
	demands, rates = map[string]float64{}, map[string]float64{}
	for i := range count {
		name := fmt.Sprintf("tenant-%02d", i)
		demands[name] = total * math.Pow(float64(i+1), -1.2) / sum
		rates[name] = 1.6 * demands[name]
	}
	return demands, rates
}

// Load: 20 tenants by a power law need 200 of 220 requests per second; the largest surges to its
// allowance, 1.6 times its usual demand, which together is more than there is. The others must be
// served as without the surge, and the tenant itself at least its usual demand.
func TestSurgeWithinTheAllowanceTakesNothingFromOthers(t *testing.T) {
	bothModes(t, func(t *testing.T, s *Scheduler, free *int) {
		demands, rates := tenantDemands(20, 200)
		const surge = "tenant-00"
		demands[surge] = rates[surge]
		load := playTenants(s, free, 220, demands, rates)
		for name := range demands {
			switch ratio := load.ratio(name); {
			case name == surge && ratio < 0.9/1.6:
				t.Errorf("the surging tenant was served %.2f of its requests, want its usual demand", ratio)
			case name != surge && ratio < 0.95:
				t.Errorf("%s was served %.2f of %d requests", name, ratio, load.offered[name])
			}
		}
	})
}

// Load: the same tenants with room for half of their usual demand, as with two of three zones
// evacuated. None may be served less than a quarter as often as all together.
func TestShortageIsSharedAmongTenants(t *testing.T) {
	bothModes(t, func(t *testing.T, s *Scheduler, free *int) {
		demands, rates := tenantDemands(20, 400)
		load := playTenants(s, free, 200, demands, rates)
		for name := range demands {
			if ratio := load.ratio(name); ratio < load.total()/4 {
				t.Errorf("%s was served %.2f of its requests, all together %.2f", name, ratio, load.total())
			}
		}
		if total := load.total(); total < 0.45 {
			t.Errorf("%.2f of the requests were served, want about half", total)
		}
	})
}

// A tenant without a limit and requests without a tenant take turns as well.
func TestRequestsWithoutATenantTakeTurns(t *testing.T) {
	s := NewScheduler(&fakePicker{free: 6})
	s.SetRanks([]tree.Rank{{Name: "look", Target: time.Second, QueueLength: 10, QueueBytes: 1}})
	now := time.Now()
	for _, tenant := range []string{"a", "a", "a", "", "", ""} {
		if refusal := s.Enqueue(tenantItem(tenant, 0, 0, now), now); refusal != nil {
			t.Fatal(refusal)
		}
	}
	granted, _ := decideAll(s, now)
	if got, want := tenantsOf(granted), []string{"a", "", "a", "", "a", ""}; !slices.Equal(got, want) {
		t.Errorf("served in the order %q, want %q", got, want)
	}
}
