package main

import (
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	// appendPause is the mean time between two measured appends.
	appendPause = 150 * time.Millisecond
	// changeInterval is the time between two changes at 3,300 changes a day.
	changeInterval = 24 * time.Hour / 3300
)

// row is one line of the table. Fields of the other measure are zero.
type row struct {
	Nodes   int    `json:"nodes"`
	Measure string `json:"measure"`
	// MedianMs and WorstMs are the times until the last entry has a change in force.
	MedianMs float64 `json:"median_ms,omitempty"`
	WorstMs  float64 `json:"worst_ms,omitempty"`
	Appends  int     `json:"appends,omitempty"`
	// Bytes a second of one entry, mean over the entries.
	PeerSent         float64 `json:"peer_sent_bytes_per_s,omitempty"`
	PeerReceived     float64 `json:"peer_received_bytes_per_s,omitempty"`
	PlatformSent     float64 `json:"platform_sent_bytes_per_s,omitempty"`
	PlatformReceived float64 `json:"platform_received_bytes_per_s,omitempty"`
	// CPUPercent is of one core, for one entry, mean and highest.
	CPUPercent    float64 `json:"cpu_percent,omitempty"`
	MaxCPUPercent float64 `json:"max_cpu_percent,omitempty"`
	// MaxResidentMB is the highest resident memory of an entry.
	MaxResidentMB float64 `json:"max_resident_mb,omitempty"`
	Seconds       int     `json:"seconds,omitempty"`
	Servers       int     `json:"servers,omitempty"`
}

// entries are the entry processes of one run.
type entries interface {
	url() string
	count() int
	// cutHalf cuts every second entry off the platform.
	cutHalf()
	// awaitApplied returns when the last entry had the offset in force.
	awaitApplied(offset int64) (time.Time, error)
	stop()
}

// measureLatency publishes changes and takes the time until the last entry has
// each in force.
func measureLatency(name string, appends int, o *operator, e entries) (row, error) {
	var times []time.Duration
	for range appends {
		start := time.Now()
		offset, err := o.change()
		if err != nil {
			return row{}, err
		}
		last, err := e.awaitApplied(offset)
		if err != nil {
			return row{}, err
		}
		times = append(times, last.Sub(start))
		time.Sleep(appendPause)
	}
	slices.Sort(times)
	return row{
		Nodes:    e.count(),
		Measure:  name,
		MedianMs: milliseconds(times[len(times)/2]),
		WorstMs:  milliseconds(times[len(times)-1]),
		Appends:  len(times),
	}, nil
}

// measureCost takes what the entries use while changes come at the target rate.
func (f *nodeFleet) measureCost(o *operator) (row, error) {
	before, err := f.usages()
	if err != nil {
		return row{}, err
	}
	start := time.Now()
	length := time.Duration(f.opts.seconds) * time.Second
	for time.Since(start) < length {
		if _, err := o.change(); err != nil {
			return row{}, err
		}
		time.Sleep(min(changeInterval, length-time.Since(start)))
	}
	after, err := f.usages()
	if err != nil {
		return row{}, err
	}
	return f.costRow(before, after, time.Since(start)), nil
}

// awaitApplied implements entries.
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

func (f *nodeFleet) costRow(before, after []*usage, length time.Duration) row {
	seconds, n := length.Seconds(), float64(len(before))
	r := row{Nodes: len(before), Measure: "cost", Seconds: int(seconds), Servers: f.opts.servers}
	for i, x := range before {
		y := after[i]
		cpu := 100 * float64(y.CPUMicros-x.CPUMicros) / 1e6 / seconds
		r.CPUPercent += cpu / n
		r.MaxCPUPercent = max(r.MaxCPUPercent, cpu)
		r.PeerSent += float64(y.PeerSent-x.PeerSent) / seconds / n
		r.PeerReceived += float64(y.PeerReceived-x.PeerReceived) / seconds / n
		r.PlatformSent += float64(y.PlatformSent-x.PlatformSent) / seconds / n
		r.PlatformReceived += float64(y.PlatformReceived-x.PlatformReceived) / seconds / n
		r.MaxResidentMB = max(r.MaxResidentMB, float64(y.MaxResidentKB)/1024)
	}
	return r
}

func printRows(w io.Writer, rows []row) error {
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
