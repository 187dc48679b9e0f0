package simulator

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms, in microseconds.
const (
	minLatency    = 1
	maxLatency    = 60_000_000
	latencyDigits = 3
)

// Phase is a part of the measured time.
type Phase int

// Phases of a run with a flood; a run without one is all Before.
const (
	Before Phase = iota
	During
	After
	phaseCount
)

// RankFigures holds the counts and latencies of one rank in one phase. Calls are
// counted in the phase in which they arrived.
type RankFigures struct {
	Offered, Served, Failed, Refused int64
	// WithinTarget counts the served calls within their rank's latency target.
	WithinTarget int64
	// ServedInPhase counts the calls served during the phase, whenever they arrived.
	ServedInPhase int64
	// Reasons counts the refused calls by reason.
	Reasons map[outcome.Reason]int64
	latency *hdrhistogram.Histogram
}

func newRankFigures() *RankFigures {
	return &RankFigures{
		Reasons: make(map[outcome.Reason]int64),
		latency: hdrhistogram.New(minLatency, maxLatency, latencyDigits),
	}
}

// Quantile returns the latency in milliseconds within which q percent of the calls
// were served.
func (f *RankFigures) Quantile(q float64) float64 {
	return float64(f.latency.ValueAtQuantile(q)) / 1000
}

// Result holds the figures of one run.
type Result struct {
	// Ranks holds the figures by phase and rank.
	Ranks [phaseCount]map[string]*RankFigures
	// Retries, Hedges and Probes count extra work in the measured time.
	Retries, Hedges, Probes int64
	// Bytes counts the traffic of load measurement, which is load reports and probes,
	// in the measured time.
	Bytes int64

	// Connections counts the connections of all entries.
	Connections ConnectionFigures
	// Servers holds the attempts sent to each server in the measured time.
	Servers map[string]int64
	// Zones holds the attempts by the zones of their entries and servers, in each second of
	// the measured time.
	Zones []map[ZonePair]int64

	scenario *Scenario
	recovery recovery
}

func newResult(s *Scenario) *Result {
	r := &Result{scenario: s, Servers: make(map[string]int64)}
	for p := range r.Ranks {
		r.Ranks[p] = make(map[string]*RankFigures)
		for _, rank := range []string{Payments, Lookups, Uploads} {
			r.Ranks[p][rank] = newRankFigures()
		}
	}
	return r
}

// figuresFor returns the figures that count the call, nil if it arrived in the warm-up.
func (r *Result) figuresFor(c *call) *RankFigures {
	at := c.arrived - r.scenario.WarmUp
	if at < 0 {
		return nil
	}
	return r.Ranks[r.phaseAt(at)][c.rank]
}

func (r *Result) phaseAt(at time.Duration) Phase {
	f := r.scenario.Flood
	switch {
	case f.Rank == "" || at < f.From:
		return Before
	case at < f.Until:
		return During
	default:
		return After
	}
}

func (r *Result) offered(c *call) {
	if f := r.figuresFor(c); f != nil {
		f.Offered++
	}
}

func (r *Result) finished(c *call, kind balancer.ResultKind) {
	f := r.figuresFor(c)
	if f == nil {
		return
	}
	if kind != balancer.OK {
		f.Failed++
		return
	}
	f.Served++
	latency := c.entry.run.clock.now - c.arrived
	if rank, ok := c.entry.run.service.Rank(c.rank); ok && latency <= rank.Target {
		f.WithinTarget++
	}
	_ = f.latency.RecordValue(max(latency.Microseconds(), minLatency))
	r.recovery.add(r, c, latency)
	if current := r.currentFigures(c); current != nil {
		current.ServedInPhase++
	}
}

// currentFigures returns the figures of the call's rank in the current phase, nil
// after the measured time.
func (r *Result) currentFigures(c *call) *RankFigures {
	at := c.entry.run.clock.now - r.scenario.WarmUp
	if at >= r.scenario.Length {
		return nil
	}
	return r.Ranks[r.phaseAt(at)][c.rank]
}

func (r *Result) refused(c *call, refusal *outcome.Refusal) {
	f := r.figuresFor(c)
	if f == nil {
		return
	}
	f.Refused++
	f.Reasons[refusal.Reason]++
}

// Total sums the figures of a rank over the phases.
func (r *Result) Total(rank string) *RankFigures {
	sum := newRankFigures()
	for p := range r.Ranks {
		f := r.Ranks[p][rank]
		sum.Offered += f.Offered
		sum.Served += f.Served
		sum.WithinTarget += f.WithinTarget
		sum.Failed += f.Failed
		sum.Refused += f.Refused
		sum.latency.Merge(f.latency)
		for reason, n := range f.Reasons {
			sum.Reasons[reason] += n
		}
	}
	return sum
}
