package main

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyNs is the longest latency that is told apart, in nanoseconds.
	maxLatencyNs = int64(30 * time.Second)
	// latencyDigits is the number of significant digits that are kept.
	latencyDigits = 3
)

// load is what a generator sends.
type load struct {
	callers int
	// rate is calls a second over all callers; zero sends without pause.
	rate   float64
	length time.Duration
}

// result is what came back.
type result struct {
	latencies *hdrhistogram.Histogram
	failed    int64
	elapsed   time.Duration
}

func (r result) ms(quantile float64) float64 {
	return float64(r.latencies.ValueAtQuantile(quantile)) / float64(time.Millisecond)
}

func (r result) rate() float64 { return float64(r.latencies.TotalCount()) / r.elapsed.Seconds() }

// generator calls a set of addresses over kept connections.
type generator struct {
	addresses []string
	host      string
	client    *http.Client
}

func newGenerator(addresses []string, host string) *generator {
	transport := &http.Transport{MaxIdleConnsPerHost: reachCallers, DisableCompression: true}
	return &generator{addresses: addresses, host: host, client: &http.Client{Transport: transport}}
}

// run sends the load and returns when all callers have ended.
func (g *generator) run(l load) result {
	results := make([]result, l.callers)
	var group sync.WaitGroup
	start := time.Now()
	for i := range l.callers {
		group.Go(func() { results[i] = g.caller(i, l, start) })
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

// caller sends its part of the load, evenly spaced. A call that starts late
// because the one before took long counts from when it was due.
func (g *generator) caller(number int, l load, start time.Time) result {
	r := newResult()
	interval := time.Duration(0)
	if l.rate > 0 {
		interval = time.Duration(float64(l.callers) / l.rate * float64(time.Second))
	}
	due := start.Add(interval * time.Duration(number) / time.Duration(l.callers))
	for i := number; time.Since(start) < l.length; i++ {
		from := waitUntil(due, interval)
		if !g.call(g.addresses[i%len(g.addresses)]) {
			r.failed++
		}
		// A latency beyond the range of the histogram counts as the longest.
		_ = r.latencies.RecordValue(min(int64(time.Since(from)), maxLatencyNs))
		due = due.Add(interval)
	}
	return r
}

// waitUntil waits for the time due and returns from when the call counts.
func waitUntil(due time.Time, interval time.Duration) time.Time {
	if interval == 0 {
		return time.Now()
	}
	late := time.Until(due)
	if late <= 0 {
		return due
	}
	time.Sleep(late)
	return time.Now()
}

// call makes one lookup and reads the whole answer.
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
