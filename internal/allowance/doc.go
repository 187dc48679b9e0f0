// Package allowance bounds the requests of each tenant over all entries together.
//
// The allowance of a tenant is split into shards. The Owner of a shard keeps a token bucket with
// its part of the rate and the burst, and grants units of it to the Clients of all entries, which
// query it by datagrams. docs/design/allowances.md explains why the sum holds when entries fail
// or are cut off.
//
// Lock order: Client.mu and Owner.mu are leaves. No lock is held while a query is under way.
package allowance

import "time"

const (
	// shardCount is the number of shards of each allowance: with one of them lost, the others
	// still have more than the usual demand of the tenant, which is 1/1.6 of its rate.
	shardCount = 4
	// extraBurst is the number of units by which the buckets of all shards together are larger
	// than the tenant's burst. It makes up for the parts of units that each shard is left with,
	// and for the arrival of requests at shards at random.
	extraBurst = 8.0
	// initialUnits is what the bucket of a new owner of a shard has at once.
	initialUnits = 1.0
	// takeoverDelay is how long after it has become the owner of a shard a member begins to
	// grant. By then the former owner knows of it, or does not grant as it is paused or has
	// ended, or grants less as it sees members missing.
	takeoverDelay = time.Second
	// startDelay takes the place of takeoverDelay after a start of all members: no earlier owner is
	// left that could still grant, so a new one only waits until it sees no more members joining.
	startDelay = 200 * time.Millisecond
	// startSpan is how far apart the starts of members may be to count as one start of all. It is
	// shorter than a restart of the members one after the other takes.
	startSpan = time.Second
	// startPhase is how long after its own start a member takes the others for starting.
	startPhase = 3 * time.Second
	// maxPause is the longest time without a sign of progress of its own process after which an
	// owner goes on as before. Nobody can have granted in its place by then: members take
	// another one for live for 500 ms at least, and a new owner waits for takeoverDelay.
	maxPause = time.Second
	// minSoleScale is the part of the members that an owner must see to take what it has granted
	// itself for all that was granted. The others cannot grant more than the rest.
	minSoleScale = 0.95
	// aloneTime is how long an entry that should have peers and knows none does not
	// grant. After that time members forget each other.
	aloneTime = 2 * time.Minute
	// useWindow is the time constant of the recent use of a tenant.
	useWindow = 3 * time.Second
	// minDenial and maxDenial bound the time for which a client takes a denial to hold.
	minDenial, maxDenial = time.Millisecond, 500 * time.Millisecond
	// maxReturnAge is the age up to which an unused unit is returned.
	maxReturnAge = 250 * time.Millisecond
)
