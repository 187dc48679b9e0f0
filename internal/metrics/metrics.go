// Package metrics exports tally metrics to Prometheus and defines the names of
// the metrics that several packages share.
package metrics

import (
	"io"
	stdlog "log"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally reports its metrics to the Prometheus page.
const reportInterval = time.Second

// Names of the counters that carry a reason tag.
const (
	// Refusals counts responses that the entry generates in place of a backend
	// server.
	Refusals = "refusals"
	// TenantCalls counts the calls of each tenant by result.
	TenantCalls = "tenant_calls"
	// QueueRefusals counts requests and attempts that the rank queue refused.
	QueueRefusals = "queue_refusals"
	// Retries counts attempts that retry an earlier one.
	Retries = "retries"
	// RetriesDenied counts retries that were wanted but not made.
	RetriesDenied = "retries_denied"
	// Hedges counts second attempts started before the first got a response.
	Hedges = "hedges"
	// HedgesDenied counts hedges that were wanted but not made.
	HedgesDenied = "hedges_denied"
	// Ejections counts ejections of backend servers, which exclude a server
	// from selection for a while.
	Ejections = "ejections"
	// RequestLimits counts the changes of the request limits that backend servers name.
	RequestLimits = "request_limits"
	// Notices counts what backend servers newly say about further requests.
	Notices = "server_notices"
	// ZoneEvacuations counts the availability zones that are evacuated and taken back.
	ZoneEvacuations = "zone_evacuations"
	// ServerConnections counts how the connection of a request to a backend server was found.
	ServerConnections = "server_connections"
	// LeftZone counts the requests that were sent to a server of another availability zone.
	LeftZone = "left_zone"
	// Probes counts active load probes, the used part of the probe budget.
	Probes = "probes"
)

// Names of the gauges of a service.
const (
	// QueueWaiting is the number of requests of a rank that wait at this entry.
	QueueWaiting = "queue_waiting"
	// QueueWindow is the number of requests of a rank and all lower ones that
	// this entry may have in progress whatever the servers' estimated load.
	QueueWindow = "queue_window"
	// ReportConfidence is the confidence in the service's load reports, 0 to 1.
	ReportConfidence = "report_trust"
	// BusyShare is the busy share of the service's slots according to load
	// reports, 0 to 1.
	BusyShare = "busy_share"
)

// Registry holds the process's metrics: a scope to record them and a Prometheus
// page to read them.
type Registry struct {
	// Scope is the root scope.
	Scope tally.Scope
	// Handler serves the Prometheus page.
	Handler http.Handler
	closer  io.Closer
}

// NewRegistry returns a running registry. Close flushes and stops it.
func NewRegistry() *Registry {
	promRegistry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: promRegistry,
		Gatherer:   promRegistry,
		// A metric that can't be registered must not end the process.
		OnRegisterError: func(err error) { stdlog.Printf("metric not registered: %v", err) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "chestnutrouter",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
		// The names of tally's own cardinality metrics are not valid in
		// Prometheus.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the last counts and stops the registry.
func (r *Registry) Close() error { return r.closer.Close() }

// Count adds one to the counter with the name and reason.
func Count(scope tally.Scope, name, reason string) {
	scope.Tagged(map[string]string{"reason": reason}).Counter(name).Inc(1)
}
