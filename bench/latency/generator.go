package main

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyNs is the highest latency that the histogram records, in nanoseconds.
	maxLatencyNs = int64(30 * time.Second)
	// latencyDigits is the number of significant digits that the histogram records.
	latencyDigits = 3
)

// load is the load that a generator sends.
type load struct {
	callers int
	// rate is the calls per second of all callers together; zero sends without pause.
	rate   float64
	length time.Duration
}

// result holds the measured latencies and failures.
type result struct {
	latencies *hdrhistogram.Histogram
	failed    int64
	elapsed   time.Duration
}

func (r result) ms(quantile float64) float64 {
	return float64(r.latencies.ValueAtQuantile(quantile)) / float64(time.Millisecond)
}

func (r result) rate() float64 { return float64(r.latencies.TotalCount()) / r.elapsed.Seconds() }

// generator calls a set of addresses over keep-alive connections.
type generator struct {
	addresses []string
	host      string
	client    *http.Client
}

func newGenerator(addresses []string, host string) *generator {
	transport := &http.Transport{MaxIdleConnsPerHost: saturationCallers, DisableCompression: true}
	return &generator{addresses: addresses, host: host, client: &http.Client{Transport: transport}}
}

// run sends the load and returns when all callers have finished.
func (g *generator) run(l load) result {
	results := make([]result, l.callers)
	var group sync.WaitGroup
	start := time.Now()
	for i := range l.callers {
		group.Go(func() { results[i] = g.runCaller(i, l, start) })
	}
	group.Wait()
	sum := newResult()
	sum.elapsed = time.Since(start)
	for _, r := range results {
		sum.latencies.Merge(r.latencies)
		sum.failed += r.failed
	}
	return sum
}

func newResult() result {
	return result{latencies: hdrhistogram.New(1, maxLatencyNs, latencyDigits)}
}

// runCaller sends one caller's part of the load, evenly spaced. The latency of a call
// that starts late, because the call before took long, counts from when it was due.
func (g *generator) runCaller(index int, l load, start time.Time) result {
	r := newResult()
	interval := time.Duration(0)
	if l.rate > 0 {
		interval = time.Duration(float64(l.callers) / l.rate * float64(time.Second))
	}
	due := start.Add(interval * time.Duration(index) / time.Duration(l.callers))
	for i := index; time.Since(start) < l.length; i++ {
		from := waitUntil(due, interval)
		if !g.call(g.addresses[i%len(g.addresses)]) {
			r.failed++
		}
		// A latency beyond the range of the histogram is recorded as the highest.
		_ = r.latencies.RecordValue(min(int64(time.Since(from)), maxLatencyNs))
		due = due.Add(interval)
	}
	return r
}

// waitUntil waits for the time due and returns the time from which the latency counts.
func waitUntil(due time.Time, interval time.Duration) time.Time {
	if interval == 0 {
		return time.Now()
	}
	wait := time.Until(due)
	if wait <= 0 {
		return due
	}
	time.Sleep(wait)
	return time.Now()
}

// call sends one lookup and reads the complete response.
func (g *generator) call(address string) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/jars", nil)
	if err != nil {
		return false
	}
	request.Host = g.host
	response, err := g.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
