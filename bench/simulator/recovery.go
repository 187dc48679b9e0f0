package simulator

import (
	"slices"
	"time"
)

const (
	// recoveryBinLength is the time over which a tail latency is computed.
	recoveryBinLength = 250 * time.Millisecond
	// recoveredFactor bounds the tail latency that counts as recovered, as a multiple
	// of the tail latency before the flood.
	recoveredFactor = 1.5
	// tailQuantile is the quantile that is taken as the tail latency, from 0 to 1.
	tailQuantile = 0.95
)

// recovery keeps the latencies of the calls that arrive after a flood.
type recovery struct {
	bins map[string][][]time.Duration // by rank, then bin
}

func (r *recovery) add(result *Result, c *call, latency time.Duration) {
	f := result.scenario.Flood
	since := c.arrived - result.scenario.WarmUp - f.Until
	if f.Rank == "" || since < 0 {
		return
	}
	if r.bins == nil {
		r.bins = make(map[string][][]time.Duration)
	}
	bin := int(since / recoveryBinLength)
	for len(r.bins[c.rank]) <= bin {
		r.bins[c.rank] = append(r.bins[c.rank], nil)
	}
	r.bins[c.rank][bin] = append(r.bins[c.rank][bin], latency)
}

// recoveredBins is how many consecutive good bins count as recovered.
const recoveredBins = 4

// Recovery returns how long after the end of the flood the rank's 95th percentile
// falls to at most 1.5 times its value before the flood and stays there for at least
// a second. It returns a negative value if that never happens.
func (r *Result) Recovery(rank string) time.Duration {
	before := r.Ranks[Before][rank].Quantile(100 * tailQuantile)
	limit := time.Duration(recoveredFactor * before * float64(time.Millisecond))
	goodBins := 0
	for i, bin := range r.recovery.bins[rank] {
		if tail(bin) > limit {
			goodBins = 0
			continue
		}
		goodBins++
		if goodBins == recoveredBins {
			return time.Duration(i+1-recoveredBins) * recoveryBinLength
		}
	}
	return -1
}

// tail returns the tail latency of a bin, zero for an empty one.
func tail(bin []time.Duration) time.Duration {
	if len(bin) == 0 {
		return 0
	}
	slices.Sort(bin)
	return bin[int(tailQuantile*float64(len(bin)))]
}
