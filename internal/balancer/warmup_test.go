package balancer

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/steady"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

var warmUpService = &tree.Service{WarmUp: 3 * time.Second, WarmUpPerSecond: 7.9}

// coldEntries returns the balancers of that many entries, for one server in use. They see as many
// others as missing.
func coldEntries(now time.Time, entries, missing int) []*Balancer {
	balancers := make([]*Balancer, entries)
	for i := range balancers {
		b := New(Options{Entry: "entry", Zone: "a"})
		b.UpdateAt(now, []fleet.VM{{Name: "s0", Address: "s0", Zone: "a", Slots: 60}}, warmUpService)
		b.AddReport("s0", now, Report{Slots: 60, Slowdown: 100})
		b.SetSenderOrder(SenderOrder{
			Position: func(string, string) int { return i }, Entries: entries, Live: entries, Missing: missing,
		})
		balancers[i] = b
	}
	return balancers
}

// Whatever the number of entries, split or not, and whenever they have requests: in any second
// while a server is cold the sum over all of them stays within warmupPerS x 1.5 + 8, whether it was
// cold from the start or becomes so again.
func TestSharesOfAWarmUpAddUpToIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		sides := []int{rapid.IntRange(1, 60).Draw(t, "entries"), rapid.IntRange(0, 60).Draw(t, "entries of the other side")}
		var balancers []*Balancer
		for i, entries := range sides {
			balancers = append(balancers, coldEntries(now, entries, sides[1-i])...)
		}
		var sent []time.Time
		for range 3 {
			for _, b := range balancers {
				b.AddPeerWarmUp("s0", now, 3*time.Second)
			}
			for end := now.Add(3 * time.Second); now.Before(end); now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "pause ms")) * time.Millisecond) {
				for _, b := range balancers {
					if rapid.IntRange(0, 3).Draw(t, "demand") > 0 && trySend(b, now) {
						sent = append(sent, now)
					}
				}
			}
		}
		last := 0
		for i, first := range sent {
			for last < len(sent) && sent[last].Sub(first) < time.Second {
				last++
			}
			if allowed := 19; last-i > allowed {
				t.Fatalf("%d requests in a second, allowed are %d", last-i, allowed)
			}
		}
	})
}

// sentIn returns how many requests the entries send in that time, one each millisecond if they may.
func sentIn(balancers []*Balancer, now time.Time, length time.Duration) int {
	n := 0
	for at := now; at.Before(now.Add(length)); at = at.Add(time.Millisecond) {
		for _, b := range balancers {
			if trySend(b, at) {
				n++
			}
		}
	}
	return n
}

// Of a warm-up and a limit that the server names the lower one holds, and a limit of that cause
// stays as it is when the warm-up ends.
func TestLowerOfWarmUpAndNamedLimitHolds(t *testing.T) {
	for _, named := range []float64{2, 20} {
		now := time.Now()
		balancers := coldEntries(now, 1, 0)
		b := balancers[0]
		b.AddPeerLimit("s0", now, NamedLimit{PerSecond: named})
		b.AddPeerWarmUp("s0", now, 2*time.Second)
		lower := min(named, 7.9)
		if got := sentIn(balancers, now, 2*time.Second); got > int(2*lower)+1 || got < int(2*lower)-1 {
			t.Errorf("limit %v: %d requests in 2 s of the warm-up, want about %v a second", named, got, lower)
		}
		now = now.Add(2*time.Second + rampSteps*rampStep)
		b.AddPeerLimit("s0", now, NamedLimit{PerSecond: named})
		if got := sentIn(balancers, now, 2*time.Second); got > int(2*named)+2 || got < int(2*named)-1 {
			t.Errorf("limit %v: %d requests in 2 s after the warm-up, want that limit", named, got)
		}
	}
}

