package balancer

// The reports of a server that reports its slowdown show whether it is full. If it sheds
// requests even though it is not, it is avoided only as far as it sheds more than the other
// servers: if all of them shed at times, waiting for another one gains nothing.

const (
	// shedWeight is the weight of the newest response in a server's share of shed
	// requests, and serviceShedWeight its weight in the share of all servers.
	shedWeight        = 0.1
	serviceShedWeight = 0.02
	// maxShedScore is the score of a server that sheds everything while the others shed
	// nothing, in nominal service times.
	maxShedScore = 3
)

// updateShed records whether a request was shed, as 1 or 0.
func (b *Balancer) updateShed(be *backend, shed float64) {
	be.shedShare.updateFromZero(shed, shedWeight)
	b.shedShare.updateFromZero(shed, serviceShedWeight)
}

// updateFromZero is like update, for an average that starts at zero instead of at its
// first sample.
func (e *ewma) updateFromZero(sample, weight float64) {
	// An average of zero counts as having no samples, so it starts at a tiny value.
	const epsilon = 1e-9
	if e.value() == 0 {
		e.update(epsilon, 1)
	}
	e.update(sample, weight)
}

// shedScore returns what the server's shed requests add to its score.
func (be *backend) shedScore(p *pickParams) float64 {
	return maxShedScore * max(0, be.shedShare.value()-p.shedShare)
}
