package forward

import (
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Dialect translates between chestnutrouter's native headers and those of the
// backend servers. Implementations are safe for concurrent use.
type Dialect interface {
	// RewriteRequest translates the header of a request to the server's, in place.
	RewriteRequest(h http.Header, server fleet.VM, m tree.Match)
	// RewriteResponse translates the status and header of a response to the
	// native load report and load shed, in place. An error means that it is not
	// the response to the request with that header; the connection is closed.
	RewriteResponse(resp *http.Response, request http.Header) error
}

// nativeDialect is the Dialect of servers that use the native headers.
type nativeDialect struct{}

func (nativeDialect) RewriteRequest(http.Header, fleet.VM, tree.Match) {}

func (nativeDialect) RewriteResponse(*http.Response, http.Header) error { return nil }
