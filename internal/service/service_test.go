package service

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

type serverList map[string][]fleet.VM

func (l serverList) Servers(key string) []fleet.VM { return l[key] }

func newTestSet() *Set {
	return NewSet(Options{VM: "entry", Scope: tally.NoopScope, Workers: admission.NewWorkers()})
}

func testService(name string, ranks ...string) *tree.Service {
	svc := &tree.Service{Member: "m", Name: name}
	for _, r := range ranks {
		svc.Ranks = append(svc.Ranks, tree.Rank{Name: r, Target: time.Minute, QueueLength: 10, QueueBytes: 1 << 20})
	}
	return svc
}

func testServers(service string) []fleet.VM {
	return []fleet.VM{{Name: "a", Address: "a:1", Service: service}, {Name: "b", Address: "b:1", Service: service}}
}

// picked returns the servers of the service that get requests.
func picked(t *testing.T, s *Set, key string) map[string]bool {
	t.Helper()
	r, ok := s.Get(key)
	if !ok {
		t.Fatalf("no service %s", key)
	}
	got := map[string]bool{}
	for range 4 {
		if reservation, ok := r.Balancer.Pick(time.Now(), nil); ok {
			got[reservation.VM.Name] = true
			defer r.Balancer.Done(reservation, time.Now(), balancer.Result{Kind: balancer.Cancelled})
		}
	}
	return got
}

// A server says that it is leaving. It stays out when its service is renamed, which moves it to
// another one, and when the service is taken out of the tree and comes back.
func TestLeavingServerStaysOutThroughChangesOfTheTree(t *testing.T) {
	s := newTestSet()
	shop, store := testService("shop", "urgent"), testService("store", "urgent")
	s.SetTree(&tree.Tree{Services: []*tree.Service{shop}})
	s.SetServers(serverList{shop.Key(): testServers(shop.Key())})
	r, _ := s.Get(shop.Key())
	r.Balancer.ObserveProbe("a", time.Now(), balancer.Report{Notices: balancer.Notices{Leaving: true}})
	leaving := testServers(shop.Key())[0]
	s.SetTree(&tree.Tree{})
	if !s.IsDraining(leaving) {
		t.Error("the server is not known to leave while its service is out of the tree")
	}
	s.SetTree(&tree.Tree{Services: []*tree.Service{shop}})
	if got := picked(t, s, shop.Key()); got["a"] || !got["b"] {
		t.Errorf("servers %v get requests after the service came back, want b", got)
	}
	s.SetTree(&tree.Tree{Services: []*tree.Service{store}})
	s.SetServers(serverList{store.Key(): testServers(store.Key())})
	if got := picked(t, s, store.Key()); got["a"] || !got["b"] {
		t.Errorf("servers %v get requests after the service was renamed, want b", got)
	}
}

// A request waits for a server as its service, or its rank, is taken out of the configuration. It
// is refused at once, with a status that promises that it never runs, and so is one that was
// matched just before.
func TestWaitingRequestsOfARemovedServiceAreRefused(t *testing.T) {
	for _, c := range []struct {
		name string
		next *tree.Tree
	}{
		{"service", &tree.Tree{}},
		{"rank", &tree.Tree{Services: []*tree.Service{testService("shop", "urgent")}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestSet()
			shop := testService("shop", "urgent", "batch")
			s.SetTree(&tree.Tree{Services: []*tree.Service{shop}})
			s.SetServers(serverList{shop.Key(): testServers(shop.Key())})
			r, _ := s.Get(shop.Key())
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			request := admission.Request{Rank: "batch", Deadline: time.Now().Add(time.Minute)}
			for {
				if _, ok := r.Balancer.Pick(time.Now(), nil); !ok {
					break
				}
			}
			refusals := make(chan *outcome.Refusal, 1)
			go func() {
				_, refusal := r.Queue.Admit(ctx, request)
				refusals <- refusal
			}()
			time.Sleep(50 * time.Millisecond)
			s.SetTree(c.next)
			_, late := r.Queue.Admit(ctx, request)
			for _, refusal := range []*outcome.Refusal{<-refusals, late} {
				if refusal == nil || refusal.Status != http.StatusServiceUnavailable || refusal.Reason != outcome.ReasonConfigurationChanged {
					t.Errorf("got %v, want 503 as the configuration has changed", refusal)
				}
			}
		})
	}
}
