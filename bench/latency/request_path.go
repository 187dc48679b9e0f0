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
	"chestnutrouter.example/chestnutrouter/internal/drain"
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
	// benchLimit is far above the load of the benchmark. Acquiring from it costs as much
	// as from a lower limit.
	benchLimit = 10_000_000
)

// staticConfig holds a tree and a list of backend servers that never change.
type staticConfig struct {
	tree    *tree.Tree
	servers []fleet.VM
}

func (f staticConfig) Tree() *tree.Tree          { return f.tree }
func (f staticConfig) Servers(string) []fleet.VM { return f.servers }

func newStaticConfig(addresses []string) staticConfig {
	f := staticConfig{tree: benchTree()}
	for i, address := range addresses {
		f.servers = append(f.servers, fleet.VM{
			Name: fmt.Sprint("server", i), Address: address, Zone: "z1",
			Service: f.tree.Services[0].Key(), State: fleet.Live,
		})
	}
	return f
}

// benchTree returns a tree with one service of one rank, under four global limits.
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

// newHop returns a handler that forwards each call to a random server.
func newHop(addresses []string) http.Handler {
	f := newStaticConfig(addresses)
	forwarder := forward.New(forward.Options{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m, ok := f.tree.Match(r.Host, r.Method, r.URL.Path)
		if !ok {
			http.NotFound(w, r)
			return
		}
		server := f.servers[rand.IntN(len(f.servers))]
		response, failure := forwarder.Send(r.Context(), server, m, r, r.Body)
		if failure != nil {
			http.Error(w, failure.Error(), http.StatusBadGateway)
			return
		}
		// The caller sees a truncated response; the benchmark counts it there.
		_ = forward.WriteResponse(w, response)
	})
}

// newEntry returns the complete request path over a fixed tree. Its goroutines stop
// with ctx.
func newEntry(ctx context.Context, addresses []string) (http.Handler, error) {
	f := newStaticConfig(addresses)
	limiter, err := newLimiter(f.tree)
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
		Tree:       f,
		Operations: operation.New(operation.Options{}),
		Limiter:    limiter,
		Runner:     attempt.New(attempt.QueueAdmitter{Services: services}, forward.New(forward.Options{}), scope),
		Drainer:    drain.New(),
		Scope:      scope,
	}), nil
}

func newLimiter(t *tree.Tree) (*quota.Limiter, error) {
	claim := seat.Claim{Incarnation: benchIncarnation, VM: "entry1"}
	seats, err := seat.Table{}.Apply(0, claim, t.Seats)
	if err != nil {
		return nil, err
	}
	limiter := quota.New(quota.Options{Incarnation: benchIncarnation, LastContact: time.Now})
	limiter.SetTree(t)
	limiter.SetSeats(seats)
	return limiter, nil
}
