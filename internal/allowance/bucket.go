package allowance

import (
	"math"
	"time"
)

// Limit is the allowance of a tenant over all entries: Burst units, and PerSecond more in each
// second.
type Limit struct{ PerSecond, Burst float64 }

// shardRate returns the units per second of one shard.
func (l Limit) shardRate() float64 { return l.PerSecond / shardCount }

// extraRate returns the units per second by which a shard may exceed shardRate for a tenant that asks
// for all that the limit allows in each span of that length: it then gets the burst once in each. It
// is bounded by a part of PerSecond, so that a new owner, which does not know what the former one
// granted, makes up for it by the time for which nobody grants.
func (l Limit) extraRate(span time.Duration) float64 { return l.maxDebt() / span.Seconds() }

// maxDebt returns the units of a shard that may be granted beyond shardRate within one span.
func (l Limit) maxDebt() float64 { return min(l.Burst, l.PerSecond) / shardCount }

// shardWindow returns the units that a shard may grant in each span of that length.
func (l Limit) shardWindow(span time.Duration) float64 {
	return l.shardRate()*span.Seconds() + l.shardBurst()
}

// shardBurst returns the units that the bucket of one shard holds.
func (l Limit) shardBurst() float64 { return (l.Burst + extraBurst) / shardCount }

// capacity returns the units that the bucket of one shard holds where only a part of the rate is
// granted. It is one unit at least, without which nothing could be granted.
func (l Limit) capacity(scale float64) float64 {
	return max(l.shardBurst()*scale, min(l.shardBurst(), 1))
}

// bucketKey names one shard of a tenant's allowance.
type bucketKey struct {
	tenant string
	shard  byte
}

// bucket is the token bucket of one shard at its owner. Times are of the owner's clock.
type bucket struct {
	// units is what can be granted. unreduced is what could be if no member were missing and the
	// tenant had not used the shard before this member owned it. Units denied meanwhile are taken
	// off it too.
	units, unreduced float64
	// soleUnits takes the place of units while isSole: it also has what accrues at extraRate. units
	// then has a debt, which counts again when that ends. isSole is set while nobody else can have
	// granted units of the shard in the window.
	soleUnits float64
	isSole    bool
	// granted are the units granted in the window.
	granted window
	// ownedFrom is the time from which this member has owned the shard; claimedUntil is when the
	// last claim ends.
	ownedFrom, claimedUntil time.Duration
	// filled is the time up to which units have been added.
	filled time.Duration
	// lastAsked is when the bucket was last asked for units.
	lastAsked time.Duration
	// used is the number of recently granted units at usedAt, decayed with useWindow.
	used   float64
	usedAt time.Duration
	// nextTurn is the time at which the units that accrue until then are spoken for by entries
	// that were denied one and told to ask again.
	nextTurn time.Duration
	// returns are the ids of the last questions that returned a unit.
	returns    [8]uint64
	nextReturn int
	// recent are the last acquiring questions, in rotation.
	recent     []recentGrant
	nextRecent int
	// claims are the parts that other members grant.
	claims []claim
	// unknown is set if the owner's configuration does not have the tenant.
	unknown bool
	// denied counts the denials since loggedAt.
	denied   int
	loggedAt time.Duration
}

// fill adds the units of the time since the last fill, at the scaled rate.
func (b *bucket) fill(l Limit, scale float64, now time.Duration) {
	seconds := max(now-b.filled, 0).Seconds()
	b.filled = max(b.filled, now)
	b.units = min(b.units+seconds*l.shardRate()*scale, l.capacity(scale))
	b.unreduced = min(b.unreduced+seconds*l.shardRate(), l.shardBurst())
	if b.isSole {
		b.soleUnits = min(b.soleUnits+seconds*(l.shardRate()+l.extraRate(b.granted.span))*scale, l.capacity(scale))
	}
}

// setSole sets isSole.
func (b *bucket) setSole(isSole bool) {
	if isSole && !b.isSole {
		b.soleUnits = b.units
	}
	b.isSole = isSole
}

// available returns the units that can be granted.
func (b *bucket) available(l Limit, scale float64, now time.Duration) float64 {
	if !b.isSole {
		return b.units
	}
	return min(b.soleUnits, l.shardWindow(b.granted.span)*scale-b.granted.sum(now))
}

