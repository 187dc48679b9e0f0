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

// shardBurst returns the units that the bucket of one shard holds.
func (l Limit) shardBurst() float64 { return (l.Burst + extraBurst) / shardCount }

// bucketKey names one shard of a tenant's allowance.
type bucketKey struct {
	tenant string
	shard  byte
}

// bucket is the token bucket of one shard at its owner. Times are of the owner's clock.
type bucket struct {
	// units is what can be granted, and unreduced what could be if no member were missing.
	units, unreduced float64
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
	// denied counts the denials since loggedAt.
	denied   int
	loggedAt time.Duration
}

// fill adds the units of the time since the last fill, at the scaled rate.
func (b *bucket) fill(l Limit, scale float64, now time.Duration) {
	seconds := max(now-b.filled, 0).Seconds()
	b.filled = max(b.filled, now)
	b.units = min(b.units+seconds*l.shardRate()*scale, l.shardBurst()*scale)
	b.unreduced = min(b.unreduced+seconds*l.shardRate(), l.shardBurst())
}

// take removes up to that many whole units and returns how many.
func (b *bucket) take(wanted int, now time.Duration) int {
	granted := min(wanted, int(b.units))
	b.units -= float64(granted)
	b.unreduced = max(b.unreduced-float64(granted), 0)
	b.used = b.usedSince(now) + float64(granted)
	b.usedAt = now
	return granted
}

// usedSince returns the number of recently granted units.
func (b *bucket) usedSince(now time.Duration) float64 { return decay(b.used, now-b.usedAt) }

// decay returns what is left of a number of units after that time.
func decay(units float64, age time.Duration) float64 {
	return units * math.Exp(-float64(age)/float64(useWindow))
}

// isReduced reports whether a unit is missing only because the rate is scaled down.
func (b *bucket) isReduced() bool { return b.units < 1 && b.unreduced >= 1 }

// turn returns how long an entry that was denied a unit should wait. Denied entries get turns at
// the rate at which units accrue, so that they do not all ask at the same time; those beyond
// maxDenial share it.
func (b *bucket) turn(l Limit, scale float64, now time.Duration) time.Duration {
	rate := l.shardRate() * scale
	if rate <= 0 {
		return maxDenial
	}
	untilUnit := time.Duration(min((1-b.units)/rate, maxDenial.Seconds()) * float64(time.Second))
	next := max(now+untilUnit, b.nextTurn)
	wait := min(next-now, maxDenial)
	perUnit := time.Duration(min(1/rate, maxDenial.Seconds()) * float64(time.Second))
	b.nextTurn = min(next, now+maxDenial) + perUnit
	return wait
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
	b.units = min(b.units+1, l.shardBurst()*scale)
	b.unreduced = min(b.unreduced+1, l.shardBurst())
	b.used = max(b.used-1, 0)
	return true
}

// isFull reports whether the bucket is as it would be if it were created now.
func (b *bucket) isFull(l Limit, scale float64) bool { return b.units >= l.shardBurst()*scale }
