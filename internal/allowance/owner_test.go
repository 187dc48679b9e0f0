package allowance

import (
	"strconv"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
)

// ownerClock drives an Owner that is the only member.
type ownerClock struct {
	*Owner
	now   time.Duration
	view  *cluster.View
	limit Limit
}

func newOwnerClock(limit Limit) *ownerClock {
	c := &ownerClock{limit: limit, now: time.Hour, view: cluster.NewView([]cluster.LiveMember{{Member: cluster.Member{VM: "a"}}}, 0)}
	c.Owner = NewOwner(OwnerOptions{
		Self: "a", View: func() *cluster.View { return c.view }, Now: func() time.Duration { return c.now },
		Limit: func(string) (Limit, bool) { return c.limit, true },
	})
	return c
}

// run lets that much time pass, with a tick every 50 ms.
func (c *ownerClock) run(length time.Duration) {
	const step = 50 * time.Millisecond
	for end := c.now + length; c.now < end; {
		c.now += step
		c.Tick()
	}
}

// ask asks for units of shard 0.
func (c *ownerClock) ask(units byte) answer {
	q := question{op: opAcquire, units: units, limit: c.limit, tenant: "t"}
	a, _ := decodeAnswer(c.Answer(q.encode()))
	return a
}

// A member that has become the owner only now must not grant at once: the former owner may still
// do so. After takeoverDelay it has the first unit and what accrues from then on, not a full
// bucket.
func TestNewOwnerStartsEmpty(t *testing.T) {
	c := newOwnerClock(Limit{PerSecond: 40, Burst: 400})
	c.run(takeoverDelay - 100*time.Millisecond)
	if a := c.ask(10); a.status != statusNotReady || a.granted != 0 {
		t.Errorf("got %+v before the takeover was over", a)
	}
	c.run(100 * time.Millisecond)
	if a := c.ask(200); a.granted != initialUnits {
		t.Errorf("%d units granted at the end of the takeover, want %v", a.granted, initialUnits)
	}
	c.run(time.Second)
	if a := c.ask(200); a.granted != 10 {
		t.Errorf("%d units granted a second later, want a quarter of 40", a.granted)
	}
}

// After a loss of power of all VMs nobody grants until the new owners do, and callers are waiting. An
// owner that sees all members start must not take as long as one that another member may precede.
func TestOwnersGrantSoonAfterAStartOfAll(t *testing.T) {
	for name, c := range map[string]struct {
		started time.Duration // of the other member
		soon    bool
	}{
		"the other started as well": {time.Hour - 300*time.Millisecond, true},
		"the other is older":        {time.Hour - 2*time.Second, false},
		"one after the other":       {time.Hour - 1100*time.Millisecond, false},
	} {
		live := []cluster.LiveMember{{Member: cluster.Member{VM: "a", Weight: 100}}, {Member: cluster.Member{VM: "b", Weight: 1e-6}}}
		o := &ownerClock{limit: Limit{PerSecond: 40, Burst: 400}, now: time.Hour, view: cluster.NewView(live, 0)}
		o.Owner = NewOwner(OwnerOptions{
			Self: "a", View: func() *cluster.View { return o.view }, Now: func() time.Duration { return o.now },
			Limit: func(string) (Limit, bool) { return o.limit, true },
			StartedAt: func(m cluster.Member) time.Duration {
				if m.VM == "a" {
					return time.Hour
				}
				return c.started
			},
		})
		if a := o.ask(10); a.granted != 0 {
			t.Errorf("%s: %d units granted at the start", name, a.granted)
		}
		o.run(startDelay)
		if a := o.ask(10); (a.granted > 0) != c.soon {
			t.Errorf("%s: %d units granted after %v, want some: %v", name, a.granted, startDelay, c.soon)
		}
		o.run(takeoverDelay)
		if a := o.ask(10); a.granted == 0 {
			t.Errorf("%s: nothing granted after %v", name, takeoverDelay)
		}
	}
}

// Load: requests that wait since all VMs lost power. What accrued since the last member started must be
// there for them, also where the members found each other later: nobody has granted it.
func TestUnitsAccrueSinceAStartOfAll(t *testing.T) {
	const discovery = 600 * time.Millisecond
	c := newOwnerClock(Limit{PerSecond: 40, Burst: 40})
	c.Owner = NewOwner(OwnerOptions{
		Self: "a", View: func() *cluster.View { return c.view }, Now: func() time.Duration { return c.now },
		Limit:     func(string) (Limit, bool) { return c.limit, true },
		StartedAt: func(cluster.Member) time.Duration { return time.Hour },
	})
	c.run(discovery)
	live := []cluster.LiveMember{{Member: cluster.Member{VM: "a", Weight: 100}}, {Member: cluster.Member{VM: "b", Weight: 1e-6}}}
	c.view = cluster.NewView(live, 0)
	c.run(startDelay + 100*time.Millisecond)
	if a := c.ask(50); a.granted != 10 {
		t.Errorf("%d units granted, want %v and a quarter of 40 a second for 0.9 s", a.granted, initialUnits)
	}
}

