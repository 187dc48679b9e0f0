package main

import (
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	// appendPause is the pause between two measured appends.
	appendPause = 150 * time.Millisecond
	// changeInterval is the time between two changes at 3,300 changes per day.
	changeInterval = 24 * time.Hour / 3300
)

// resultRow is one row of the table. Fields of the other measure are zero.
type resultRow struct {
	Nodes   int    `json:"nodes"`
	Measure string `json:"measure"`
	// MedianMs and WorstMs are the times until the last entry has applied a change.
	MedianMs float64 `json:"median_ms,omitempty"`
	WorstMs  float64 `json:"worst_ms,omitempty"`
	Appends  int     `json:"appends,omitempty"`
	// Bytes per second of one entry, mean over the entries.
	PeerSent         float64 `json:"peer_sent_bytes_per_s,omitempty"`
	PeerReceived     float64 `json:"peer_received_bytes_per_s,omitempty"`
	PlatformSent     float64 `json:"platform_sent_bytes_per_s,omitempty"`
	PlatformReceived float64 `json:"platform_received_bytes_per_s,omitempty"`
	// CPUPercent and MaxCPUPercent are the mean and the highest CPU use of an entry, as
	// percentages of one core.
	CPUPercent    float64 `json:"cpu_percent,omitempty"`
	MaxCPUPercent float64 `json:"max_cpu_percent,omitempty"`
	// MaxResidentMB is the highest resident memory of an entry.
	MaxResidentMB float64 `json:"max_resident_mb,omitempty"`
	Seconds       int     `json:"seconds,omitempty"`
	Servers       int     `json:"servers,omitempty"`
}

// cluster is the set of entry processes of one run.
type cluster interface {
	url() string
	count() int
	// partitionHalf disconnects every second entry from the platform.
	partitionHalf()
	// awaitApplied returns the time at which the last entry applied the offset.
	awaitApplied(offset int64) (time.Time, error)
	stop()
}

// measureLatency publishes changes and measures for each the time until the last entry
// has applied it.
func measureLatency(name string, appends int, p *publisher, c cluster) (resultRow, error) {
	var times []time.Duration
	for range appends {
		start := time.Now()
		offset, err := p.publishChange()
		if err != nil {
			return resultRow{}, err
		}
		last, err := c.awaitApplied(offset)
		if err != nil {
			return resultRow{}, err
		}
		times = append(times, last.Sub(start))
		time.Sleep(appendPause)
	}
	slices.Sort(times)
	return resultRow{
		Nodes:    c.count(),
		Measure:  name,
		MedianMs: milliseconds(times[len(times)/2]),
		WorstMs:  milliseconds(times[len(times)-1]),
		Appends:  len(times),
	}, nil
}

// measureCost measures the resource use of the entries while changes are published at
// the target rate.
func (f *nodeFleet) measureCost(p *publisher) (resultRow, error) {
	before, err := f.usages()
	if err != nil {
		return resultRow{}, err
	}
	start := time.Now()
	length := time.Duration(f.opts.seconds) * time.Second
	for time.Since(start) < length {
		if _, err := p.publishChange(); err != nil {
			return resultRow{}, err
		}
		time.Sleep(min(changeInterval, length-time.Since(start)))
	}
	after, err := f.usages()
	if err != nil {
		return resultRow{}, err
	}
	return f.costRow(before, after, time.Since(start)), nil
}

// awaitApplied implements cluster.
func (f *nodeFleet) awaitApplied(offset int64) (time.Time, error) {
	var last int64
	for _, c := range f.children {
		m, err := c.await(appliedTimeout, func(m message) bool {
			return m.Applied != nil && m.Applied.Offset >= offset
		})
		if err != nil {
			return time.Time{}, fmt.Errorf("%s: %w", c.vm.Name, err)
		}
		last = max(last, m.Applied.UnixNanos)
	}
	return time.Unix(0, last), nil
}

func (f *nodeFleet) usages() ([]*usage, error) {
	var out []*usage
	for _, c := range f.children {
		u, err := c.usage()
		if err != nil {
			return nil, err
		}
		out = append(out, u)
	}
	return out, nil
}

func (f *nodeFleet) costRow(before, after []*usage, length time.Duration) resultRow {
	seconds, n := length.Seconds(), float64(len(before))
	r := resultRow{Nodes: len(before), Measure: "cost", Seconds: int(seconds), Servers: f.opts.servers}
	for i, first := range before {
		last := after[i]
		cpu := 100 * float64(last.CPUMicros-first.CPUMicros) / 1e6 / seconds
		r.CPUPercent += cpu / n
		r.MaxCPUPercent = max(r.MaxCPUPercent, cpu)
		r.PeerSent += float64(last.PeerSent-first.PeerSent) / seconds / n
		r.PeerReceived += float64(last.PeerReceived-first.PeerReceived) / seconds / n
		r.PlatformSent += float64(last.PlatformSent-first.PlatformSent) / seconds / n
		r.PlatformReceived += float64(last.PlatformReceived-first.PlatformReceived) / seconds / n
		r.MaxResidentMB = max(r.MaxResidentMB, float64(last.MaxResidentKB)/1024)
	}
	return r
}

func printRows(w io.Writer, rows []resultRow) error {
	for _, r := range rows {
		if r.Appends > 0 {
			fmt.Fprintf(w, "%3d entries, %-18s in force on all: median %.1f ms, worst of %d %.1f ms\n",
				r.Nodes, r.Measure+",", r.MedianMs, r.Appends, r.WorstMs)
			continue
		}
		fmt.Fprintf(w, "%3d entries, %d servers, %d s: peers %.0f B/s sent, %.0f received; "+
			"platform %.0f sent, %.0f received; CPU %.2f%% of a core (most %.2f%%); resident %.0f MB\n",
			r.Nodes, r.Servers, r.Seconds, r.PeerSent, r.PeerReceived,
			r.PlatformSent, r.PlatformReceived, r.CPUPercent, r.MaxCPUPercent, r.MaxResidentMB)
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
