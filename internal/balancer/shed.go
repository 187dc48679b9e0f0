package balancer

// A server that tells its pace shows with its reports whether it is full. One that
// refuses work beyond that is avoided only as far as it refuses more than the
// others: where all of them refuse at times, none is worth a wait.

const (
	// shedWeight is the weight of the newest answer in a server's share of refusals,
	// allShedWeight that in the share of all servers.
	shedWeight    = 0.1
	allShedWeight = 0.02
	// shedCost is what a server that refuses everything counts beside others that
	// refuse nothing, in usual works.
	shedCost = 3
)

// learnShed takes in whether an answer was a refusal, as 1 or 0.
func (b *Balancer) learnShed(h *host, refused float64) {
	h.shed.add(refused, shedWeight)
	b.shed.add(refused, allShedWeight)
}

// add moves a share that starts at zero.
func (m *mean) add(sample, weight float64) {
	// A mean that reads zero has no samples: a trifle keeps it from starting anew.
	const trifle = 1e-9
	if m.value() == 0 {
		m.learn(trifle, 1)
	}
	m.learn(sample, weight)
}

// shedRating is what the server's refusals count in its rating.
func (h *host) shedRating(v *view) float64 { return shedCost * max(0, h.shed.value()-v.shed) }