// After a pause of its process, an owner must not grant what accrued meanwhile, as another member
// has granted it: it starts anew. A pause too short for a takeover changes nothing.
func TestOwnerStartsAnewAfterAPause(t *testing.T) {
	// A takeover takes 1.5 s from the last heartbeat, which may have been 200 ms before the pause.
	const shortest = 1300 * time.Millisecond
	for _, pause := range []time.Duration{400 * time.Millisecond, shortest, time.Minute} {
		c := newOwnerClock(Limit{PerSecond: 40, Burst: 400})
		c.run(time.Minute)
		c.ask(255)
		c.now += pause
		switch a := c.ask(200); {
		case pause >= shortest && (a.status != statusNotReady || a.granted != 0):
			t.Errorf("got %+v after a pause of %v, want no grant", a, pause)
		case pause < shortest && a.granted == 0:
			t.Errorf("got %+v after a pause of %v, want a grant", a, pause)
		}
		if pause < shortest {
			continue
		}
		c.run(takeoverDelay)
		if a := c.ask(200); a.granted != initialUnits {
			t.Errorf("%d units granted a second after the pause, want %v", a.granted, initialUnits)
		}
	}
}

// While members are missing, an owner grants only its part, and what it denies for that reason it
// must say so, as the request may be within the allowance.
func TestOwnerGrantsItsPartWhileMembersAreMissing(t *testing.T) {
	c := newOwnerClock(Limit{PerSecond: 40, Burst: 32})
	c.run(time.Minute)
	c.view = cluster.NewView(c.view.Live, 3)
	c.run(time.Second)
	if a := c.ask(10); a.granted != 2 || a.status != statusReduced {
		t.Errorf("got %+v, want a quarter of a bucket of 10 and that it is reduced", a)
	}
	c.run(2 * time.Second)
	if a := c.ask(10); a.granted != 2 {
		t.Errorf("%d units granted after 2 s, want no more than the smaller bucket holds", a.granted)
	}
}

// A bucket that was dropped while it was idle must be made again as it would be.
func TestBucketIsMadeAgainAsItWas(t *testing.T) {
	c := newOwnerClock(Limit{PerSecond: 40, Burst: 32})
	c.run(time.Minute)
	c.ask(1)
	c.run(time.Minute)
	if len(c.buckets) != 0 {
		t.Fatalf("%d idle buckets remain", len(c.buckets))
	}
	if a := c.ask(200); a.granted != 10 {
		t.Errorf("%d units granted from a bucket made again, want 10", a.granted)
	}
}

// Load: a tenant that sends what its allowance permits in each window, PerSecond times the window and
// Burst, at an even rate. A bucket that fills with PerSecond alone denies it the burst after the
// first window.
func TestDemandInsideTheAllowanceIsGranted(t *testing.T) {
	const step = 50 * time.Millisecond
	c := newOwnerClock(Limit{PerSecond: 40, Burst: 40})
	c.options.Window = quotaWindow
	c.run(time.Minute)
	perSecond := (c.limit.PerSecond*quotaWindow.Seconds() + c.limit.Burst) / quotaWindow.Seconds() / shardCount
	asked, granted := 0, 0
	for at := time.Duration(0); at < 4*quotaWindow; at += step {
		for ; float64(asked) < perSecond*at.Seconds(); asked++ {
			granted += int(c.ask(1).granted)
		}
		c.run(step)
	}
	if granted < asked {
		t.Errorf("%d of %d units granted", granted, asked)
	}
}

// Load: a tenant that asks for more than its allowance all the time, first from a full bucket. No
// window may have more than the allowance, and what is beyond is denied as such.
func TestShardKeepsToTheWindow(t *testing.T) {
	for _, limit := range []Limit{{PerSecond: 40, Burst: 40}, {PerSecond: 4, Burst: 200}, {PerSecond: 40, Burst: 4}, {PerSecond: 0.5, Burst: 0.5}} {
		c := newOwnerClock(limit)
		c.options.Window = quotaWindow
		c.run(time.Minute)
		var grants []time.Duration
		for end := c.now + 6*quotaWindow; c.now < end; {
			a := c.ask(50)
			if a.status != statusDecided {
				t.Fatalf("limit %v: got %+v", limit, a)
			}
			for range a.granted {
				grants = append(grants, c.now)
			}
			c.run(50 * time.Millisecond)
		}
		allowed := (limit.PerSecond*quotaWindow.Seconds() + limit.Burst + extraBurst) / shardCount
		if most := mostInWindow(grants); float64(most) > allowed || float64(most) < 0.8*allowed-1 {
			t.Errorf("limit %v: %d units in a window, want %.1f", limit, most, allowed)
		}
		if n := float64(len(grants)) * quotaWindow.Seconds() / (6 * quotaWindow).Seconds(); limit.Burst <= limit.PerSecond && n < 0.95*(limit.PerSecond*quotaWindow.Seconds()+limit.Burst)/shardCount-1 {
			t.Errorf("limit %v: %.1f units a window, want about all", limit, n)
		}
	}
}

