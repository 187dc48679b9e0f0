package service

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
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

