package allowance

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/eventlog"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	// queryTimeout is how long a client waits for an answer before it queries another shard. An
	// owner on a small VM answers within milliseconds.
	queryTimeout = 55 * time.Millisecond
	// minSkip and maxSkip bound the time for which a silent member is not queried. It doubles
	// with each query without an answer; a single lost datagram should cost little.
	minSkip, maxSkip = 100 * time.Millisecond, 3200 * time.Millisecond
	// notOwnerSkip is how long a shard is not queried whose owner says that it is another one:
	// the time in which views agree again.
	notOwnerSkip = 100 * time.Millisecond
	// maxHold is the longest time for which a request waits while no owner can be queried.
	maxHold = 500 * time.Millisecond
	// maxUnitsPerQuery bounds the units of one question, whose number is a byte.
	maxUnitsPerQuery = 255
	// idleTenantTime is how long the state of a tenant without requests is kept.
	idleTenantTime = 30 * time.Second
)

// Node queries members; *cluster.Node implements it.
type Node interface {
	View() *cluster.View
	Query(ctx context.Context, to cluster.LiveMember, topic byte, question []byte) ([]byte, error)
}

var _ Node = (*cluster.Node)(nil)

// Grant is one unit of a tenant's allowance.
type Grant interface {
	// Return gives the unit back if it is younger than 250 ms. It may be called if no server
	// has received the request, and does not block.
	Return()
	// Utilization returns how much of its allowance the tenant has used recently, over all
	// entries, as a part of its rate. Where few requests leave it uncertain, it is an estimate
	// that is rather too low.
	Utilization() float64
}

// ClientOptions configure a Client.
type ClientOptions struct {
	// Node queries the owners.
	Node Node
	// Now is a clock that does not jump and includes the time for which the VM is suspended.
	Now func() time.Duration
	// Events receives the log lines; Scope the counters, or nil.
	Events *eventlog.Logger
	Scope  tally.Scope
}

// Client acquires units for the requests of this entry. It is safe for concurrent use.
type Client struct {
	options ClientOptions

	mu         sync.Mutex // guards the fields below
	tenants    map[string]*tenantState
	silent     map[netip.AddrPort]silence
	assignment *cluster.Assignment
	swept      time.Duration
}

// silence is the state of a member that did not answer.
type silence struct{ until, skip time.Duration }

// tenantState is what a client keeps of one tenant.
type tenantState struct {
	name     string
	limit    Limit
	waiting  []*waiter
	querying bool // a goroutine queries for those that wait
	shards   [shardCount]shardState
	next     int // index of the shard to query first, in rotation
	lastUsed time.Duration
	refused  int // refusals since loggedAt
	loggedAt time.Duration
}

// shardState is what the client knows of one shard.
type shardState struct {
	assignment *cluster.Assignment // by which owner was found
	owner      *cluster.Assignee   // nil if there is none
	// deniedUntil is when the shard may have a unit for this entry; reduced is set if the unit
	// was denied because members are missing. deniedAt is when it was denied.
	deniedUntil, deniedAt time.Duration
	reduced               bool
	// skipUntil is when the shard may be queried again after an answer that decided nothing.
	skipUntil time.Duration
	// used is the recent use that the owner stated at usedAt; usedAt is zero if it did not.
	used   float64
	usedAt time.Duration
}

// waiter is a request that waits for a unit.
type waiter struct {
	decided chan decision
	holdEnd time.Duration
	gone    bool // it has been decided, or its context has ended
	// denied are the shards that denied it a unit, as bits, reduced those of them that did so
	// because members are missing.
	denied, reduced shardSet
}

// shardSet is a set of shards, a bit each.
type shardSet byte

// allShards has every shard.
const allShards shardSet = 1<<shardCount - 1

func (s shardSet) has(shard int) bool { return s&(1<<shard) != 0 }

// decision ends the wait of a request: exactly one of grant and refusal is set.
type decision struct {
	grant   *unit
	refusal *outcome.Refusal
}

// NewClient returns a Client.
func NewClient(options ClientOptions) *Client {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	return &Client{options: options, tenants: map[string]*tenantState{}, silent: map[netip.AddrPort]silence{}, swept: options.Now()}
}

// Acquire takes one unit of the tenant's allowance. The refusal has status 429 if the owners of
// all shards denied it, and 503 if one could not be queried. The outcome is always not-run.
func (c *Client) Acquire(ctx context.Context, tenant *tree.Tenant) (Grant, *outcome.Refusal) {
	if tenant.PerSecond <= 0 {
		return noGrant{}, nil
	}
	now := c.options.Now()
	c.mu.Lock()
	c.sweep(now)
	t := c.tenant(tenant, now)
	if wait, denied := t.denial(now); denied {
		refusal := c.refuse(t, refuseBeyond(wait), now)
		c.mu.Unlock()
		return nil, refusal
	}
	w := &waiter{decided: make(chan decision, 1), holdEnd: now + maxHold}
	t.waiting = append(t.waiting, w)
	if !t.querying {
		t.querying = true
		go c.serve(t)
	}
	c.mu.Unlock()
	select {
	case d := <-w.decided:
		return d.result()
	case <-ctx.Done():
		return c.cancel(w)
	}
}

