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
	// entriesPath is where an entry tells which addresses to use.
	entriesPath = "/chestnut/v1/entries"
	// maxEntriesBytes bounds the address answer.
	maxEntriesBytes = 1 << 20
	// avoidTime is how long an entry that gave no answer is tried last.
	avoidTime = 5 * time.Second
	// resolveTimeout bounds one question for addresses.
	resolveTimeout = 2 * time.Second
)

// Entry is one address of the system, first choice first in an address answer.
type Entry struct {
	// Address is the IP number and port.
	Address string `json:"address"`
	// Zone is the entry's availability zone.
	Zone string `json:"zone"`
	// Ticket is the first part of operation ids that this entry runs.
	Ticket string `json:"ticket"`
}

// entriesAnswer is the body of the address answer.
type entriesAnswer struct {
	Entries []Entry `json:"entries"`
	TTLMs   int64   `json:"ttl_ms"`
}

// ResolveError means that none of the known addresses told which entries to use.
type ResolveError struct {
	// Tried are the addresses that were asked.
	Tried []string
	// Err is the last failure.
	Err error
}

// Error names the addresses and the last failure.
func (e *ResolveError) Error() string {
	return fmt.Sprintf("no entry of %v told which addresses to use: %v", e.Tried, e.Err)
}

// Unwrap returns the last failure.
func (e *ResolveError) Unwrap() error { return e.Err }

// resolver keeps the address answer for its time to live.
type resolver struct {
	client *http.Client
	seeds  []string
	zone   string
	caller string

	asking sync.Mutex // held while an entry is asked; taken before mu

	mu      sync.Mutex
	entries []Entry
	until   time.Time
	failed  map[string]time.Time // addresses that gave no answer, and until when they come last
}

// choices returns the entries in the order in which to try them: those that gave
// no answer lately come last.
func (r *resolver) choices(ctx context.Context) ([]Entry, error) {
	entries, err := r.list(ctx)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var good, bad []Entry
	for _, e := range entries {
		if time.Now().Before(r.failed[e.Address]) {
			bad = append(bad, e)
		} else {
			good = append(good, e)
		}
	}
	return append(good, bad...), nil
}

// avoid puts an address that gave no answer last for a while.
func (r *resolver) avoid(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(r.failed, func(_ string, until time.Time) bool { return now.After(until) })
	if r.failed == nil {
		r.failed = map[string]time.Time{}
	}
	r.failed[address] = now.Add(avoidTime)
	r.until = time.Time{}
}

// list returns the kept entries, or asks for them. While one call asks, and
// where nobody answers, the others go on with an expired answer.
func (r *resolver) list(ctx context.Context) ([]Entry, error) {
	known, fresh := r.kept()
	if fresh {
		return known, nil
	}
	if len(known) == 0 {
		r.asking.Lock()
	} else if !r.asking.TryLock() {
		return known, nil
	}
	defer r.asking.Unlock()
	if known, fresh = r.kept(); fresh {
		return known, nil
	}
	answer, err := r.ask(ctx, known)
	switch {
	case err == nil:
		r.keep(answer)
		return answer.Entries, nil
	case len(known) > 0:
		return known, nil
	default:
		return nil, err
	}
}

// kept returns the kept entries and whether their time to live lasts.
func (r *resolver) kept() (entries []Entry, fresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries, len(r.entries) > 0 && time.Now().Before(r.until)
}

func (r *resolver) keep(answer *entriesAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = answer.Entries
	r.until = time.Now().Add(time.Duration(answer.TTLMs) * time.Millisecond)
}

// expire makes the next call ask again, as an entry did not work.
func (r *resolver) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until = time.Time{}
}

// ask tries the entries known so far, then the seeds.
func (r *resolver) ask(ctx context.Context, known []Entry) (*entriesAnswer, error) {
	var addresses []string
	for _, e := range known {
		addresses = append(addresses, e.Address)
	}
	addresses = append(addresses, r.seeds...)
	var last error
	for _, address := range addresses {
		answer, err := r.askOne(ctx, address)
		if err == nil && len(answer.Entries) > 0 {
			return answer, nil
		}
		if err == nil {
			err = fmt.Errorf("%s knows no entry", address)
		}
		last = err
	}
	return nil, &ResolveError{Tried: addresses, Err: last}
}

func (r *resolver) askOne(ctx context.Context, address string) (*entriesAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	query := url.Values{"zone": {r.zone}, "caller": {r.caller}}
	target := "http://" + address + entriesPath + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answered %s", address, resp.Status)
	}
	var answer entriesAnswer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEntriesBytes)).Decode(&answer); err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return &answer, nil
}
