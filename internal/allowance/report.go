package allowance

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/gin-gonic/gin"
)

// Path is where an entry serves its Report, on its metrics address. The query parameter tenant
// selects one tenant.
const Path = "/allowances"

// Report is what an entry owns of the tenants' allowances.
type Report struct {
	// VM is the entry's.
	VM string `json:"vm"`
	// Scale is the part of the rates that it grants, as members are missing.
	Scale float64 `json:"scale"`
	// Shards are those that were asked lately, by tenant.
	Shards []ShardStatus `json:"shards"`
}

// ShardStatus is the state of one shard at its owner.
type ShardStatus struct {
	Tenant string `json:"tenant"`
	Shard  int    `json:"shard"`
	// PerSecond and Burst are the shard's part of the limit, Units what can be granted now.
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
	Units     float64 `json:"units"`
	// UsedPerSecond is the rate of the units granted recently.
	UsedPerSecond float64 `json:"used_per_second"`
	// OwnedMs is how long the entry has granted units of the shard.
	OwnedMs int64 `json:"owned_ms"`
}

// Report returns the state of the shards of the tenant, or of all if it is empty.
func (o *Owner) Report(tenant string) Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	o.observe(now)
	scale := o.current().scale
	report := Report{VM: o.options.Self, Scale: scale, Shards: []ShardStatus{}}
	for key, b := range o.buckets {
		limit, ok := o.options.Limit(key.tenant)
		if !ok || tenant != "" && key.tenant != tenant {
			continue
		}
		scale := o.fill(b, limit, now)
		since, _ := o.ownedSince(key)
		report.Shards = append(report.Shards, ShardStatus{
			Tenant: key.tenant, Shard: int(key.shard), PerSecond: limit.shardRate() * scale, Burst: limit.capacity(scale),
			Units: b.units, UsedPerSecond: b.usedSince(now) / useWindow.Seconds(), OwnedMs: int64((now - since) / time.Millisecond),
		})
	}
	slices.SortFunc(report.Shards, func(a, b ShardStatus) int {
		return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Shard, b.Shard))
	})
	return report
}

// Handler returns the handler of the report.
func (o *Owner) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET(Path, func(c *gin.Context) { c.JSON(http.StatusOK, o.Report(c.Query("tenant"))) })
	return engine
}
