package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"sync"
	"time"
)

const (
	// entriesPath is the path under which an entry serves the endpoint list.
	entriesPath = "/chestnut/v1/entries"
	// maxEntriesBytes bounds the response with the endpoint list.
	maxEntriesBytes = 1 << 20
	// deprioritizeTime is how long an entry that did not respond is tried last.
	deprioritizeTime = 5 * time.Second
	// resolveTimeout bounds one request for the endpoint list.
	resolveTimeout = 2 * time.Second
)

// Entry is one process of the load balancer. An endpoint list is in order of preference.
type Entry struct {
	// Address is the IP address and port.
	Address string `json:"address"`
	// Zone is the entry's availability zone.
	Zone string `json:"zone"`
	// Ticket is the prefix of the ids of operations that this entry owns.
	Ticket string `json:"ticket"`
}

// endpointList is the body of the response with the endpoint list.
type endpointList struct {
	Entries []Entry `json:"entries"`
	TTLMs   int64   `json:"ttl_ms"`
}

// ResolveError means that none of the known addresses returned an endpoint list.
type ResolveError struct {
	// Tried are the addresses that were asked.
	Tried []string
	// Err is the last failure.
	Err error
}

// Error returns a message with the addresses and the last failure.
func (e *ResolveError) Error() string {
	return fmt.Sprintf("got no endpoint list from any of %v: %v", e.Tried, e.Err)
}

// Unwrap returns the last failure.
func (e *ResolveError) Unwrap() error { return e.Err }

// resolver caches the endpoint list for its time to live.
type resolver struct {
	client *http.Client
	seeds  []string
	zone   string
	caller string

	refreshMu sync.Mutex // held during a refresh; locked before mu

	mu          sync.Mutex
	entries     []Entry
	expires     time.Time
	failedUntil map[string]time.Time // addresses that did not respond, and until when they are tried last
}

// candidates returns the entries in the order in which to try them: those that
// failed recently come last.
func (r *resolver) candidates(ctx context.Context) ([]Entry, error) {
	entries, err := r.entryList(ctx)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var preferred, failed []Entry
	for _, e := range entries {
		if time.Now().Before(r.failedUntil[e.Address]) {
			failed = append(failed, e)
		} else {
			preferred = append(preferred, e)
		}
	}
	return append(preferred, failed...), nil
}

// deprioritize moves an address that did not respond to the end for deprioritizeTime,
// and expires the endpoint list.
func (r *resolver) deprioritize(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(r.failedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	if r.failedUntil == nil {
		r.failedUntil = map[string]time.Time{}
	}
	r.failedUntil[address] = now.Add(deprioritizeTime)
	r.expires = time.Time{}
}

// entryList returns the cached entries, or refreshes them once they have expired.
// An expired list is still used while another call refreshes it, and if no entry
// responds.
func (r *resolver) entryList(ctx context.Context) ([]Entry, error) {
	known, fresh := r.cached()
	if fresh {
		return known, nil
	}
	if len(known) == 0 {
		r.refreshMu.Lock()
	} else if !r.refreshMu.TryLock() {
		return known, nil
	}
	defer r.refreshMu.Unlock()
	if known, fresh = r.cached(); fresh {
		return known, nil
	}
	response, err := r.fetch(ctx, known)
	switch {
	case err == nil:
		r.store(response)
		return response.Entries, nil
	case len(known) > 0:
		return known, nil
	default:
		return nil, err
	}
}

// cached returns the cached entries and whether they are within their time to live.
func (r *resolver) cached() (entries []Entry, fresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries, len(r.entries) > 0 && time.Now().Before(r.expires)
}

func (r *resolver) store(response *endpointList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = response.Entries
	r.expires = time.Now().Add(time.Duration(response.TTLMs) * time.Millisecond)
}

// expire makes the next call refresh the endpoint list, because an entry refused,
// failed or closed its connection.
func (r *resolver) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expires = time.Time{}
}

// fetch requests the endpoint list from the known entries, then from the seeds.
func (r *resolver) fetch(ctx context.Context, known []Entry) (*endpointList, error) {
	var addresses []string
	for _, e := range known {
		addresses = append(addresses, e.Address)
	}
	addresses = append(addresses, r.seeds...)
	var last error
	for _, address := range addresses {
		response, err := r.fetchFrom(ctx, address)
		if err == nil && len(response.Entries) > 0 {
			return response, nil
		}
		if err == nil {
			err = fmt.Errorf("%s returned an empty endpoint list", address)
		}
		last = err
	}
	return nil, &ResolveError{Tried: addresses, Err: last}
}

func (r *resolver) fetchFrom(ctx context.Context, address string) (*endpointList, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	query := url.Values{"zone": {r.zone}, "caller": {r.caller}}
	endpoint := "http://" + address + entriesPath + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint, nil)
	if err != nil {
		return nil, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s responded with status %s", address, resp.Status)
	}
	var response endpointList
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEntriesBytes)).Decode(&response); err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return &response, nil
}
