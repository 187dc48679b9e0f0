package admission

import (
	"container/list"
	"math/rand/v2"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// Requests of a rank are queued by tenant. What a tenant sends beyond its usual demand is its
// excess, which waits behind the requests of all others. Within both classes tenants take turns
// in proportion to their rates, by start-time fair queueing: the n-th waiting request of a tenant
// starts n/rate after the first, on a clock that advances with the dispatched requests.
//
// Requests without a tenant count as those of one tenant. Without tenants the order is that of
// arrival.

const (
	// usualUtilization is the usual demand of a tenant as a part of its rate.
	usualUtilization = 1 / 1.6
	// surgeUtilization is the part of its rate above which a tenant has an excess. The usual
	// demand oscillates, so it is somewhat above usualUtilization.
	surgeUtilization = 1.2 * usualUtilization
	// baseTurnRate is added to the rate of each tenant, in requests per second, so that two or
	// three requests that a small tenant happens to send together do not wait for long.
	baseTurnRate = 20.0
	// maxIdleTenants is the number of tenants without a waiting request that a queue remembers.
	maxIdleTenants = 64
)

// order is the position of an item in its queue: the lower excess, then the lower start, then the
// earlier arrival is first.
type order struct {
	excess bool
	start  float64
}

func (o order) before(other order) bool {
	if o.excess != other.excess {
		return other.excess
	}
	return o.start < other.start
}

// turnClock orders the items of one class.
type turnClock struct {
	now    float64            // the start of the last dispatched item
	finish map[string]float64 // by tenant, when its next item starts at the earliest

	waiting int // items of the class; the clock starts anew when there are none
}

// next returns the start of the next item of the tenant.
func (c *turnClock) next(tenant string) float64 { return max(c.now, c.finish[tenant]) }

// add records an item of the tenant with the start.
func (c *turnClock) add(tenant string, start, rate float64) {
	if c.finish == nil {
		c.finish = map[string]float64{}
	}
	c.finish[tenant] = start + 1/(max(rate, 0)+baseTurnRate)
	c.waiting++
}

// removed records that an item no longer waits.
func (c *turnClock) removed() {
	if c.waiting--; c.waiting == 0 {
		c.now = 0
		clear(c.finish)
	}
}

// prune forgets tenants whose next item would start now anyway.
func (c *turnClock) prune() {
	if len(c.finish) <= maxIdleTenants+c.waiting {
		return
	}
	for tenant, finish := range c.finish {
		if finish <= c.now {
			delete(c.finish, tenant)
		}
	}
}

// turns is the order of the tenants in one rank.
type turns struct {
	usual, excess turnClock
	// owed holds, by tenant with a surge, the part of a request of its usual demand that is due.
	owed map[string]float64
	// mixed is set if an item of a tenant waits or has waited since the queue was last empty.
	mixed bool
}

func (t *turns) clock(excess bool) *turnClock {
	if excess {
		return &t.excess
	}
	return &t.usual
}

// orderOf returns the position at which the request would be queued.
func (t *turns) orderOf(r *Request) order {
	excess := r.Tenant != "" && r.Utilization > surgeUtilization && t.owed[r.Tenant]+usualUtilization/r.Utilization < 1
	return order{excess: excess, start: t.clock(excess).next(r.Tenant)}
}

// queued records a request that is queued at the position.
func (t *turns) queued(r *Request, at order) {
	t.clock(at.excess).add(r.Tenant, at.start, r.TenantRate)
	if r.Tenant == "" {
		return
	}
	t.mixed = true
	if r.Utilization <= surgeUtilization {
		delete(t.owed, r.Tenant)
		return
	}
	if t.owed == nil || len(t.owed) > maxIdleTenants {
		t.owed = map[string]float64{}
	}
	t.owed[r.Tenant] += usualUtilization / r.Utilization
	if !at.excess {
		t.owed[r.Tenant]--
	}
}

// dispatched advances the clock of the item's class.
func (t *turns) dispatched(at order) {
	clock := t.clock(at.excess)
	clock.now = max(clock.now, at.start)
	clock.prune()
}

// removed records that an item no longer waits.
func (t *turns) removed(at order) {
	t.clock(at.excess).removed()
	t.mixed = t.mixed && t.usual.waiting+t.excess.waiting > 0
}

// insert adds the item to the list at its position. Items of the same position stay in the order
// of arrival.
func insert(items *list.List, item *Item) *list.Element {
	for e := items.Back(); e != nil; e = e.Prev() {
		if !item.order.before(e.Value.(*Item).order) {
			return items.InsertAfter(item, e)
		}
	}
	return items.PushFront(item)
}

// insertLate adds a late item behind those of its class, in the order in which they became late.
func insertLate(late *list.List, item *Item) *list.Element {
	for e := late.Back(); e != nil; e = e.Prev() {
		if item.order.excess || !e.Value.(*Item).order.excess {
			return late.InsertAfter(item, e)
		}
	}
	return late.PushFront(item)
}

// ahead returns the number of items that would be dispatched before one at the position.
func (rq *rankQueue) ahead(at order) int {
	n := rq.items.Len()
	for e := rq.items.Back(); e != nil && at.before(e.Value.(*Item).order); e = e.Prev() {
		n--
	}
	return n
}

// expectedWaitAt is expectedWait for a request at the position: only what is ahead of it counts.
func (rq *rankQueue) expectedWaitAt(at order, now time.Time) time.Duration {
	waiting := rq.items.Len()
	wait := rq.expectedWait(now)
	if ahead := rq.ahead(at); ahead < waiting {
		return wait / time.Duration(waiting+1) * time.Duration(ahead+1)
	}
	return wait
}

// victims returns the last items of the queue, as many as must be dropped so that the item fits,
// or false if that takes one that is not behind the item.
func (rq *rankQueue) victims(item *Item) ([]*Item, bool) {
	count := rq.items.Len() + rq.late.Len()
	bytes := rq.bytes + item.Bytes
	at := rq.turns.orderOf(&item.Request)
	var victims []*Item
	fits := func() bool { return count < rq.rank.QueueLength && bytes <= rq.rank.QueueBytes }
	drop := func(victim *Item) {
		victims = append(victims, victim)
		count--
		bytes -= victim.Bytes
	}
	for e := rq.late.Back(); e != nil && !fits(); e = e.Prev() {
		victim := e.Value.(*Item)
		if at.excess || !victim.order.excess {
			break
		}
		drop(victim)
	}
	for e := rq.items.Back(); e != nil && !fits(); e = e.Prev() {
		victim := e.Value.(*Item)
		if !at.before(victim.order) {
			break
		}
		drop(victim)
	}
	return victims, fits()
}

// evict drops the items that the new one takes the room of. Their refusals are returned by the
// next calls of Next.
func (s *Scheduler) evict(rq *rankQueue, item *Item, now time.Time) {
	victims, _ := rq.victims(item)
	for _, victim := range victims {
		refusal := refuseBusy(outcome.ReasonQueueFull, "the rank's queue is full of requests of tenants with less use", rq.expectedWait(now))
		rq.remove(victim)
		s.evicted = append(s.evicted, Decision{Item: victim, Refusal: spread(&victim.Request, refusal, rq.expectedWait(now))})
	}
}

// spread adds to the refusal's Retry-After a random part of the time until there is room, so that
// refused requests do not all come again at the same moment.
func spread(r *Request, refusal *outcome.Refusal, untilRoom time.Duration) *outcome.Refusal {
	if r.Tenant == "" || refusal.RetryAfter <= 0 {
		return refusal
	}
	return refusal.WithRetryAfter(refusal.RetryAfter + rand.N(max(untilRoom, refusal.RetryAfter)))
}
