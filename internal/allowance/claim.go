package allowance

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
)

// A member that does not hear others owns their shards in its view and grants its part of the
// rate. If the others still hear it, they see nobody missing and would go on to grant the whole.
// It therefore claims its part from the member that owned the shard: heartbeats do not reach it
// from there, but its datagrams may arrive. A claim that does not arrive does no harm: where no
// datagram arrives, the former owner sees the claiming members missing by itself.

const (
	// claimInterval is the time between two claims of one shard.
	claimInterval = 300 * time.Millisecond
	// claimTime is how long a claim holds; it spans several.
	claimTime = 1500 * time.Millisecond
	// maxClaims bounds the claims of one shard; one for each part of a partitioned cluster.
	maxClaims = 4
)

// claim is a part of a shard's rate that another member grants.
type claim struct {
	vm    string
	part  float64
	until time.Duration
}

// sendClaims claims the shards that were taken over from silent members. The caller holds o.mu.
func (o *Owner) sendClaims(now time.Duration) {
	p := o.current()
	if p.withSilent == nil || o.options.Send == nil || now-o.claimed < claimInterval {
		return
	}
	o.claimed = now
	for key := range o.buckets {
		former, ok := p.withSilent.Owner(cluster.AssignmentKey(key.tenant, int(key.shard)))
		if !ok || former.VM == o.options.Self {
			continue
		}
		limit, _ := o.options.Limit(key.tenant)
		q := question{op: opClaim, shard: key.shard, part: p.scale, from: o.options.Self, limit: limit, tenant: key.tenant}
		o.count("claims_sent")
		o.options.Send(former, q.encode())
	}
}

// acceptClaim leaves a part of the rate to the claiming member, if this member takes that one for
// live. The caller holds o.mu.
func (o *Owner) acceptClaim(q *question, now time.Duration) {
	b, refusal := o.bucket(q, now)
	if refusal != nil || !isLive(o.options.View(), q.from) {
		return
	}
	limit := o.limitOf(q)
	o.fill(b, limit, now)
	b.claimedUntil = now + claimTime
	kept := b.claims[:0]
	for _, c := range b.claims {
		if c.vm != q.from && c.until > now {
			kept = append(kept, c)
		}
	}
	if len(kept) < maxClaims {
		kept = append(kept, claim{vm: q.from, part: q.part, until: now + claimTime})
	}
	b.claims = kept
	o.count("claims_accepted")
}

func isLive(v *cluster.View, vm string) bool {
	for i := range v.Live {
		if v.Live[i].VM == vm {
			return true
		}
	}
	return false
}

// scale returns the part of the rate that is left when others have claimed theirs.
func (b *bucket) scale(scale float64, now time.Duration) float64 {
	for _, c := range b.claims {
		if c.until > now {
			scale -= c.part
		}
	}
	return max(scale, 0)
}
