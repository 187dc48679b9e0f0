package simulator

import (
	"slices"
	"time"
)

const (
	// recoveryBin is the length of time over which a tail is taken.
	recoveryBin = 250 * time.Millisecond
	// recoveredTail is the tail, in tails before the flood, that counts as recovered.
	recoveredTail = 1.5
	// binQuantile is the quantile of a bin, as a share.
	binQuantile = 0.95
)

// recovery keeps the latencies of the calls that arrive after a flood.
type recovery struct {
	bins map[string][][]time.Duration // by rank, then bin
}

func (v *recovery) add(r *Result, c *call, latency time.Duration) {
	f := r.scenario.Flood
	since := c.arrived - r.scenario.WarmUp - f.Until
	if f.Rank == "" || since < 0 {
		return
	}
	if v.bins == nil {
		v.bins = make(map[string][][]time.Duration)
	}
	bin := int(since / recoveryBin)
	for len(v.bins[c.rank]) <= bin {
		v.bins[c.rank] = append(v.bins[c.rank], nil)
	}
	v.bins[c.rank][bin] = append(v.bins[c.rank][bin], latency)
}

// steadyBins is how many good bins in a row count as recovered.
const steadyBins = 4

// Recovery is how long after the end of the flood the 95th percentile of the
// rank falls to one and a half of what it was before, for a second at least. It
// is negative when it never does.
func (r *Result) Recovery(rank string) time.Duration {
	before := r.Ranks[Before][rank].Quantile(100 * binQuantile)
	limit := time.Duration(recoveredTail * before * float64(time.Millisecond))
	good := 0
	for i, bin := range r.recovery.bins[rank] {
		if tail(bin) > limit {
			good = 0
			continue
		}
		good++
		if good == steadyBins {
			return time.Duration(i+1-steadyBins) * recoveryBin
		}
	}
	return -1
}

// tail is the quantile of a bin, zero for an empty one.
func tail(bin []time.Duration) time.Duration {
	if len(bin) == 0 {
		return 0
	}
	slices.Sort(bin)
	return bin[int(binQuantile*float64(len(bin)))]
}
