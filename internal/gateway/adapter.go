package gateway

import (
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/probe"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Adapter implements the protocols of a platform's callers, backend servers and store.
type Adapter struct {
	// Log is the store.
	Log logservice.CompactedLog
	// ConfigStream and ConfigKey locate the configuration. ServersStream has a record
	// for each backend server, EntriesStream the list of the entries.
	ConfigStream, ConfigKey, ServersStream, EntriesStream string
	// DecodeTree and DecodeServer decode the values of the configuration and of the
	// servers' records.
	DecodeTree   func(value []byte) (*tree.Tree, error)
	DecodeServer func(key string, value []byte) (fleet.VM, error)
	// DecodeRevision decodes only the revision of a configuration.
	DecodeRevision func(value []byte) (int64, error)
	// DecodeEvacuation returns the availability zone that a key of ConfigStream evacuates; see
	// storesync.Options.
	DecodeEvacuation func(key string) (zone string, ok bool)
	// Dialect adapts requests to backend servers and their responses, Prober sends
	// probes to backend servers.
	Dialect forward.Dialect
	Prober  probe.Sender
	// CallerMiddleware translates the callers' headers to chestnutrouter's native ones
	// and back.
	CallerMiddleware func(http.Handler) http.Handler
	// NewDirectoryHandler returns the handler that serves the endpoint list to callers,
	// NewReadyHandler the one for the platform's readiness checks.
	NewDirectoryHandler func(addresses func() []string, ttl time.Duration) http.Handler
	NewReadyHandler     func(ready func() bool) http.Handler
}
