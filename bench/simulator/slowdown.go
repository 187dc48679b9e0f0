package simulator

import (
	"math/rand/v2"
	"time"
)

// Random slow episodes that noisy neighbours cause on a server.
const (
	slowdownFactor   = 5
	meanSlowInterval = 2 * time.Second
	minSlowLength    = 20 * time.Millisecond
	maxSlowLength    = 80 * time.Millisecond
)

// Parameters of Faults.PeriodicSlowdown and Faults.SlowShare.
const (
	slowPeriodShare  = 0.25
	episodeShare     = 0.3 // of the time, of Faults.EpisodicSlowdown
	slowdownPeriod   = 150 * time.Millisecond
	kneeShare        = 0.8
	kneeFactor       = 1.7
	slowServerFactor = 12
)

// periodicSlowdown is the slowdown factor of a server, redrawn in each period. A
// request keeps the factor at which it starts.
type periodicSlowdown struct {
	rng     *rand.Rand
	enabled bool
	// episodic slowdowns begin at any moment instead of at a fixed phase.
	episodic bool
	factor   float64
	until    time.Duration
}

// newPeriodicSlowdown returns a slowdown that changes at a random phase of the period.
func newPeriodicSlowdown(rng *rand.Rand, enabled bool) periodicSlowdown {
	return periodicSlowdown{rng: rng, enabled: enabled, factor: 1, until: time.Duration(rng.Int64N(int64(slowdownPeriod)))}
}

// factorAt returns the factor at a time. Times must not decrease between calls.
func (p *periodicSlowdown) factorAt(now time.Duration) float64 {
	if !p.enabled {
		return 1
	}
	for p.episodic && p.until <= now {
		p.factor = slowdownFactor + 1 - p.factor // alternates between slowed and full speed
		length := slowdownPeriod
		if p.factor == 1 {
			length = time.Duration(p.rng.ExpFloat64() * float64(slowdownPeriod) * (1 - episodeShare) / episodeShare)
		}
		p.until += length
	}
	for p.until <= now {
		p.factor = 1
		if p.rng.Float64() < slowPeriodShare {
			p.factor = slowdownFactor
		}
		p.until += slowdownPeriod
	}
	return p.factor
}

// randomSlowdown generates the slow episodes of one server on demand.
type randomSlowdown struct {
	rng                      *rand.Rand
	disabled                 bool
	episodeStart, episodeEnd time.Duration // the current or next episode
}

// completionTime returns when work that starts at a time completes. Start times must
// not decrease between calls.
func (r *randomSlowdown) completionTime(start, work time.Duration) time.Duration {
	if r.disabled {
		return start + work
	}
	for r.episodeEnd <= start {
		r.nextEpisode()
	}
	lookahead := *r
	return lookahead.integrate(start, work)
}

func (r *randomSlowdown) nextEpisode() {
	gap := time.Duration(r.rng.ExpFloat64() * float64(meanSlowInterval))
	length := minSlowLength + time.Duration(r.rng.Int64N(int64(maxSlowLength-minSlowLength)))
	r.episodeStart = r.episodeEnd + gap
	r.episodeEnd = r.episodeStart + length
}

// integrate returns when work that starts at a time completes, at full speed outside
// the episode and slowed inside it. After the known episode it assumes full speed.
func (r *randomSlowdown) integrate(at, work time.Duration) time.Duration {
	if at < r.episodeStart {
		if at+work <= r.episodeStart {
			return at + work
		}
		work -= r.episodeStart - at
		at = r.episodeStart
	}
	doneInEpisode := (r.episodeEnd - at) / slowdownFactor
	if work <= doneInEpisode {
		return at + work*slowdownFactor
	}
	return r.episodeEnd + work - doneInEpisode
}
