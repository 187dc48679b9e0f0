package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/attempt"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/frontend"
	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/quota"
	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/service"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	benchHost        = "shop.bench"
	benchIncarnation = "0123456789abcdef"
	// benchLimit is far beyond what the bench sends; spending it costs the same.
	benchLimit = 10_000_000
)

// fixed is a tree and a list of backend servers that never change.
type fixed struct {
	tree    *tree.Tree
	servers []fleet.VM
}

func (f fixed) Tree() *tree.Tree          { return f.tree }
func (f fixed) Servers(string) []fleet.VM { return f.servers }

func newFixed(addresses []string) fixed {
	f := fixed{tree: benchTree()}
	for i, address := range addresses {
		f.servers = append(f.servers, fleet.VM{
			Name: fmt.Sprint("server", i), Address: address, Zone: "z1",
			Service: f.tree.Services[0].Key(), State: fleet.Live,
		})
	}
	return f
}

// benchTree has one service with one rank, under four voted limits.
func benchTree() *tree.Tree {
	svc := &tree.Service{
		Member: "bench", Name: "shop", Hosts: []string{benchHost},
		Routes: []*tree.Route{{
			PathPrefix: "/", Rank: "lookups", Idempotent: true, MaxBodyBytes: 1 << 20, Timeout: 10 * time.Second,
		}},
		Ranks:                []tree.Rank{{Name: "lookups", Order: 1, Target: time.Second, QueueLength: 1000, QueueBytes: 1 << 24}},
		ConnectionsPerServer: 250,
		SlotsPerServer:       serverSlots,
	}
	t := &tree.Tree{Members: []string{"bench"}, Quorum: 1, Seats: 1, Services: []*tree.Service{svc}}
	for _, scope := range []tree.Scope{
		{},
		{Member: "bench"},
		{Member: "bench", Service: "shop"},
		{Member: "bench", Service: "shop", Rank: "lookups"},
	} {
		t.Limits = append(t.Limits, tree.Limit{Scope: scope, CallsPerSecond: benchLimit, ConcurrentCalls: benchLimit})
	}
	return t
}

// newHop returns a handler that forwards each call to a server at random.
func newHop(addresses []string) http.Handler {
	f := newFixed(addresses)
	forwarder := forward.New(forward.Options{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m, ok := f.tree.Match(r.Host, r.Method, r.URL.Path)
		if !ok {
			http.NotFound(w, r)
			return
		}
		server := f.servers[rand.IntN(len(f.servers))]
		answer, failure := forwarder.Send(r.Context(), server, m, r, r.Body)
		if failure != nil {
			http.Error(w, failure.Error(), http.StatusBadGateway)
			return
		}
		// A broken answer is seen by the caller; the bench counts it there.
		_ = forward.WriteResponse(w, answer)
	})
}

// newEntry returns the whole request path over a fixed tree; its goroutines end
// with ctx.
func newEntry(ctx context.Context, addresses []string) (http.Handler, error) {
	f := newFixed(addresses)
	ledger, err := newLimiter(f.tree)
	if err != nil {
		return nil, err
	}
	scope := metrics.NewRegistry().Scope
	workers := admission.NewWorkers()
	go workers.Run(ctx, runtime.GOMAXPROCS(0))
	services := service.NewSet(service.Options{VM: "entry1", Zone: "z1", Scope: scope, Workers: workers})
	services.SetTree(f.tree)
	services.SetServers(f)
	return frontend.NewHandler(frontend.Options{
		VM:         "entry1",
		Trees:      f,
		Operations: operation.New(operation.Options{}),
		Limits:     ledger,
		Runner:     attempt.New(attempt.QueueAdmitter{Services: services}, forward.New(forward.Options{}), scope),
		Drain:      &frontend.Drainer{},
		Scope:      scope,
	}), nil
}

func newLimiter(t *tree.Tree) (*quota.Limiter, error) {
	claim := seat.Claim{Incarnation: benchIncarnation, VM: "entry1"}
	seats, err := seat.Table{}.Apply(0, claim, t.Seats)
	if err != nil {
		return nil, err
	}
	ledger := quota.New(quota.Options{Incarnation: benchIncarnation, LastContact: time.Now})
	ledger.SetTree(t)
	ledger.SetSeats(seats)
	return ledger, nil
}
