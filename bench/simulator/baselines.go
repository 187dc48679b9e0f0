package simulator

import "chestnutrouter.example/chestnutrouter/internal/balancer"

// baselineDispatcher implements the baseline policies. It sends each call immediately,
// without a queue, to a server that the entry chooses by itself.
type baselineDispatcher struct {
	entry    *entry
	policy   Policy
	servers  []*server
	inFlight map[*server]int
	rotation int
}

func (d *baselineDispatcher) update(servers []*server) { d.servers = servers }

func (d *baselineDispatcher) submit(c *call) {
	s := d.choose()
	d.inFlight[s]++
	a := &attempt{call: c, server: s}
	a.send()
}

func (d *baselineDispatcher) done(a *attempt, _ balancer.ResultKind) { d.inFlight[a.server]-- }

func (d *baselineDispatcher) choose() *server {
	switch d.policy {
	case RoundRobin:
		d.rotation++
		return d.servers[(d.rotation+d.entry.index)%len(d.servers)]
	case LeastRequests:
		return d.leastLoaded(d.ownInFlight)
	case GlobalLeastRequests:
		return d.leastLoaded(totalInFlight)
	case PowerOfTwoChoices:
		a, b := d.randomServer(), d.randomServer()
		if d.inFlight[b] < d.inFlight[a] {
			return b
		}
		return a
	default:
		return d.randomServer()
	}
}

func (d *baselineDispatcher) randomServer() *server {
	return d.servers[d.entry.rng.IntN(len(d.servers))]
}

// leastLoaded returns the server with the lowest load. The scan starts one server
// further with each call, which breaks ties in rotation.
func (d *baselineDispatcher) leastLoaded(load func(*server) int) *server {
	d.rotation++
	first := (d.rotation + d.entry.index) % len(d.servers)
	best := d.servers[first]
	for i := range d.servers {
		s := d.servers[(first+i)%len(d.servers)]
		if load(s) < load(best) {
			best = s
		}
	}
	return best
}

func (d *baselineDispatcher) ownInFlight(s *server) int { return d.inFlight[s] }

// totalInFlight returns the server's load from all entries at this moment. No real
// entry can know it.
func totalInFlight(s *server) int { return s.inTransit + len(s.running) + len(s.queue) }
