package forward

import (
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Dialect speaks to backend servers whose headers differ from the product's own.
// Implementations are safe for concurrent use.
type Dialect interface {
	// RewriteRequest turns the header of a request into the server's names.
	RewriteRequest(h http.Header, server fleet.VM, m tree.Match)
	// RewriteResponse turns the status and header of an answer into the product's names:
	// load report and load shed. An error means that it is not the server's
	// answer to the request with that header; the connection is not used again.
	RewriteResponse(answer *http.Response, request http.Header) error
}

// plain is the Dialect of servers that use the product's own headers.
type plain struct{}

func (plain) RewriteRequest(http.Header, fleet.VM, tree.Match) {}

func (plain) RewriteResponse(*http.Response, http.Header) error { return nil }
