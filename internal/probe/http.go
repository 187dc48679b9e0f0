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
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
	// loadPath is the path at which backend servers report their load.
	loadPath = "/load"
	// maxBodyBytes bounds how much of a response body is read.
	maxBodyBytes = 1 << 10
	// maxHeaderBytes bounds the header section of a response.
	maxHeaderBytes = 16 << 10
)

// ErrNoLoad is returned by a Sender if the server responded successfully without a load
// report.
var ErrNoLoad = errors.New("probe: no load report in the response")

// StatusError is returned for a response with a status other than 200 OK.
type StatusError struct{ Status int }

// Error returns a message with the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("probe: status %d", e.Status)
}

// HTTP sends probes over HTTP.
type HTTP struct{ client *http.Client }

// NewHTTP returns a sender without keep-alive connections, as it rarely probes the same
// server and a server's connections are limited.
func NewHTTP() *HTTP {
	transport := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}
	return &HTTP{client: &http.Client{Transport: transport}}
}

// Send requests the load of a server. It reads the report from the service's load report
// header, or from the body if that header is missing. Errors are those of the request, a
// *StatusError or a *balancer.ReportError.
func (h *HTTP) Send(ctx context.Context, vm fleet.VM, svc *tree.Service) (balancer.Report, error) {
	url := "http://" + vm.Address + loadPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return balancer.Report{}, err
	}
	response, err := h.client.Do(request)
	if err != nil {
		return balancer.Report{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return balancer.Report{}, &StatusError{Status: response.StatusCode}
	}
	if value := response.Header.Get(loadReportHeader(svc)); value != "" {
		return balancer.ParseReport(value)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return balancer.Report{}, err
	}
	return balancer.ParseReport(strings.TrimSpace(string(body)))
}

// loadReportHeader returns the name of the service's load report header.
func loadReportHeader(svc *tree.Service) string {
	if svc.LoadReportHeader != "" {
		return svc.LoadReportHeader
	}
	return wire.HeaderLoadReport
}
