package simulator

import "chestnutrouter.example/chestnutrouter/internal/balancer"

// direct is a baseline: each call is sent at once to a server that only the
// entry's own view chooses.
type direct struct {
	entry   *entry
	policy  Policy
	servers []*server
	own     map[*server]int
	turn    int
}

func (d *direct) update(servers []*server) { d.servers = servers }

func (d *direct) start(c *call) {
	s := d.choose()
	d.own[s]++
	a := &attempt{call: c, server: s}
	a.send()
}

func (d *direct) done(a *attempt, _ balancer.ResultKind) { d.own[a.server]-- }

func (d *direct) choose() *server {
	switch d.policy {
	case RoundRobin:
		d.turn++
		return d.servers[(d.turn+d.entry.index)%len(d.servers)]
	case LeastRequests:
		return d.least(d.ownLoad)
	case GlobalLeastRequests:
		return d.least(trueLoad)
	case PowerOfTwoChoices:
		a, b := d.any(), d.any()
		if d.own[b] < d.own[a] {
			return b
		}
		return a
	default:
		return d.any()
	}
}

func (d *direct) any() *server { return d.servers[d.entry.rng.IntN(len(d.servers))] }

// least breaks ties by a start that moves on with each call.
func (d *direct) least(load func(*server) int) *server {
	d.turn++
	first := (d.turn + d.entry.index) % len(d.servers)
	best := d.servers[first]
	for i := range d.servers {
		s := d.servers[(first+i)%len(d.servers)]
		if load(s) < load(best) {
			best = s
		}
	}
	return best
}

func (d *direct) ownLoad(s *server) int { return d.own[s] }

// trueLoad is the load at this moment, which no entry can know.
func trueLoad(s *server) int { return s.coming + len(s.running) + len(s.queue) }