// take removes up to that many whole units and returns how many. reduced is set if more could be
// granted but for missing members or because this member has not owned the shard for long.
func (b *bucket) take(l Limit, scale float64, wanted int, now time.Duration) (granted int, reduced bool) {
	// A burst may exceed what an int holds.
	granted = int(max(min(float64(wanted), b.available(l, scale, now)), 0))
	b.units = max(b.units-float64(granted), -l.maxDebt())
	b.soleUnits -= float64(granted)
	b.granted.add(float64(granted), now)
	// A request that is denied is denied by all shards, and could have been granted by one.
	charged := float64(granted) + float64(wanted-granted)/shardCount
	reduced = granted < wanted && b.unreduced-float64(granted) >= 1 && !b.isSole
	b.unreduced = max(b.unreduced-charged, 0)
	b.used = b.usedSince(now) + float64(granted)
	b.usedAt = now
	return granted, reduced
}

// usedSince returns the number of recently granted units.
func (b *bucket) usedSince(now time.Duration) float64 { return decay(b.used, now-b.usedAt) }

// decay returns what is left of a number of units after that time.
func decay(units float64, age time.Duration) float64 {
	return units * math.Exp(-float64(age)/float64(useWindow))
}

// turn returns how long an entry that was denied a unit should wait. Denied entries get turns at
// the rate at which units accrue, so that they do not all ask at the same time; those beyond
// maxDenial share it.
func (b *bucket) turn(l Limit, scale float64, now time.Duration) time.Duration {
	rate := l.shardRate() * scale
	if rate <= 0 {
		return maxDenial
	}
	units := b.units
	if b.isSole {
		units = b.soleUnits
		rate += l.extraRate(b.granted.span) * scale
	}
	untilUnit := time.Duration(min((1-units)/rate, maxDenial.Seconds()) * float64(time.Second))
	if b.isSole {
		untilUnit = max(untilUnit, b.granted.untilSum(l.shardWindow(b.granted.span)*scale-1, now))
	}
	next := max(now+untilUnit, b.nextTurn)
	wait := min(next-now, maxDenial)
	perUnit := time.Duration(min(1/rate, maxDenial.Seconds()) * float64(time.Second))
	b.nextTurn = min(next, now+maxDenial) + perUnit
	return wait
}

// recentGrant is the number of units granted to a question.
type recentGrant struct {
	id    uint64
	units int
}

// maxRecent bounds the questions that a bucket remembers. It spans those of the time in which one
// may be cancelled.
const maxRecent = 32

// remember records the units granted to a question.
func (b *bucket) remember(id uint64, units int) {
	if units == 0 {
		return
	}
	if len(b.recent) < maxRecent {
		b.recent = append(b.recent, recentGrant{id, units})
		return
	}
	b.recent[b.nextRecent] = recentGrant{id, units}
	b.nextRecent = (b.nextRecent + 1) % maxRecent
}

// cancel takes back all units granted to a question whose answer did not arrive. It returns how
// many.
func (b *bucket) cancel(l Limit, scale float64, id uint64) int {
	for i := range b.recent {
		r := &b.recent[i]
		if r.id != id || r.units == 0 {
			continue
		}
		units := r.units
		r.units = 0
		b.add(l, scale, units)
		return units
	}
	return 0
}

// add adds units that were granted and not used.
func (b *bucket) add(l Limit, scale float64, units int) {
	b.units = min(b.units+float64(units), l.capacity(scale))
	b.unreduced = min(b.unreduced+float64(units), l.shardBurst())
	b.soleUnits = min(b.soleUnits+float64(units), l.capacity(scale))
	b.granted.remove(float64(units))
	b.used = max(b.used-float64(units), 0)
}

// giveBack adds a unit that was granted and not used, once for each id. It returns false for an
// id that it knows.
func (b *bucket) giveBack(l Limit, scale float64, id uint64) bool {
	for _, known := range b.returns {
		if known == id {
			return false
		}
	}
	b.returns[b.nextReturn] = id
	b.nextReturn = (b.nextReturn + 1) % len(b.returns)
	b.add(l, scale, 1)
	return true
}

// isFull reports whether the bucket is as it would be if it were created now.
func (b *bucket) isFull(l Limit, scale float64) bool { return b.units >= l.capacity(scale) }
