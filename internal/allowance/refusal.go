package allowance

import (
	"math/rand/v2"
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

const (
	// minRetryAfter is the least Retry-After of a refusal.
	minRetryAfter = 100 * time.Millisecond
	// retrySpread is the time over which the retries of refused requests are spread.
	retrySpread = time.Second
	// unavailableSpread is the same where no owner could be asked.
	unavailableSpread = 400 * time.Millisecond
)

// detailNotAsked is the detail of a refusal where an owner could not be asked.
const detailNotAsked = "not all owners of the tenant's allowance could be asked, or the entries that are cut off hold a part of it"

// refuseBeyond refuses a request beyond its tenant's allowance, of which the next unit is due
// after that time.
func refuseBeyond(wait time.Duration) *outcome.Refusal {
	const detail = "the tenant is beyond its allowance: the owners of all its shards denied a unit"
	refusal := outcome.NewNotRun(http.StatusTooManyRequests, outcome.ReasonAllowance, detail)
	return refusal.WithRetryAfter(max(wait, minRetryAfter) + rand.N(retrySpread))
}

// refuseUnavailable refuses a request of which it is not known whether it is within the allowance.
func refuseUnavailable(detail string) *outcome.Refusal {
	refusal := outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonAllowanceUnavailable, detail)
	return refusal.WithRetryAfter(minRetryAfter + rand.N(unavailableSpread))
}

// refuse counts a refusal and logs it, at most one line per logInterval for a tenant. The caller
// holds c.mu.
func (c *Client) refuse(t *tenantState, refusal *outcome.Refusal, now time.Duration) *outcome.Refusal {
	t.refused++
	if now-t.loggedAt < logInterval {
		return refusal
	}
	shards := make([]shardReport, 0, shardCount)
	for i := range t.shards {
		shards = append(shards, c.report(&t.shards[i], now))
	}
	c.options.Events.Info("tenant refused", "tenant", t.name, "reason", refusal.Reason, "refused", t.refused,
		"per_second", t.limit.PerSecond, "burst", t.limit.Burst, "utilization", t.utilization(now), "shards", shards)
	t.refused, t.loggedAt = 0, now
	return refusal
}

// shardReport says in a log line why a shard granted no unit.
type shardReport struct {
	Owner string `json:"owner"`
	// State is "denied", "reduced", "skipped", "silent" or "free".
	State string `json:"state"`
	// AgeMs is the age of a denial, UntilMs the time until the shard is asked again.
	AgeMs   int64 `json:"age_ms,omitempty"`
	UntilMs int64 `json:"until_ms,omitempty"`
}

// report returns the state of a shard. The caller holds c.mu.
func (c *Client) report(s *shardState, now time.Duration) shardReport {
	if s.owner == nil {
		return shardReport{State: "skipped"}
	}
	r := shardReport{Owner: s.owner.VM, State: "free"}
	silentUntil := c.silent[s.owner.Address].until
	switch {
	case now < silentUntil:
		r.State, r.UntilMs = "silent", (silentUntil - now).Milliseconds()
	case now < s.skipUntil:
		r.State, r.UntilMs = "skipped", (s.skipUntil - now).Milliseconds()
	case now < s.deniedUntil:
		r.State, r.UntilMs, r.AgeMs = "denied", (s.deniedUntil - now).Milliseconds(), (now - s.deniedAt).Milliseconds()
		if s.reduced {
			r.State = "reduced"
		}
	}
	return r
}
