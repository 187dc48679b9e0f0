package admission

import (
	"container/list"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// Request holds what the queue needs to know about a caller's request.
type Request struct {
	// Rank names a rank of the service.
	Rank string
	// Bytes is the size of the request body that this entry buffers while the
	// request waits.
	Bytes int64
	// Deadline is when the caller gives up; the zero value means none.
	Deadline time.Time
	// Target is the target latency of the request's route; zero uses the rank's.
	Target time.Duration
	// Upload counts the request against the rank's streams.
	Upload bool
	// Exclude lists the servers that must not get the request, such as those
	// already tried.
	Exclude []string
	// Tenant is the name of the request's tenant, empty if it has none.
	Tenant string
	// TenantRate is the rate of the tenant's allowance in requests per second, zero if it has
	// none. Tenants take turns in proportion to it.
	TenantRate float64
	// Utilization is the part of its allowance that the tenant has used recently.
	Utilization float64
}

// Item is a request queued in a Scheduler.
type Item struct {
	Request
	enqueued time.Time
	queue    *rankQueue
	element  *list.Element // nil when not waiting
	late     bool          // in the queue's list of late items
	order    order
	ready    chan Decision
}

// Decision ends the wait of an item: exactly one of Reservation and Refusal is
// set.
type Decision struct {
	// Item is the request that was decided.
	Item *Item
	// Reservation is the reserved slot.
	Reservation *balancer.Reservation
	// Refusal is why the request was not run.
	Refusal *outcome.Refusal
}
