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

// Adapter speaks to a platform's callers, backend servers and store.
type Adapter struct {
	// Log is the store.
	Log logservice.CompactedLog
	// ConfigStream and ConfigKey are where the configuration lies, ServersStream
	// where each backend server has a record, and EntriesStream where each entry
	// leaves one.
	ConfigStream, ConfigKey, ServersStream, EntriesStream string
	// DecodeTree and DecodeServer read the values of those records.
	DecodeTree   func(value []byte) (*tree.Tree, error)
	DecodeServer func(key string, value []byte) (fleet.VM, error)
	// Dialect and Prober speak to backend servers.
	Dialect forward.Dialect
	Prober  probe.Sender
	// CallerMiddleware turns the callers' headers into the product's own, and back.
	CallerMiddleware func(http.Handler) http.Handler
	// NewDirectoryHandler serves the address answer, NewReadyHandler the readiness checks.
	NewDirectoryHandler func(addresses func() []string, ttl time.Duration) http.Handler
	NewReadyHandler     func(ready func() bool) http.Handler
}
