package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"

	"chestnutrouter.example/chestnutrouter/caller"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// addressTTLMs is longer than a measurement, so that addresses are requested once.
const addressTTLMs = 600_000

func callerMeasurements() []measurement {
	sizes := []int{3, 24, 61}
	return []measurement{
		{
			name: "processor time of a call through the caller library, over a plain client's", unit: "us/entry", sizes: sizes,
			value: callerCPU,
		},
		{
			name: "heap of a caller's client that keeps its addresses", unit: "B/entry", sizes: sizes,
			value: callerHeap,
		},
	}
}

// endpointList is an endpoint list that contains one server several times. It has
// the length of a real response.
type endpointList struct {
	Entries []caller.Entry `json:"entries"`
	TTLMs   int64          `json:"ttl_ms"`
}

// newEntryStandin serves calls, and endpoint lists of that many entries.
func newEntryStandin(entries int) *httptest.Server {
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	response := endpointList{TTLMs: addressTTLMs}
	for i := range entries {
		response.Entries = append(response.Entries, caller.Entry{
			Address: server.Listener.Addr().String(),
			Zone:    fmt.Sprintf("zone-%d", i%8),
			Ticket:  fmt.Sprintf("%024x:0", i),
		})
	}
	mux.HandleFunc(wire.PathEntries, func(w http.ResponseWriter, _ *http.Request) {
		// The client reports a response that does not arrive.
		_ = json.NewEncoder(w).Encode(response)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderOutcome, string(outcome.Ran))
	})
	return server
}

func newCallerClient(server *httptest.Server) *caller.Client {
	return caller.New(caller.Options{Seeds: []string{server.Listener.Addr().String()}, Caller: "bench"})
}

// callerCPU returns the CPU time that the library adds to a call.
func callerCPU(entries int) (float64, error) {
	server := newEntryStandin(entries)
	defer server.Close()
	client := newCallerClient(server)
	defer client.Close()
	var failed error
	through := cpuOf(func() { failed = callOnce(server.URL, client.Do) })
	if failed != nil {
		return 0, failed
	}
	plain := cpuOf(func() { failed = callOnce(server.URL, server.Client().Do) })
	return through - plain, failed
}

func callOnce(url string, do func(*http.Request) (*http.Response, error)) error {
	req, err := http.NewRequest(http.MethodGet, url+"/kits", nil)
	if err != nil {
		return err
	}
	resp, err := do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// callerHeap returns the heap of a client after a call, its connection included.
func callerHeap(entries int) (float64, error) {
	server := newEntryStandin(entries)
	defer server.Close()
	// This call makes the stand-in allocate its memory of a connection before the
	// measurement.
	if err := callOnce(server.URL, server.Client().Do); err != nil {
		return 0, err
	}
	const clients = 20
	var created []*caller.Client
	var failed error
	bytes := heapOf(func() any {
		for range clients {
			c := newCallerClient(server)
			if err := callOnce(server.URL, c.Do); err != nil {
				failed = err
			}
			created = append(created, c)
		}
		return created
	})
	for _, c := range created {
		c.Close()
	}
	return bytes / clients, failed
}
