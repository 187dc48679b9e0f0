package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"

	"chestnutrouter.example/chestnutrouter/internal/status"
)

// pollInterval is the time between two readiness checks of a process.
const pollInterval = 50 * time.Millisecond

// register sets the VM list to all VMs, as soon as the platform responds.
func register(ctx context.Context, dir string) error {
	p, err := readPlan(dir)
	if err != nil {
		return err
	}
	body, err := json.Marshal(p.VMs)
	if err != nil {
		return err
	}
	return retry(ctx, func() error {
		return do(ctx, http.MethodPut, "http://"+p.Platform+"/admin/vms", body)
	})
}

// waitForEntries returns once every entry and every backend server is ready.
func waitForEntries(ctx context.Context, dir string) error {
	p, err := readPlan(dir)
	if err != nil {
		return err
	}
	for _, vm := range p.VMs {
		url := "http://" + vm.Address + "/healthz"
		if vm.StatusAddress != "" {
			url = "http://" + vm.StatusAddress + "/readyz"
		}
		ready := func() error { return do(ctx, http.MethodGet, url, nil) }
		if err := retry(ctx, ready); err != nil {
			return fmt.Errorf("%s: %w", vm.Name, err)
		}
	}
	return waitForSeats(ctx, p)
}

// waitForSeats returns once every entry holds a seat, and with it a share of the
// global limits.
func waitForSeats(ctx context.Context, p plan) error {
	for _, vm := range p.entries() {
		hasSeat := func() error { return checkSeat(ctx, vm.StatusAddress) }
		if err := retry(ctx, hasSeat); err != nil {
			return fmt.Errorf("%s: %w", vm.Name, err)
		}
	}
	return nil
}

func checkSeat(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var report status.Report
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return err
	}
	if len(report.Seats) == 0 {
		return errors.New("the entry holds no seat yet")
	}
	return nil
}

func retry(ctx context.Context, attempt func() error) error {
	_, err := backoff.Retry(ctx, func() (bool, error) { return true, attempt() },
		backoff.WithBackOff(backoff.NewConstantBackOff(pollInterval)),
		backoff.WithMaxElapsedTime(stepTimeout))
	return err
}

func do(ctx context.Context, method, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: %s", method, url, resp.Status)
	}
	return nil
}
