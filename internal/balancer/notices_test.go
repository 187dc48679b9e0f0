package balancer

import (
	"math"
	"slices"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

func noticeServers(incarnation int64, names ...string) []fleet.VM {
	var vms []fleet.VM
	for _, name := range names {
		vms = append(vms, fleet.VM{Name: name, Address: name + ":1", Incarnation: incarnation, State: fleet.Live})
	}
	return vms
}

// picks returns the servers that get requests, by name.
func picks(b *Balancer, now time.Time) map[string]bool {
	got := map[string]bool{}
	for range 20 {
		r, ok := b.Pick(now, nil)
		if !ok {
			break
		}
		got[r.VM.Name] = true
		defer b.Done(r, now, Result{Kind: Cancelled})
	}
	return got
}

// answer sends a request to that server and records the notices of its response.
func answer(t *testing.T, b *Balancer, server string, now time.Time, n Notices) {
	t.Helper()
	var others []string
	for _, be := range b.snapshot.Load().backends {
		if be.vm.Name != server {
			others = append(others, be.vm.Name)
		}
	}
	r, ok := b.Pick(now, others)
	if !ok {
		t.Fatalf("server %s gets no request", server)
	}
	b.Done(r, now, Result{Kind: Shed, Notices: n})
}

// A server that turns a request away names a time for which it wants nothing from this entry. It
// gets nothing until then, and is used again afterwards.
func TestPausedServerGetsNothing(t *testing.T) {
	var news []Notices
	b, svc, now := New(Options{OnNotices: func(_ string, n Notices) { news = append(news, n) }}), &tree.Service{}, time.Unix(1000, 0)
	b.UpdateAt(now, noticeServers(1, "a", "b"), svc)
	answer(t, b, "a", now, Notices{Pause: 3 * time.Second})
	if got := picks(b, now.Add(2900*time.Millisecond)); got["a"] || !got["b"] {
		t.Errorf("servers %v get requests in the pause of a, want only b", got)
	}
	if b.Wants("a", now.Add(2900*time.Millisecond)) || !b.Wants("b", now) {
		t.Error("a is probed in its pause, or b is not")
	}
	answerLater := now.Add(time.Second)
	b.ObserveProbe("a", answerLater, Report{Notices: Notices{Pause: time.Second}})
	if got := picks(b, now.Add(2900*time.Millisecond)); got["a"] {
		t.Error("a shorter pause that was named later ends a longer one")
	}
	if got := picks(b, now.Add(4*time.Second)); !got["a"] {
		t.Error("a gets nothing after its pause")
	}
	if want := []Notices{{Pause: 3 * time.Second}}; !slices.Equal(news, want) {
		t.Errorf("reported %v, want only the pause that began", news)
	}
}

// A server says that it is leaving. No load report, failed store or second listing makes it get
// requests again; a new start under its name does.
func TestLeavingServerStaysOut(t *testing.T) {
	b, svc, now := New(Options{}), &tree.Service{}, time.Unix(1000, 0)
	b.UpdateAt(now, noticeServers(1, "a", "b"), svc)
	answer(t, b, "a", now, Notices{Leaving: true})
	b.AddReport("a", now.Add(time.Second), Report{Slots: 3})
	if got := picks(b, now.Add(time.Second)); got["a"] {
		t.Error("a gets requests after a load report without a notice")
	}
	b.UpdateAt(now.Add(2*time.Second), noticeServers(1, "b"), svc)
	b.UpdateAt(now.Add(3*time.Second), noticeServers(1, "a", "b"), svc)
	if got := picks(b, now.Add(3*time.Second)); got["a"] {
		t.Error("a gets requests after it was listed again")
	}
	b.UpdateAt(now.Add(4*time.Second), noticeServers(2, "a", "b"), svc)
	if got := picks(b, now.Add(10*time.Second)); !got["a"] {
		t.Error("a gets nothing after a new start")
	}
}

// No server wants a request for some time. Waiting for one is told from a queue, so that the
// request can be refused at once.
func TestWaitForServersThatWantNothing(t *testing.T) {
	b, svc, now := New(Options{}), &tree.Service{}, time.Unix(1000, 0)
	b.UpdateAt(now, noticeServers(1, "a", "b"), svc)
	answer(t, b, "a", now, Notices{Pause: 3 * time.Second})
	if _, ok := b.LimitWait(now, nil, 0); ok {
		t.Error("a request waits although b takes it")
	}
	answer(t, b, "b", now, Notices{Pause: 5 * time.Second})
	if w, ok := b.LimitWait(now.Add(time.Second), nil, 4); !ok || w.Wait != 2*time.Second {
		t.Errorf("wait %v, %v, want the 2 s until the end of the first pause", w.Wait, ok)
	}
	b.ObserveProbe("a", now, Report{Notices: Notices{Leaving: true}})
	b.ObserveProbe("b", now, Report{Notices: Notices{Leaving: true}})
	if w, ok := b.LimitWait(now.Add(time.Second), nil, 0); !ok || w.Wait != math.MaxInt64 {
		t.Errorf("wait %v, %v with all servers leaving, want no end", w.Wait, ok)
	}
}
