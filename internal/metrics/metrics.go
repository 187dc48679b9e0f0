// Package metrics wires tally to a Prometheus page and names the counters that
// several packages share.
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

// reportInterval is how often tally hands its counts to the Prometheus page.
const reportInterval = time.Second

// Names of the counters that carry a reason tag.
const (
	// Refusals counts answers made by the entry in place of a backend server.
	Refusals = "refusals"
	// QueueRefusals counts requests and attempts that the rank queue refused.
	QueueRefusals = "queue_refusals"
	// Retries counts repeated attempts of idempotent calls.
	Retries = "retries"
	// RetriesDenied counts retries that were wanted and not made.
	RetriesDenied = "retries_denied"
	// Hedges counts second attempts started before the first was answered.
	Hedges = "hedges"
	// HedgesDenied counts hedges that were wanted and not made.
	HedgesDenied = "hedges_denied"
	// Ejections counts backend servers taken out of the choice for a while.
	Ejections = "ejections"
	// Probes counts active load probes, the spent part of the measuring budget.
	Probes = "probes"
)

// Names of the gauges of a service.
const (
	// QueueWaiting is the requests of a rank that wait at this entry.
	QueueWaiting = "queue_waiting"
	// QueueWindow is the requests of a rank and the less urgent ones that this
	// entry may have in progress whatever the servers' estimated load.
	QueueWindow = "queue_window"
	// ReportTrust is how far the service's load reports are believed, 0 to 1.
	ReportTrust = "report_trust"
	// BusyShare is the busy share of the service's slots by reports, 0 to 1.
	BusyShare = "busy_share"
)

// Registry is the process's metrics: a scope to count in and a page to read.
type Registry struct {
	// Scope is the root scope.
	Scope tally.Scope
	// Handler serves the Prometheus page.
	Handler http.Handler
	closer  io.Closer
}

// NewRegistry returns a running registry; Close flushes and ends it.
func NewRegistry() *Registry {
	own := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: own,
		Gatherer:   own,
		// A counter that can't be shown must not end the process.
		OnRegisterError: func(err error) { stdlog.Printf("metric not registered: %v", err) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "chestnutrouter",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
		// Their names are not valid on a Prometheus page.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close flushes the last counts.
func (r *Registry) Close() error { return r.closer.Close() }

// Count adds one to the counter of that name and reason.
func Count(scope tally.Scope, name, reason string) {
	scope.Tagged(map[string]string{"reason": reason}).Counter(name).Inc(1)
}
