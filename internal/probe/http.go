package probe

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

const (
	// timeout bounds one probe.
	timeout = 500 * time.Millisecond
	// loadPath is where backend servers state their load.
	loadPath = "/load"
	// maxBodyBytes bounds what is read of an answer.
	maxBodyBytes = 1 << 10
)

// ErrNoLoad is what a Sender returns where the server answered well and tells no
// load.
var ErrNoLoad = errors.New("probe: the answer tells no load")

// StatusError is an answer that carries no load.
type StatusError struct{ Status int }

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("probe: status %d", e.Status)
}

// HTTP sends probes over HTTP.
type HTTP struct{ client *http.Client }

// NewHTTP returns a sender that keeps no connection open, as it visits a server
// seldom and connections of a server are limited.
func NewHTTP() *HTTP {
	transport := &http.Transport{DisableKeepAlives: true}
	return &HTTP{client: &http.Client{Transport: transport}}
}

// Send asks for the load. The report is read from the header of load reports,
// or from the body where the header is missing.
func (h *HTTP) Send(ctx context.Context, vm fleet.VM, svc *tree.Service) (balancer.Report, error) {
	url := "http://" + vm.Address + loadPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return balancer.Report{}, err
	}
	answer, err := h.client.Do(request)
	if err != nil {
		return balancer.Report{}, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return balancer.Report{}, &StatusError{Status: answer.StatusCode}
	}
	if value := answer.Header.Get(headerOf(svc)); value != "" {
		return balancer.ParseReport(value)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBodyBytes))
	if err != nil {
		return balancer.Report{}, err
	}
	return balancer.ParseReport(strings.TrimSpace(string(body)))
}

func headerOf(svc *tree.Service) string {
	if svc.LoadReportHeader != "" {
		return svc.LoadReportHeader
	}
	return wire.HeaderLoadReport
}