// After a warm-up the limit rises step by step, as after a limit that the server named, and is then
// gone. The server's place among others is as after its start until then.
func TestLimitRisesAfterAWarmUp(t *testing.T) {
	now := time.Now()
	balancers := coldEntries(now, 1, 0)
	balancers[0].AddPeerWarmUp("s0", now, time.Second)
	now = now.Add(time.Second)
	previous := 7.9 / 2
	for step := range 4 {
		got := float64(sentIn(balancers, now, rampStep))
		if want := 7.9 * math.Exp2(float64(step+1)) / 2; math.Abs(got-want) > 3 || got <= previous {
			t.Errorf("%v requests in step %d after the warm-up, want about %v", got, step, want)
		}
		previous = got
		now = now.Add(rampStep)
	}
	if balancers[0].snapshot.Load().backend("s0").requestLimit.blocks(&pickParams{now: steady.Nanos(now.Add(time.Minute)), warmUpPerSecond: 7.9}) {
		t.Error("a limit holds long after the warm-up")
	}
}

// The newest of what a server says decides, a record counts once, and a wrong value has a bound. A
// service without a rate has no limit, and an entry that just started sends nothing.
func TestWarmUpIsKnownByTheNewestNews(t *testing.T) {
	now := time.Now()
	b := New(Options{Zone: "a"})
	var changes []WarmUpChange
	b.options.OnWarmUp = func(c WarmUpChange) { changes = append(changes, c) }
	vm := fleet.VM{Name: "s0", Address: "s0", Zone: "a"}
	left := func(at time.Time) time.Duration {
		return b.snapshot.Load().backend("s0").requestLimit.warmUp.left(steady.Nanos(at))
	}
	b.UpdateAt(now, []fleet.VM{vm}, warmUpService)
	b.ObserveProbe("s0", now, Report{})
	if left(now) != 0 {
		t.Fatal("cold without a word of it")
	}
	vm.WarmUntil = steady.Millis(now.Add(2 * time.Second))
	b.UpdateAt(now, []fleet.VM{vm}, warmUpService)
	at := now.Add(time.Second)
	b.ObserveProbe("s0", at, Report{Notices: Notices{WarmUp: 500 * time.Millisecond}})
	b.AddPeerWarmUp("s0", now.Add(900*time.Millisecond), 3*time.Second) // older
	b.UpdateAt(at, []fleet.VM{vm}, warmUpService)                       // the same record
	b.ObserveProbe("s0", at.Add(time.Millisecond), Report{})
	if got := left(at); got != 500*time.Millisecond {
		t.Errorf("%v left, want 500 ms by the probe", got)
	}
	r, ok := b.Pick(now.Add(time.Minute), nil)
	if !ok {
		t.Fatal("no server")
	}
	b.Done(r, now.Add(time.Minute), Result{Kind: Error, Notices: Notices{WarmUp: time.Hour}})
	if got := left(now.Add(time.Minute)); got != 3*time.Second {
		t.Errorf("%v left, want the 3 s of a whole warm-up", got)
	}
	if len(changes) != 2 || changes[0].Source != LimitFromRecord || changes[1].Source != LimitFromResponse || changes[1].PerSecond != 7.9 {
		t.Errorf("news %+v, want those of the record and of the response", changes)
	}

	unlimited := New(Options{Zone: "a"})
	unlimited.UpdateAt(now, []fleet.VM{vm}, &tree.Service{WarmUp: 3 * time.Second})
	unlimited.AddPeerWarmUp("s0", now, 3*time.Second)
	if got := sentIn([]*Balancer{unlimited}, now, 100*time.Millisecond); got != 100 {
		t.Errorf("%d of 100 requests sent without a rate, want all", got)
	}
	starting := New(Options{Zone: "a", SettledAt: now.Add(time.Second)})
	starting.UpdateAt(now, []fleet.VM{vm}, warmUpService)
	if got := sentIn([]*Balancer{starting}, now, time.Second); got != 0 {
		t.Errorf("%d requests to a cold server sent by an entry that starts, want none", got)
	}
	wait, limited := starting.LimitWait(now, nil, 0)
	if !limited || wait.Wait > 2*time.Second {
		t.Errorf("a wait of %v, %v, want that until the end of the warm-up at most", wait.Wait, limited)
	}
	if got := sentIn([]*Balancer{starting}, now.Add(time.Second), time.Second); got == 0 {
		t.Error("no request sent once the entry knows the others")
	}
}
