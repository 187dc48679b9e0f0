package allowance

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
)

// unit is a granted unit.
type unit struct {
	client      *Client
	owner       *cluster.Assignee
	shard       byte
	tenant      string
	limit       Limit
	grantedAt   time.Duration
	utilization float64
	returned    atomic.Bool
}

// Utilization implements Grant.
func (u *unit) Utilization() float64 { return u.utilization }

// Return implements Grant. It asks once; a unit whose return is lost stays used.
func (u *unit) Return() {
	if u.client.options.Now()-u.grantedAt > maxReturnAge || u.returned.Swap(true) {
		return
	}
	u.client.count("returns")
	q := question{op: opReturn, shard: u.shard, units: 1, id: rand.Uint64(), limit: u.limit, tenant: u.tenant}
	go u.client.sendUnanswered(u.owner, &q)
}

// noGrant is the grant of a tenant without a limit.
type noGrant struct{}

// Return implements Grant.
func (noGrant) Return() {}

// Utilization implements Grant.
func (noGrant) Utilization() float64 { return 0 }

// utilization returns the recent use of the tenant as a part of its rate, from what the owners
// stated within the last useWindow. Shards that are not known are taken to be used like the
// others. The estimate is one standard deviation below the number of units seen, so that a few
// requests of a small tenant do not look like much use.
func (t *tenantState) utilization(now time.Duration) float64 {
	used, known := 0.0, 0
	for i := range t.shards {
		s := &t.shards[i]
		if age := now - s.usedAt; s.usedAt != 0 && age <= useWindow {
			used += decay(s.used, age)
			known++
		}
	}
	if known == 0 {
		return 0
	}
	used = max(used-math.Sqrt(used), 0)
	return used * shardCount / float64(known) / (t.limit.PerSecond * useWindow.Seconds())
}
