package balancer

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"chestnutrouter.example/chestnutrouter/internal/steady"
)

// The entries tell each other of limits, and divide each limit without further messages:
// the first entries in the order of the server send to it, and the others do not. There
// are as many senders as the limit has whole requests a second, so that the one request
// which each of them may send at any time adds little to the sum. If members are missing,
// they may be on the other side of a network partition, and the limit is divided in
// proportion to the members that are in contact.

// limitOrder is how the entries divide the limits of all servers of a service.
type limitOrder struct {
	// entries returns the number of entries among which limits are divided. ordered is false
	// if the position of this entry is not known; all entries are senders then.
	entries func() int
	ordered bool
	// present is the share of the known members that are in contact, above 0 to 1.
	present float64
}

const (
	// burstTime is the time for which a sender may save up its share, beyond one request.
	burstTime = 100 * time.Millisecond
	// trialAfter is the age of a limit from which one request is sent to the server to
	// learn whether the limit still holds. Each entry waits trialStep longer than the one
	// before it in the order, up to maxTrialSteps, so that the first one that has a request
	// sends it. It serves limits below one request in that time and senders that get no
	// requests from callers.
	trialAfter    = 10 * time.Second
	trialStep     = 500 * time.Millisecond
	maxTrialSteps = 40
)

// shareAt returns this entry's share of a limit in requests a second.
func (l *requestLimit) shareAt(limit limitInForce, p *pickParams) float64 {
	if limit.cold && !p.settled {
		return 0
	}
	o := p.limits
	total, entries := limit.perSecond*o.present, max(o.entries(), 1)
	if !o.ordered {
		return total / float64(entries)
	}
	senders := max(int(min(total, float64(entries))), 1)
	if int(l.position.Load()) >= senders {
		return 0
	}
	return total / float64(senders)
}

// setShare sets the limiter to the share. An entry that becomes a sender begins without
// saved requests, as the senders before it may have used theirs. l.mu must be held.
func (l *requestLimit) setShare(share float64, now int64) {
	if l.limiter != nil && share == l.share {
		return
	}
	at := steady.Time(now)
	burst := max(1, int(share*burstTime.Seconds()))
	if l.limiter == nil || l.share == 0 {
		l.limiter = rate.NewLimiter(rate.Limit(share), burst)
		l.limiter.AllowN(at, burst)
	} else {
		l.limiter.SetLimitAt(at, rate.Limit(share))
		l.limiter.SetBurstAt(at, burst)
	}
	l.share = share
}

// trialDue reports whether a request must be sent to learn whether the limit still holds. A
// warm-up ends by itself. l.mu must be held.
func (l *requestLimit) trialDue(limit limitInForce, now int64, o *limitOrder) bool {
	named := limit.named
	if named == nil || limit.cold {
		return false
	}
	wait := trialAfter + time.Duration(min(l.position.Load(), maxTrialSteps))*trialStep
	return now-max(named.observedAt, l.lastSent) > int64(float64(wait)/o.present)
}

// blocks reports whether the limit keeps this entry from sending a request now.
func (l *requestLimit) blocks(p *pickParams) bool {
	limit, limited := l.inForce(p)
	if !limited {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setShare(l.shareAt(limit, p), p.now)
	return l.limiter.TokensAt(steady.Time(p.now)) < 1 && !l.trialDue(limit, p.now, p.limits)
}

// take counts a request against this entry's share. It returns false if the share is used
// up.
func (l *requestLimit) take(p *pickParams) bool {
	limit, limited := l.inForce(p)
	if !limited {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setShare(l.shareAt(limit, p), p.now)
	if !l.limiter.AllowN(steady.Time(p.now), 1) && !l.trialDue(limit, p.now, p.limits) {
		return false
	}
	l.lastSent = p.now
	return true
}

// SenderOrder is this entry's position among the entries that divide the request limits of
// servers.
type SenderOrder struct {
	// Position returns this entry's position in the order of a server in that availability
	// zone, 0 for the first. An entry that is leaving is not in the order and comes last.
	Position func(server, zone string) int
	// Entries is the number of entries in the order.
	Entries int
	// Missing is the number of entries out of contact that may still send to the servers,
	// and Live the number of those in contact.
	Missing, Live int
}

// SetSenderOrder sets how the entries divide the request limits of servers. Until then all
// live entries have equal shares.
func (b *Balancer) SetSenderOrder(order SenderOrder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, be := range b.snapshot.Load().byName {
		be.requestLimit.position.Store(int32(order.Position(be.vm.Name, be.vm.Zone)))
	}
	live := max(order.Live, 1)
	b.limits.Store(&limitOrder{
		entries: func() int { return order.Entries },
		ordered: true,
		present: float64(live) / float64(live+max(order.Missing, 0)),
	})
}

// LimitWait is how long the request limits of the servers keep a request from being sent.
type LimitWait struct {
	// Wait is the time until this entry may send the request, math.MaxInt64 if no server
	// takes requests from this entry.
	Wait time.Duration
	// Interval is the mean time between two requests that an entry may send by the limits
	// of all servers.
	Interval time.Duration
}

// LimitWait returns how long a request has to wait behind the given number of others. It
// returns false unless the servers' own wishes are all that keeps it waiting, that is if each of
// them names a limit of which this entry's share is used up, asked for a pause or is leaving.
func (b *Balancer) LimitWait(now time.Time, exclude []string, ahead int) (LimitWait, bool) {
	s := b.snapshot.Load()
	var p pickParams
	share, total, next := 0.0, 0.0, math.Inf(1) // next is in seconds
	blocked := false
	for _, be := range s.backends {
		if excluded(exclude, be.vm.Name) {
			continue
		}
		if p.limits == nil {
			p = pickParams{now: steady.Nanos(now), limits: b.limits.Load(), warmUpPerSecond: s.warmUp.perSecond, settled: !now.Before(b.options.SettledAt)}
		}
		if be.notices.blocks(p.now) {
			blocked = true
			if be.notices.leavingSince.Load() == 0 {
				next = min(next, time.Duration(be.notices.pausedUntil.Load()-p.now).Seconds())
			}
			continue
		}
		if be.report.draining.Load() {
			continue
		}
		l := be.requestLimit
		blocked = true
		limit, limited := l.inForce(&p)
		if !limited || !l.blocks(&p) {
			return LimitWait{}, false
		}
		total += limit.perSecond
		own, wait := l.nextToken(p.now)
		if left := l.warmUp.left(p.now); left > 0 {
			wait = min(wait, left.Seconds()) // its share is larger then
		}
		share, next = share+own, min(next, wait)
	}
	if !blocked {
		return LimitWait{}, false // no server accepts requests
	}
	if share > 0 {
		next += float64(ahead) / share
	}
	return LimitWait{
		Wait:     seconds(next),
		Interval: seconds(float64(max(p.limits.entries(), 1)) / total),
	}, true
}

// nextToken returns this entry's share in requests a second, and the seconds until it may
// send the next request by it.
func (l *requestLimit) nextToken(now int64) (share, wait float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share, max(1-l.limiter.TokensAt(steady.Time(now)), 0) / l.share
}

// seconds returns a number of seconds as a duration, math.MaxInt64 if it is too large or
// not a number.
func seconds(n float64) time.Duration {
	if n < math.MaxInt64/float64(time.Second) {
		return time.Duration(n * float64(time.Second))
	}
	return math.MaxInt64
}
