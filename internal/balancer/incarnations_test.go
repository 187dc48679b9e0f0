package balancer

import (
	"fmt"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// What a server has said, and how it has failed, holds whichever service lists it. A server that
// moves to another service, or back after its service was taken out of the configuration, must
// not get requests that it does not want.
func TestServerStateOutlivesItsService(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		learn func(b *Balancer)
	}{
		{"leaving", func(b *Balancer) { answer(t, b, "a", now, Notices{Leaving: true}) }},
		{"pause", func(b *Balancer) { answer(t, b, "a", now, Notices{Pause: time.Minute}) }},
		{"request limit", func(b *Balancer) {
			b.AddPeerLimit("a", now, NamedLimit{PerSecond: 0})
		}},
		{"ejection", func(b *Balancer) {
			for range 10 {
				r, ok := b.Pick(now, []string{"b", "c", "d"})
				if !ok {
					return
				}
				b.Done(r, now, Result{Kind: Error})
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			incarnations, svc := NewIncarnations(), &tree.Service{}
			first := New(Options{Incarnations: incarnations})
			first.UpdateAt(now, noticeServers(1, "a", "b", "c", "d"), svc)
			c.learn(first)
			if picks(first, now)["a"] {
				t.Fatal("the server gets requests from the first service")
			}
			second := New(Options{Incarnations: incarnations})
			second.UpdateAt(now, noticeServers(1, "a", "b", "c", "d"), svc) // before the first drops it
			first.UpdateAt(now, nil, svc)
			if got := picks(second, now); got["a"] || !got["b"] {
				t.Errorf("servers %v get requests from the second service, want all but a", got)
			}
			second.UpdateAt(now, nil, svc)
			third := New(Options{Incarnations: incarnations})
			third.UpdateAt(now.Add(500*time.Millisecond), noticeServers(1, "a", "b", "c", "d"), svc)
			if picks(third, now.Add(500*time.Millisecond))["a"] {
				t.Error("the server gets requests from a service that lists it later")
			}
			third.UpdateAt(now.Add(time.Second), noticeServers(2, "a", "b", "c", "d"), svc)
			if !picks(third, now.Add(time.Hour))["a"] {
				t.Error("a new start of the server gets no requests")
			}
		})
	}
}

// A response that says that its server is leaving arrives when no service lists the server any more.
func TestLeavingIsRememberedFromALateResponse(t *testing.T) {
	now, incarnations, svc := time.Unix(1000, 0), NewIncarnations(), &tree.Service{}
	b := New(Options{Incarnations: incarnations})
	b.UpdateAt(now, noticeServers(1, "a", "b"), svc)
	r, ok := b.Pick(now, []string{"b"})
	if !ok {
		t.Fatal("no server picked")
	}
	b.UpdateAt(now, nil, svc)
	b.Done(r, now.Add(time.Second), Result{Kind: OK, Notices: Notices{Leaving: true}})
	again := New(Options{Incarnations: incarnations})
	again.UpdateAt(now.Add(2*time.Second), noticeServers(1, "a", "b"), svc)
	if picks(again, now.Add(2*time.Second))["a"] {
		t.Error("the leaving server gets requests")
	}
	if !incarnations.IsLeaving(noticeServers(1, "a")[0]) || incarnations.IsLeaving(noticeServers(2, "a")[0]) {
		t.Error("the start that leaves is not told from the next one")
	}
}

// Services that come and go by the hundred, each with servers of its own, must not fill the memory.
func TestServersThatAreGoneAreForgotten(t *testing.T) {
	const services, servers, interval = 500, 4, time.Second
	now, incarnations, svc := time.Unix(1000, 0), NewIncarnations(), &tree.Service{}
	most := 0
	for n := range services {
		b := New(Options{Incarnations: incarnations})
		var vms []fleet.VM
		for i := range servers {
			vms = append(vms, noticeServers(1, fmt.Sprintf("s-%d-%d", n, i))...)
		}
		b.UpdateAt(now, vms, svc)
		b.UpdateAt(now.Add(interval/2), nil, svc)
		now = now.Add(interval)
		most = max(most, len(incarnations.servers))
	}
	if limit := servers * (int(minRemembered/interval) + 2); most > limit {
		t.Errorf("%d servers remembered, want at most the %d of a minute", most, limit)
	}
}
