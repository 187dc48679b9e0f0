package probe

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// fakeSender succeeds for all servers but the failing one.
type fakeSender struct {
	mu      sync.Mutex
	sent    []time.Time
	failing string
}

func (f *fakeSender) Send(_ context.Context, vm fleet.VM, _ *tree.Service) (balancer.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, time.Now())
	if vm.Name == f.failing {
		return balancer.Report{}, errors.New("no response")
	}
	return balancer.Report{Slots: 3}, nil
}

func newService(name string, perSecond float64) *tree.Service {
	return &tree.Service{Member: "glazenpot", Name: name, SlotsPerServer: 3, Budgets: tree.Budgets{ProbesPerSecond: perSecond}}
}

func newTarget(svc *tree.Service, servers int) Target {
	b := balancer.New(balancer.Options{})
	var vms []fleet.VM
	for i := range servers {
		name := svc.Name + string(rune('a'+i))
		vms = append(vms, fleet.VM{Name: name, Address: name, State: fleet.Live})
	}
	b.Update(vms, svc)
	return Target{Service: svc, Source: b}
}

func TestProbesStayInsideBothBudgets(t *testing.T) {
	for _, c := range []struct {
		name                 string
		service, total       float64
		servers, services    int
		minProbes, maxProbes int // probes in ten seconds
	}{
		{"service budget", 2, 100, 20, 1, 19, 21},
		{"whole budget", 5, 4, 20, 3, 38, 41},
		{"nothing to learn", 50, 100, 3, 1, 27, 30},
		{"no budget", 0, 100, 20, 1, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender := &fakeSender{}
				var targets []Target
				for i := range c.services {
					targets = append(targets, newTarget(newService(string(rune('A'+i)), c.service), c.servers))
				}
				p := New(Options{
					Targets: func() []Target { return targets },
					Budget:  func() float64 { return c.total },
					Sender:  sender,
				})
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				p.Run(ctx)
				synctest.Wait()
				if n := len(sender.sent); n < c.minProbes || n > c.maxProbes {
					t.Errorf("%d probes in 10 s, want %d to %d", n, c.minProbes, c.maxProbes)
				}
			})
		})
	}
}

func TestProbesAreCountedAndEjectADeadServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		target := newTarget(newService("shop", 100), 4)
		p := New(Options{
			Targets: func() []Target { return []Target{target} },
			Budget:  func() float64 { return 100 },
			Sender:  &fakeSender{failing: "shopa"},
			Scope:   scope,
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		p.Run(ctx)
		synctest.Wait()
		for _, reason := range []string{"answered", "failed"} {
			key := "probes+reason=" + reason + ",service=glazenpot/shop"
			if c := scope.Snapshot().Counters()[key]; c == nil || c.Value() == 0 {
				t.Errorf("counter %s is missing or zero", key)
			}
		}
		b := target.Source.(*balancer.Balancer)
		if s, ok := b.Pick(time.Now(), []string{"shopb", "shopc", "shopd"}); ok {
			t.Errorf("picked %s, which fails all probes, want it ejected", s.VM.Name)
		}
	})
}

func TestHTTPReadsHeaderOrBody(t *testing.T) {
	want := balancer.Report{InFlight: 2, Slots: 3, Queue: 1}
	for _, c := range []struct {
		name    string
		handle  http.HandlerFunc
		wantErr bool
	}{
		{"header", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Load-Report", want.String()) }, false},
		{"body", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(want.String() + "\n")) }, false},
		{"status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, true},
		{"nonsense", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("fine, thanks")) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handle)
			defer server.Close()
			vm := fleet.VM{Address: strings.TrimPrefix(server.URL, "http://")}
			got, err := NewHTTP().Send(t.Context(), vm, newService("shop", 1))
			if (err != nil) != c.wantErr || !c.wantErr && got != want {
				t.Fatalf("got report %+v, error %v", got, err)
			}
		})
	}
}
