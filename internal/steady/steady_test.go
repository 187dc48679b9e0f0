package steady_test

import (
	"testing"
	"time"
	"unsafe"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/steady"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// setClock returns the time as it is read after the time of day was set by d: the
// monotonic reading is the same. It relies on the layout of time.Time, which it checks.
func setClock(t *testing.T, at time.Time, d time.Duration) time.Time {
	t.Helper()
	const secondsShift = 30 // of the seconds in the first word
	jumped := at
	*(*uint64)(unsafe.Pointer(&jumped)) += uint64(int64(d/time.Second)) << secondsShift
	if jumped.Sub(at) != 0 || jumped.UnixNano()-at.UnixNano() != int64(d) {
		t.Fatal("the layout of time.Time has changed")
	}
	return jumped
}

const step = 5 * time.Second

func TestNumbersDoNotJump(t *testing.T) {
	now := time.Now()
	for _, d := range []time.Duration{-step, step} {
		later := setClock(t, now.Add(time.Millisecond), d)
		if got := steady.Nanos(later) - steady.Nanos(now); got != int64(time.Millisecond) {
			t.Errorf("clock set by %v: %d ns after 1 ms", d, got)
		}
	}
	if got := steady.Time(steady.Nanos(now)); !got.Equal(now) {
		t.Errorf("got %v back for %v", got, now)
	}
}

// The time of day is set back or forward by seconds while a server is full. Its next
// report counts at once, and its free slot is used.
func TestBalancerIgnoresTheTimeOfDay(t *testing.T) {
	for _, d := range []time.Duration{-step, step} {
		now := time.Now()
		b := balancer.New(balancer.Options{Entry: "entry", Zone: "a"})
		b.UpdateAt(now, []fleet.VM{{Name: "s0", Address: "a", Zone: "a", Slots: 1}}, &tree.Service{Member: "m", Name: "s"})
		b.SetEntryOrder(func(string) int { return 3 }, 4)
		b.AddReport("s0", now.Add(time.Millisecond), balancer.Report{InFlight: 1, Slots: 1, Slowdown: 100})
		pick := func(at time.Time) bool {
			_, ok := b.PickWithin(at, nil, 100*time.Millisecond, time.Second, 0)
			return ok
		}
		if pick(now.Add(2 * time.Millisecond)) {
			t.Fatal("picked a full server")
		}
		later := setClock(t, now.Add(100*time.Millisecond), d)
		b.AddReport("s0", later, balancer.Report{Slots: 1, Slowdown: 100})
		if !pick(later.Add(time.Millisecond)) {
			t.Errorf("clock set by %v: the free server gets no request", d)
		}
	}
}
