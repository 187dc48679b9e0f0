package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

const (
	// statusTimeout bounds one request to an entry's status page.
	statusTimeout = 2 * time.Second
	// maxStatusBytes is the maximum size of a status response.
	maxStatusBytes = 1 << 20
	// statusPath is where an entry serves its status.
	statusPath = "/status"
)

// EntryStatus is the status that one entry reports.
type EntryStatus struct {
	VM          string `json:"vm"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation,omitempty"`
	// Offset is the highest offset that the entry has applied, or -1 if it is not
	// known.
	Offset   int64  `json:"offset"`
	Revision int64  `json:"revision"`
	Hash     string `json:"hash,omitempty"`
	Draining bool   `json:"draining,omitempty"`
	// InFlight is the number of caller requests in progress.
	InFlight int64 `json:"in_flight"`
	// Seats are the shares of the global limits that the entry holds.
	Seats []int `json:"seats,omitempty"`
	// Error is the reason why the status could not be read.
	Error string `json:"error,omitempty"`
}

// StatusResult is the result of Status.
type StatusResult struct {
	Entries []EntryStatus `json:"entries"`
}

func (r *StatusResult) text() []string { return entryText(r.Entries) }

// Status returns the status of the entry at the address, or of all live entries in
// the VM list if the address is empty. It returns a *RefusedError if entries have
// diverged and an *UnknownError if the VM list or a status could not be read.
func (c *Client) Status(ctx context.Context, address string) (*StatusResult, error) {
	if address != "" {
		e := fetchStatus(ctx, fleet.VM{StatusAddress: address})
		return &StatusResult{Entries: []EntryStatus{e}}, statusError([]EntryStatus{e})
	}
	entries, err := c.entryStatuses(ctx)
	if err != nil {
		return nil, err
	}
	return &StatusResult{Entries: entries}, statusError(entries)
}

func statusError(entries []EntryStatus) error {
	failed := 0
	for _, e := range entries {
		if e.Error != "" {
			failed++
		}
	}
	if offset, diverged := findDivergence(entries); diverged {
		return &RefusedError{Detail: fmt.Sprintf("entries hold different states at offset %d: some run a version that does not know a record; replace them", offset)}
	}
	if failed > 0 {
		return &UnknownError{Detail: fmt.Sprintf("%d of %d entries gave no status", failed, len(entries))}
	}
	return nil
}

// findDivergence returns an offset at which entries report different state hashes,
// and whether there is one.
func findDivergence(entries []EntryStatus) (offset int64, diverged bool) {
	hashes := make(map[int64]string)
	for _, e := range entries {
		if e.Error != "" {
			continue
		}
		if known, ok := hashes[e.Offset]; ok && known != e.Hash {
			return e.Offset, true
		}
		hashes[e.Offset] = e.Hash
	}
	return 0, false
}

// entryStatuses reads the status of all live entries in the VM list concurrently.
func (c *Client) entryStatuses(ctx context.Context) ([]EntryStatus, error) {
	vms, err := c.VMs.VMs(ctx)
	if err != nil {
		return nil, &UnknownError{Detail: "read the VM list", Err: err}
	}
	var live []fleet.VM
	for _, vm := range vms {
		if vm.Service == fleet.EntryService && vm.State == fleet.Live && vm.StatusAddress != "" {
			live = append(live, vm)
		}
	}
	entries := make([]EntryStatus, len(live))
	var wg sync.WaitGroup
	for i, vm := range live {
		wg.Go(func() { entries[i] = fetchStatus(ctx, vm) })
	}
	wg.Wait()
	return entries, nil
}

func fetchStatus(ctx context.Context, vm fleet.VM) EntryStatus {
	e := EntryStatus{VM: vm.Name, Address: vm.StatusAddress, Offset: -1}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if err := getStatus(ctx, vm.StatusAddress, &e); err != nil {
		return EntryStatus{VM: vm.Name, Address: vm.StatusAddress, Offset: -1, Error: err.Error()}
	}
	return e
}

func getStatus(ctx context.Context, address string, status *EntryStatus) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+statusPath, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status page answered %s", resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(status)
}

func entryText(entries []EntryStatus) []string {
	var lines []string
	for _, e := range entries {
		line := fmt.Sprintf("entry %s %s: offset %d, revision %d, hash %.12s, in flight %d, seats %v", e.VM, e.Address, e.Offset, e.Revision, e.Hash, e.InFlight, e.Seats)
		if e.Error != "" {
			line = fmt.Sprintf("entry %s %s: %s", e.VM, e.Address, e.Error)
		}
		lines = append(lines, line)
	}
	return lines
}
