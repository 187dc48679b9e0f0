package allowance

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/eventlog"
)

const (
	// maxPeriods bounds the history of an owner.
	maxPeriods = 32
	// idleTime is how long a full bucket is not asked before it is dropped.
	idleTime = 10 * time.Second
	// sweepInterval is the time between two searches for what can be dropped.
	sweepInterval = 5 * time.Second
	// maxUnknownBuckets bounds the buckets of tenants that the owner's configuration does not have. It
	// knows the names from questions alone, so anything may be among them; with the longest names
	// these buckets take about 8 MB.
	maxUnknownBuckets = 4096
	// logInterval is the minimum time between two log lines of one bucket or tenant.
	logInterval = time.Second
)

// OwnerOptions configure an Owner.
type OwnerOptions struct {
	// Self is the name of this VM.
	Self string
	// View returns the cluster as this member sees it.
	View func() *cluster.View
	// Limit returns the limit of a tenant by the active configuration, or false if it has none.
	Limit func(tenant string) (Limit, bool)
	// Window is the span of time for which the limits hold: PerSecond times its length, and Burst,
	// may be granted in any such span. If it is zero, a limit is a rate with a burst.
	Window time.Duration
	// HasPeers is set if the cluster should have other members.
	HasPeers bool
	// StartedAt returns when a member's process started, by the time of day of its VM since any
	// moment. If it is nil, a start of all members is not recognized.
	StartedAt func(cluster.Member) time.Duration
	// Send sends a question of cluster.TopicAllowance and waits for no answer. It must not block.
	Send func(to *cluster.Assignee, question []byte)
	// Now is a clock that does not jump and includes the time for which the VM is suspended.
	Now func() time.Duration
	// Events receives the log lines; Scope the counters, or nil.
	Events *eventlog.Logger
	Scope  tally.Scope
}

// period is a time in which the assignment and the scale were the same. It ends with the next.
type period struct {
	since      time.Duration
	assignment *cluster.Assignment
	// scale is the part of the rate that is granted: that of the members that are not missing.
	scale float64
	// alone is set if the member does not know whether it has peers; it owns nothing then.
	alone bool
	// allStarted is when the last member started if all have just started, otherwise zero.
	allStarted time.Duration
	// withSilent is the assignment if the silent members were live, nil if there are none.
	withSilent *cluster.Assignment
}

// Owner grants the units of the shards that are assigned to this member. It is safe for
// concurrent use.
type Owner struct {
	options OwnerOptions

	mu       sync.Mutex // guards the fields below
	started  time.Duration
	observed time.Duration // of the last call of observe
	parted   time.Duration // when more members than minSoleScale permits were last missing
	swept    time.Duration
	claimed  time.Duration // when claims were last sent
	periods  []period      // the current one last
	buckets  map[bucketKey]*bucket
	unknown  int // buckets with bucket.unknown set
}

// NewOwner returns an Owner. Tick must be called regularly.
func NewOwner(options OwnerOptions) *Owner {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	now := options.Now()
	o := &Owner{options: options, started: now, observed: now, swept: now, parted: now, buckets: map[bucketKey]*bucket{}}
	o.observe(now)
	return o
}

// Tick follows the view of the cluster and notices pauses of this process. It must be called
// several times within maxPause.
func (o *Owner) Tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	o.observe(now)
	o.sweep(now)
	o.sendClaims(now)
}