func (d decision) result() (Grant, *outcome.Refusal) {
	if d.refusal != nil {
		return nil, d.refusal
	}
	return d.grant, nil
}

// cancel ends the wait of a request whose caller has gone or whose deadline has passed.
func (c *Client) cancel(w *waiter) (Grant, *outcome.Refusal) {
	c.mu.Lock()
	w.gone = true
	c.mu.Unlock()
	select {
	case d := <-w.decided:
		if d.grant != nil {
			d.grant.Return()
		}
	default:
	}
	return nil, refuseUnavailable("the request ended before the owners of the tenant's allowance answered")
}

// tenant returns the state of the tenant, with its current limit. The caller holds c.mu.
func (c *Client) tenant(tenant *tree.Tenant, now time.Duration) *tenantState {
	t := c.tenants[tenant.Name]
	limit := Limit{PerSecond: tenant.PerSecond, Burst: tenant.Burst}
	if t == nil {
		t = &tenantState{name: tenant.Name, limit: limit, next: rand.IntN(shardCount), loggedAt: now - logInterval}
		c.tenants[tenant.Name] = t
	}
	if t.limit != limit {
		t.limit = limit
		for i := range t.shards {
			t.shards[i].deniedUntil = now
		}
	}
	t.lastUsed = now
	return t
}

// sweep drops the state of idle tenants and of members that answer. The caller holds c.mu.
func (c *Client) sweep(now time.Duration) {
	if now-c.swept < sweepInterval {
		return
	}
	c.swept = now
	for name, t := range c.tenants {
		if !t.querying && now-t.lastUsed > idleTenantTime {
			delete(c.tenants, name)
		}
	}
	for address, s := range c.silent {
		if now-s.until > maxSkip {
			delete(c.silent, address)
		}
	}
}

// denial returns the time until the first shard may have a unit, and false unless all shards
// have denied one for the time being because the tenant is beyond its allowance.
func (t *tenantState) denial(now time.Duration) (time.Duration, bool) {
	wait := maxDenial
	for i := range t.shards {
		s := &t.shards[i]
		if now >= s.deniedUntil || s.reduced {
			return 0, false
		}
		wait = min(wait, s.deniedUntil-now)
	}
	return wait, true
}

// serve queries the shards until no request of the tenant waits.
func (c *Client) serve(t *tenantState) {
	for {
		c.mu.Lock()
		now := c.options.Now()
		c.updateOwners(t, now)
		wait := c.refuseWaiting(t, now)
		if len(t.waiting) == 0 {
			t.querying = false
			c.mu.Unlock()
			return
		}
		shard := c.choose(t, now)
		if shard < 0 {
			c.mu.Unlock()
			time.Sleep(wait)
			continue
		}
		asking := t.notDenied(shard)
		owner := t.shards[shard].owner
		q := question{op: opAcquire, shard: byte(shard), units: byte(len(asking)), id: rand.Uint64(), limit: t.limit, tenant: t.name}
		c.mu.Unlock()
		a, ok := c.query(owner, q)
		c.mu.Lock()
		c.apply(t, shard, asking, owner, a, ok)
		c.mu.Unlock()
	}
}

// notDenied returns the first requests that the shard has not denied a unit, as many as one
// question may ask for.
func (t *tenantState) notDenied(shard int) []*waiter {
	var asking []*waiter
	for _, w := range t.waiting {
		if !w.denied.has(shard) && len(asking) < maxUnitsPerQuery {
			asking = append(asking, w)
		}
	}
	return asking
}

// deny records that the shard denies the request a unit.
func (w *waiter) deny(shard int, reduced bool) {
	w.denied |= 1 << shard
	if reduced {
		w.reduced |= 1 << shard
	}
}

