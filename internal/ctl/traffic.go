package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/traffic"
)

// maxTrafficBytes is the maximum size of one entry's traffic report.
const maxTrafficBytes = 8 << 20

// TrafficOptions select what Traffic shows.
type TrafficOptions struct {
	// Addresses are the metrics addresses of the entries to ask.
	Addresses []string
	// Host, Method and Path select a route; an empty host selects all services.
	Host, Method, Path string
}

// TrafficServer sums what the entries report of one backend server.
type TrafficServer struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Sent is the number of requests that the entries have sent to it, Share its part of
	// those of the service, InFlight how many are in progress.
	Sent     uint64  `json:"sent"`
	Share    float64 `json:"share"`
	InFlight int     `json:"in_flight"`
	// SlowdownPercent is the highest one reported.
	SlowdownPercent int `json:"slowdown_percent,omitempty"`
	// States counts the entries by how they see the server.
	States map[balancer.ServerState]int `json:"states"`
}

// TrafficEntry is one entry that was asked.
type TrafficEntry struct {
	VM       string `json:"vm,omitempty"`
	Address  string `json:"address"`
	Revision int64  `json:"revision,omitempty"`
	// Error is the reason why the report could not be read.
	Error string `json:"error,omitempty"`
}

// TrafficResult is the result of Traffic.
type TrafficResult struct {
	Entries []TrafficEntry `json:"entries"`
	// Route and Rank are those of the selected route, empty for all services.
	Route string `json:"route,omitempty"`
	Rank  string `json:"rank,omitempty"`
	// Weights are the services that take the route's requests.
	Weights map[string]int  `json:"weights"`
	Servers []TrafficServer `json:"servers"`
}

// Traffic asks entries where they send the requests of a route and sums what they report.
// It returns the result of those that answered and an *UnknownError if others did not.
func Traffic(ctx context.Context, options TrafficOptions) (*TrafficResult, error) {
	reports := make([]*traffic.Report, len(options.Addresses))
	result := &TrafficResult{Weights: map[string]int{}, Entries: make([]TrafficEntry, len(options.Addresses))}
	var wg sync.WaitGroup
	for i, address := range options.Addresses {
		wg.Go(func() {
			report, err := fetchTraffic(ctx, address, options)
			result.Entries[i] = TrafficEntry{Address: address}
			if err != nil {
				result.Entries[i].Error = err.Error()
				return
			}
			reports[i] = report
			result.Entries[i].VM, result.Entries[i].Revision = report.VM, report.Revision
		})
	}
	wg.Wait()
	failed := 0
	for _, report := range reports {
		if report == nil {
			failed++
			continue
		}
		result.add(report)
	}
	result.finish()
	if failed > 0 {
		return result, &UnknownError{Detail: fmt.Sprintf("%d of %d entries gave no traffic report", failed, len(reports))}
	}
	return result, nil
}

func fetchTraffic(ctx context.Context, address string, options TrafficOptions) (*traffic.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	query := url.Values{}
	if options.Host != "" {
		query.Set("host", options.Host)
		query.Set("path", options.Path)
		query.Set("method", cmp.Or(options.Method, http.MethodGet))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+traffic.Path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxTrafficBytes)
	if resp.StatusCode != http.StatusOK {
		var failure struct {
			Error string `json:"error"`
		}
		if err := json.NewDecoder(body).Decode(&failure); err != nil || failure.Error == "" {
			return nil, fmt.Errorf("traffic page answered %s", resp.Status)
		}
		return nil, fmt.Errorf("%s: %s", resp.Status, failure.Error)
	}
	report := &traffic.Report{}
	if err := json.NewDecoder(body).Decode(report); err != nil {
		return nil, fmt.Errorf("malformed traffic report: %w", err)
	}
	return report, nil
}

// add adds the report of one entry.
func (r *TrafficResult) add(report *traffic.Report) {
	r.Route, r.Rank = cmp.Or(r.Route, report.Route), cmp.Or(r.Rank, report.Rank)
	for _, s := range report.Services {
		r.Weights[s.Service] = s.Weight
		for _, status := range s.Servers {
			sum := r.server(s.Service, status)
			sum.Sent += status.Sent
			sum.InFlight += status.InFlight
			sum.SlowdownPercent = max(sum.SlowdownPercent, status.SlowdownPercent)
			sum.States[status.State]++
		}
	}
}

// server returns the sum for a server, a new one if the server is not known yet.
func (r *TrafficResult) server(service string, status balancer.ServerStatus) *TrafficServer {
	i := slices.IndexFunc(r.Servers, func(s TrafficServer) bool { return s.Service == service && s.Server == status.Server })
	if i < 0 {
		i = len(r.Servers)
		r.Servers = append(r.Servers, TrafficServer{
			Service: service, Server: status.Server, Address: status.Address, Zone: status.Zone,
			States: map[balancer.ServerState]int{},
		})
	}
	return &r.Servers[i]
}

// finish computes the shares and sorts the servers by service and by what they were sent.
func (r *TrafficResult) finish() {
	total := map[string]uint64{}
	for _, s := range r.Servers {
		total[s.Service] += s.Sent
	}
	for i := range r.Servers {
		if n := total[r.Servers[i].Service]; n > 0 {
			r.Servers[i].Share = float64(r.Servers[i].Sent) / float64(n)
		}
	}
	slices.SortFunc(r.Servers, func(a, b TrafficServer) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.Sent, a.Sent), cmp.Compare(a.Server, b.Server))
	})
}

func (r *TrafficResult) text() []string {
	var lines []string
	for _, e := range r.Entries {
		if e.Error != "" {
			lines = append(lines, fmt.Sprintf("entry %s: %s", e.Address, e.Error))
			continue
		}
		lines = append(lines, fmt.Sprintf("entry %s %s: revision %d", e.VM, e.Address, e.Revision))
	}
	if r.Route != "" {
		lines = append(lines, fmt.Sprintf("route %s: rank %s", r.Route, r.Rank))
	}
	for _, s := range r.Servers {
		line := fmt.Sprintf("%s weight %d: %s %s %s: sent %d (%.1f%%), in flight %d, %s",
			s.Service, r.Weights[s.Service], s.Server, s.Address, s.Zone, s.Sent, 100*s.Share, s.InFlight, stateText(s.States))
		if s.SlowdownPercent > 0 {
			line += fmt.Sprintf(", slowdown %d%%", s.SlowdownPercent)
		}
		lines = append(lines, line)
	}
	return lines
}

// stateText returns the states with the number of entries that see the server so.
func stateText(states map[balancer.ServerState]int) string {
	var parts []string
	for state, n := range states {
		parts = append(parts, fmt.Sprintf("%s at %d", state, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