// Answer answers a question of cluster.TopicAllowance. It returns nil if there is no answer.
func (o *Owner) Answer(data []byte) []byte {
	q, ok := decodeQuestion(data)
	if !ok {
		o.count("malformed")
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	o.observe(now)
	switch q.op {
	case opAcquire:
		a := o.acquire(&q, now)
		return a.encode()
	case opClaim:
		o.acceptClaim(&q, now)
		return []byte{}
	case opReturn, opCancel:
		o.giveBack(&q, now)
		return []byte{}
	default:
		o.count("malformed")
		return nil
	}
}

// observe begins a new period if the assignment or the scale has changed, and forgets all that
// was granted after a pause, as another member may have granted meanwhile. The caller holds o.mu.
func (o *Owner) observe(now time.Duration) {
	view := o.options.View()
	if pause := now - o.observed; pause > maxPause {
		o.options.Events.Warn("allowances taken over anew after a pause", "pause_ms", pause.Milliseconds(), "buckets", len(o.buckets))
		o.count("pauses")
		o.periods = nil
		clear(o.buckets)
		o.unknown = 0
	}
	o.observed = now
	alone := o.options.HasPeers && view.Known == 1 && now-o.started < aloneTime
	scale := float64(len(view.Live)) / float64(len(view.Live)+view.Missing)
	if scale < minSoleScale {
		o.parted = now
	}
	if current := o.current(); current != nil {
		same := current.assignment.Matches(view)
		if same && current.scale == scale && current.alone == alone {
			return
		}
		o.fillAll(now)
		next := period{
			since: now, assignment: current.assignment, scale: scale, alone: alone,
			allStarted: o.allStarted(view, now), withSilent: view.AssignmentWithSilent(),
		}
		if !same {
			next.assignment = view.Assignment()
		}
		o.begin(next)
		return
	}
	o.begin(period{
		since: now, assignment: view.Assignment(), scale: scale, alone: alone,
		allStarted: o.allStarted(view, now), withSilent: view.AssignmentWithSilent(),
	})
}

// allStarted returns when the last member of the view started, by this member's clock, if all
// have just started at about the same time, otherwise zero. The caller holds o.mu.
func (o *Owner) allStarted(view *cluster.View, now time.Duration) time.Duration {
	if o.options.StartedAt == nil || now-o.started > startPhase || view.Missing > 0 {
		return 0
	}
	var own, first, last time.Duration
	for i, m := range view.Live {
		at := o.options.StartedAt(m.Member)
		if i == 0 {
			first, last = at, at
		}
		first, last = min(first, at), max(last, at)
		if m.VM == o.options.Self {
			own = at
		}
	}
	if last-first > startSpan {
		return 0
	}
	return min(o.started+last-own, now)
}

// begin makes the period the current one and drops the buckets of shards that the member does
// not own in it. The caller holds o.mu.
func (o *Owner) begin(next period) {
	if len(o.periods) == maxPeriods {
		o.periods = append(o.periods[:0], o.periods[1:]...)
	}
	o.periods = append(o.periods, next)
	for key, b := range o.buckets {
		if !o.owns(&next, key) {
			o.drop(key, b)
		}
	}
}

// drop deletes a bucket. The caller holds o.mu.
func (o *Owner) drop(key bucketKey, b *bucket) {
	delete(o.buckets, key)
	o.setUnknown(b, false)
}

// setUnknown records whether this member's configuration lacks the tenant of the bucket. The caller
// holds o.mu.
func (o *Owner) setUnknown(b *bucket, unknown bool) {
	switch {
	case unknown && !b.unknown:
		o.unknown++
	case !unknown && b.unknown:
		o.unknown--
	}
	b.unknown = unknown
}

// current returns the current period, nil if there is none yet.
func (o *Owner) current() *period {
	if len(o.periods) == 0 {
		return nil
	}
	return &o.periods[len(o.periods)-1]
}

// owns reports whether the shard is assigned to this member in the period.
func (o *Owner) owns(p *period, key bucketKey) bool {
	if p.alone {
		return false
	}
	owner, ok := p.assignment.Owner(cluster.AssignmentKey(key.tenant, int(key.shard)))
	return ok && owner.VM == o.options.Self
}

// limitOf returns the limit of the question's tenant: that of this member's configuration, or
// that of the asking entry if this member does not know the tenant.
func (o *Owner) limitOf(q *question) Limit {
	if l, ok := o.options.Limit(q.tenant); ok {
		return l
	}
	return q.limit
}

// fill fills a bucket and returns the part of the rate that this member grants. The caller holds
// o.mu.
func (o *Owner) fill(b *bucket, l Limit, now time.Duration) float64 {
	scale, window := b.scale(o.current().scale, now), o.options.Window
	b.setSole(window > 0 && now-max(b.ownedFrom, b.claimedUntil, o.parted) >= window)
	b.fill(l, scale, now)
	return scale
}

// fillAll fills the buckets by the current scale, before it changes. The caller holds o.mu.
func (o *Owner) fillAll(now time.Duration) {
	scale := o.current().scale
	for key, b := range o.buckets {
		if l, ok := o.options.Limit(key.tenant); ok {
			b.fill(l, b.scale(scale, now), now)
		}
	}
}

// bucket returns the bucket of the question's shard, which it makes if there is none, or the
// answer if this member does not grant units of the shard. The caller holds o.mu.
func (o *Owner) bucket(q *question, now time.Duration) (*bucket, *answer) {
	key := bucketKey{tenant: q.tenant, shard: q.shard}
	if b := o.buckets[key]; b != nil {
		return b, nil
	}
	since, owned := o.ownedSince(key)
	readyAt, filledFrom := o.grantsFrom(since)
	switch {
	case o.current().alone:
		o.count("not_ready")
		return nil, &answer{status: statusNotReady, wait: maxDenial}
	case !owned:
		o.count("not_owner")
		return nil, &answer{status: statusNotOwner}
	case now < readyAt:
		o.count("not_ready")
		return nil, &answer{status: statusNotReady, wait: readyAt - now}
	}
	_, known := o.options.Limit(q.tenant)
	if !known && o.unknown >= maxUnknownBuckets {
		o.count("unknown_tenants")
		return nil, &answer{status: statusNotReady, wait: maxDenial}
	}
	b := o.newBucket(o.limitOf(q), filledFrom, now)
	b.ownedFrom = since
	o.buckets[key] = b
	o.setUnknown(b, !known)
	return b, nil
}

// acquire grants units of the question's shard. The caller holds o.mu.
func (o *Owner) acquire(q *question, now time.Duration) answer {
	b, notGranting := o.bucket(q, now)
	if notGranting != nil {
		return *notGranting
	}
	limit := o.limitOf(q)
	b.lastAsked = now
	scale := o.fill(b, limit, now)
	granted, reduced := b.take(limit, scale, int(q.units), now)
	b.remember(q.id, granted)
	a := answer{status: statusDecided, granted: byte(granted), used: b.usedSince(now)}
	o.options.Scope.Counter("allowance_granted").Inc(int64(a.granted))
	if a.granted < q.units {
		if reduced {
			a.status = statusReduced
		}
		a.wait = b.turn(limit, scale, now)
		o.noteDenial(bucketKey{tenant: q.tenant, shard: q.shard}, b, limit, int(q.units-a.granted), now)
	}
	return a
}

// ownedSince returns the time from which the shard has been assigned to this member, and false if
// it is not assigned to it now. The caller holds o.mu.
func (o *Owner) ownedSince(key bucketKey) (time.Duration, bool) {
	owned := false
	var since time.Duration
	for i := len(o.periods) - 1; i >= 0; i-- {
		if !o.owns(&o.periods[i], key) {
			break
		}
		since, owned = o.periods[i].since, true
	}
	return since, owned
}

// grantsFrom returns the time from which this member grants units of a shard that has been
// assigned to it since then, and the time from which units accrue. The caller holds o.mu.
func (o *Owner) grantsFrom(since time.Duration) (readyAt, filledFrom time.Duration) {
	readyAt, filledFrom = since+takeoverDelay, since+takeoverDelay
	if p := o.current(); p.allStarted > 0 && p.since+startDelay < readyAt {
		// The owners before the start had ended when the last member started, and those that did not
		// see all members yet have granted next to nothing.
		return p.since + startDelay, min(p.allStarted, p.since)
	}
	return readyAt, filledFrom
}

// newBucket returns a bucket as if it had existed since that time. The caller holds o.mu.
func (o *Owner) newBucket(l Limit, filledFrom, now time.Duration) *bucket {
	scale := o.current().scale
	b := &bucket{
		units: min(initialUnits, l.shardBurst()*scale), unreduced: l.shardBurst(),
		granted: window{span: o.options.Window}, filled: filledFrom, usedAt: now, loggedAt: now - logInterval,
	}
	for i := range o.periods {
		end := now
		if i+1 < len(o.periods) {
			end = o.periods[i+1].since
		}
		if end > filledFrom {
			b.fill(l, o.periods[i].scale, end)
		}
	}
	return b
}

// giveBack takes back units that were not used. The caller holds o.mu.
func (o *Owner) giveBack(q *question, now time.Duration) {
	b := o.buckets[bucketKey{tenant: q.tenant, shard: q.shard}]
	if b == nil {
		return
	}
	limit := o.limitOf(q)
	scale := o.fill(b, limit, now)
	switch {
	case q.op == opCancel:
		o.options.Scope.Counter("allowance_cancelled").Inc(int64(b.cancel(limit, scale, q.id)))
	case b.giveBack(limit, scale, q.id):
		o.count("returned")
	}
}

// noteDenial counts denied units and logs them, at most one line per logInterval for a shard.
func (o *Owner) noteDenial(key bucketKey, b *bucket, l Limit, denied int, now time.Duration) {
	o.options.Scope.Counter("allowance_denied").Inc(int64(denied))
	b.denied += denied
	if now-b.loggedAt < logInterval {
		return
	}
	since, _ := o.ownedSince(key)
	o.options.Events.Info("allowance denied", "tenant", key.tenant, "shard", key.shard, "denied", b.denied,
		"per_second", l.PerSecond, "burst", l.Burst, "scale", b.scale(o.current().scale, now),
		"used_per_second", b.usedSince(now)/useWindow.Seconds(), "owned_ms", (now - since).Milliseconds())
	b.denied, b.loggedAt = 0, now
}

// sweep drops buckets that are full and idle. The caller holds o.mu.
func (o *Owner) sweep(now time.Duration) {
	if now-o.swept < sweepInterval {
		return
	}
	o.swept = now
	for key, b := range o.buckets {
		scale := b.scale(o.current().scale, now)
		l, ok := o.options.Limit(key.tenant)
		o.setUnknown(b, !ok)
		if now-b.lastAsked < max(idleTime, o.options.Window) {
			continue
		}
		if ok {
			o.fill(b, l, now)
		}
		if !ok || b.isFull(l, scale) {
			o.drop(key, b)
		}
	}
}

func (o *Owner) count(name string) { o.options.Scope.Counter("allowance_" + name).Inc(1) }