// refuseWaiting removes the requests that have ended, and refuses those that all shards have
// denied a unit or that need not wait for the others. It returns the time until a shard may be
// queried that can not be queried now. The caller holds c.mu.
func (c *Client) refuseWaiting(t *tenantState, now time.Duration) time.Duration {
	var unavailable shardSet
	untilAvailable, untilUnit := minSkip, maxDenial
	for i := range t.shards {
		s := &t.shards[i]
		if now < s.deniedUntil {
			untilUnit = min(untilUnit, s.deniedUntil-now)
			for _, w := range t.waiting {
				w.deny(i, s.reduced)
			}
		}
		if until := c.unavailableUntil(s); s.owner == nil || now < until {
			unavailable |= 1 << i
			if s.owner != nil {
				untilAvailable = min(untilAvailable, until-now)
			}
		}
	}
	kept := t.waiting[:0]
	for _, w := range t.waiting {
		switch {
		case w.gone:
		case w.denied == allShards && w.reduced == 0:
			w.decided <- decision{refusal: c.refuse(t, refuseBeyond(untilUnit), now)}
		// Where the denials so far say nothing about the allowance, another shard may still grant.
		case w.denied == allShards, w.denied&^w.reduced != 0 && w.denied|unavailable == allShards, now >= w.holdEnd:
			w.decided <- decision{refusal: c.refuse(t, refuseUnavailable(detailNotAsked), now)}
		default:
			kept = append(kept, w)
		}
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
	return max(untilAvailable, time.Millisecond)
}

// unavailableUntil returns the time until which the shard can not be queried.
func (c *Client) unavailableUntil(s *shardState) time.Duration {
	if s.owner == nil {
		return 0
	}
	return max(s.skipUntil, c.silent[s.owner.Address].until)
}

// choose returns the shard to query next, -1 if the request that has waited longest can query
// none now. The caller holds c.mu.
func (c *Client) choose(t *tenantState, now time.Duration) int {
	first := t.waiting[0]
	for i := range t.shards {
		shard := (t.next + i) % shardCount
		s := &t.shards[shard]
		if s.owner != nil && !first.denied.has(shard) && now >= c.unavailableUntil(s) {
			t.next = (shard + 1) % shardCount
			return shard
		}
	}
	return -1
}

// updateOwners finds the owners of the shards if the assignment has changed. A shard with another
// owner may be queried at once. The caller holds c.mu.
func (c *Client) updateOwners(t *tenantState, now time.Duration) {
	if view := c.options.Node.View(); c.assignment == nil || !c.assignment.Matches(view) {
		c.assignment = view.Assignment()
	}
	for i := range t.shards {
		s := &t.shards[i]
		if s.assignment == c.assignment {
			continue
		}
		owner, _ := c.assignment.Owner(cluster.AssignmentKey(shardName(t.name), i))
		if owner == nil || s.owner == nil || owner.VM != s.owner.VM {
			s.deniedUntil, s.skipUntil, s.usedAt = now, now, 0
		}
		s.assignment, s.owner = c.assignment, owner
	}
}

// query asks an owner. It returns false if there was no answer.
func (c *Client) query(owner *cluster.Assignee, q question) (answer, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	c.count("queries")
	data, err := c.options.Node.Query(ctx, owner.LiveMember(), cluster.TopicAllowance, q.encode())
	if err != nil {
		c.count("query_timeouts")
		// The answer may have been lost, or come too late. It is not used any more.
		q.op = opCancel
		go c.sendUnanswered(owner, &q)
		return answer{}, false
	}
	a, ok := decodeAnswer(data)
	if !ok {
		c.count("malformed")
	}
	return a, ok
}

// clampWait returns the time for which an answer is taken to hold.
func clampWait(wait time.Duration) time.Duration { return min(max(wait, minDenial), maxDenial) }

// apply records the owner's answer to the requests that asked, and hands out the units in it. The
// caller holds c.mu.
func (c *Client) apply(t *tenantState, shard int, asked []*waiter, owner *cluster.Assignee, a answer, ok bool) {
	now := c.options.Now()
	s := &t.shards[shard]
	if !ok {
		silence := c.silent[owner.Address]
		silence.skip = min(max(2*silence.skip, minSkip), maxSkip)
		silence.until = now + silence.skip
		c.silent[owner.Address] = silence
		return
	}
	delete(c.silent, owner.Address)
	switch a.status {
	case statusNotReady:
		s.skipUntil = now + clampWait(a.wait)
		return
	case statusNotOwner:
		s.skipUntil = now + notOwnerSkip
		return
	}
	s.used, s.usedAt = a.used, now
	s.deniedUntil, s.reduced = now, a.status == statusReduced
	if int(a.granted) < len(asked) {
		s.deniedUntil, s.deniedAt = now+clampWait(a.wait), now
	}
	utilization := t.utilization(now)
	left := int(a.granted)
	newUnit := func() *unit {
		left--
		return &unit{client: c, owner: owner, shard: byte(shard), tenant: t.name, limit: t.limit, grantedAt: now, utilization: utilization}
	}
	for _, w := range asked {
		switch {
		case w.gone:
		case left > 0:
			w.decided <- decision{grant: newUnit()}
			w.gone = true
		default:
			w.deny(shard, s.reduced)
		}
	}
	for left > 0 {
		newUnit().Return()
	}
}

func (c *Client) count(name string) { c.options.Scope.Counter("allowance_" + name).Inc(1) }

// sendUnanswered sends a question whose answer has no content.
func (c *Client) sendUnanswered(owner *cluster.Assignee, q *question) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	if _, err := c.options.Node.Query(ctx, owner.LiveMember(), cluster.TopicAllowance, q.encode()); err != nil {
		c.count("returns_unanswered")
	}
}
