package simulator

import (
	"math/rand/v2"
	"time"
)

// Slow episodes that noisy neighbours cause on a server.
const (
	slowFactor   = 5
	slowEvery    = 2 * time.Second
	slowShortest = 20 * time.Millisecond
	slowLongest  = 80 * time.Millisecond
)

// A neighbour that is drawn anew, see Faults.PeriodicSlowdown.
const (
	paceShare       = 0.25
	paceEvery       = 150 * time.Millisecond
	kneeShare       = 0.8
	kneeFactor      = 1.7
	lastingSlowdown = 12
)

// pace is how much longer work takes that begins at a time.
type pace struct {
	rng    *rand.Rand
	on     bool
	factor float64
	until  time.Duration
}

// newPace returns a pace that is drawn anew at a place of its own in each period.
func newPace(rng *rand.Rand, on bool) pace {
	return pace{rng: rng, on: on, factor: 1, until: time.Duration(rng.Int64N(int64(paceEvery)))}
}

// at is the factor at a time; times never go back.
func (p *pace) at(now time.Duration) float64 {
	if !p.on {
		return 1
	}
	for p.until <= now {
		p.factor = 1
		if p.rng.Float64() < paceShare {
			p.factor = slowFactor
		}
		p.until += paceEvery
	}
	return p.factor
}

// noise is the slow episodes of one server, made as they are needed.
type noise struct {
	rng      *rand.Rand
	off      bool
	from, to time.Duration // the current or next episode
}

// finish is when work that starts at a time ends. Starts never go back.
func (n *noise) finish(start, work time.Duration) time.Duration {
	if n.off {
		return start + work
	}
	for n.to <= start {
		n.advance()
	}
	ahead := *n
	return ahead.integrate(start, work)
}

func (n *noise) advance() {
	pause := time.Duration(n.rng.ExpFloat64() * float64(slowEvery))
	length := slowShortest + time.Duration(n.rng.Int64N(int64(slowLongest-slowShortest)))
	n.from = n.to + pause
	n.to = n.from + length
}

// integrate spends the work at full speed outside of the episode and slowly
// inside. Past the known episode it goes on at full speed.
func (n *noise) integrate(at, work time.Duration) time.Duration {
	if at < n.from {
		if at+work <= n.from {
			return at + work
		}
		work -= n.from - at
		at = n.from
	}
	slow := (n.to - at) / slowFactor
	if work <= slow {
		return at + work*slowFactor
	}
	return n.to + work - slow
}