// A denial for the window says when the next unit is free, so that entries do not ask all the time
// while the bucket has units.
func TestDenialForTheWindowHasAWait(t *testing.T) {
	const step, shortest, longest = 100 * time.Millisecond, 40 * time.Millisecond, 200 * time.Millisecond
	c := newOwnerClock(Limit{PerSecond: 40, Burst: 40})
	c.options.Window = quotaWindow
	c.run(time.Minute)
	granted := int(c.ask(12).granted)
	for range quotaWindow/step - 1 {
		c.run(step)
		granted += int(c.ask(1).granted)
	}
	a := c.ask(5)
	if granted += int(a.granted); granted != 62 {
		t.Errorf("%d units granted in a window, want a quarter of 240 and of %v", granted, extraBurst)
	}
	if a.wait < shortest || a.wait > longest {
		t.Errorf("got %+v, want a wait of %v to %v", a, shortest, longest)
	}
}

// What an owner granted beyond its rate while nobody else granted counts once members are missing,
// as these may have a new owner: both together may grant no more than the allowance in the window.
func TestOwnerRepaysOnceMembersAreMissing(t *testing.T) {
	c := newOwnerClock(Limit{PerSecond: 40, Burst: 40})
	c.options.Window = quotaWindow
	c.run(time.Minute)
	use := func(length time.Duration) (granted int) {
		for end := c.now + length; c.now < end; c.run(50 * time.Millisecond) {
			granted += int(c.ask(50).granted)
		}
		return granted
	}
	if before := use(4 * time.Second); before < 58 {
		t.Errorf("%d units granted in 4 s, want about 60", before)
	}
	c.view = cluster.NewView(c.view.Live, 1)
	if after := use(time.Second); after > 0 {
		t.Errorf("%d units granted in the next second, want none", after)
	}
	if after := use(4 * time.Second); after < 15 || after > 20 {
		t.Errorf("%d units granted in the 4 s after that, want nearly half of 40", after)
	}
}

// Units granted to a question without an answer must be available again, once.
func TestCancelledQuestionUsesNothing(t *testing.T) {
	c := newOwnerClock(Limit{PerSecond: 0.001, Burst: 32})
	c.run(3 * time.Second)
	c.buckets[bucketKey{tenant: "t"}] = &bucket{units: 10, unreduced: 10, filled: c.now}
	q := question{op: opAcquire, units: 4, id: 7, limit: c.limit, tenant: "t"}
	c.Answer(q.encode())
	q.op = opCancel
	for range 3 {
		c.Answer(q.encode())
	}
	if a := c.ask(20); a.granted != 10 {
		t.Errorf("%d units granted after the cancelled question, want all 10", a.granted)
	}
}

// Malformed questions must be ignored and not end the process.
func TestMalformedQuestions(t *testing.T) {
	c := newOwnerClock(Limit{PerSecond: 1})
	claim := question{op: opClaim, part: 0.5, from: "b", tenant: "t"}
	for _, data := range [][]byte{nil, {opAcquire}, make([]byte, questionHeaderBytes), append([]byte{opAcquire, shardCount, 1}, make([]byte, 30)...), claim.encode()[:30]} {
		if answer := c.Answer(data); answer != nil {
			t.Errorf("%v was answered", data)
		}
	}
}

// An operator may write a very large burst for a tenant without a limit. Its bucket then holds more
// units than an int, and all requests were denied.
func TestHugeBurstIsGranted(t *testing.T) {
	for _, limit := range []Limit{{PerSecond: 1e20, Burst: 1e20}, {PerSecond: 1e308, Burst: 1e308}} {
		c := newOwnerClock(limit)
		c.run(takeoverDelay + time.Second)
		if a := c.ask(200); a.status != statusDecided || a.granted != 200 {
			t.Errorf("limit %v: got %+v, want 200 units", limit, a)
		}
	}
}

// Questions name tenants that the owner's configuration does not have. They must not make it hold a
// bucket for each name, and tenants that it has get their units meanwhile.
func TestUnknownTenantsTakeLittleMemory(t *testing.T) {
	const most = 4096
	limit := Limit{PerSecond: 40, Burst: 40}
	c := newOwnerClock(limit)
	c.options.Limit = func(tenant string) (Limit, bool) { return limit, tenant == "t" }
	c.run(takeoverDelay + time.Second)
	ask := func(tenant string) answer {
		q := question{op: opAcquire, units: 1, limit: limit, tenant: tenant}
		a, _ := decodeAnswer(c.Answer(q.encode()))
		return a
	}
	for i := range 3 * most {
		ask("unknown" + strconv.Itoa(i))
	}
	if n := len(c.buckets); n > most {
		t.Errorf("%d buckets of unknown tenants, want at most %d", n, most)
	}
	if a := ask("t"); a.granted != 1 {
		t.Errorf("got %+v for a known tenant", a)
	}
	c.run(idleTime + 2*sweepInterval)
	if a := ask("new"); a.granted != 1 {
		t.Errorf("got %+v for an unknown tenant after the others were dropped", a)
	}
}
