package frontend

import (
	"net"
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// applyRank gives a nested call the rank (priority class) of its outermost call, so
// that work for a payment does not wait like a lookup, and work for an upload is not
// served before a lookup.
//
// Only a backend server may raise the rank of its call above the route's; other
// callers can only lower it. A header that is not applied is removed, so that it is
// not forwarded.
func (h *Handler) applyRank(m *tree.Match, r *http.Request) {
	name := r.Header.Get(wire.HeaderRank)
	if name == "" {
		return
	}
	rank, known := m.Service.Rank(name)
	if known && (rank.Order >= m.Rank.Order || h.mayRaiseRank(m.Route, r)) {
		m.Rank = rank
		return
	}
	r.Header.Del(wire.HeaderRank)
}

// mayRaiseRank reports whether the request comes from a backend server. The rank of
// an upload is never raised, as an upload must not use the guaranteed share of a higher
// rank, nor the slots that the concurrency windows of lower ranks leave free for it.
func (h *Handler) mayRaiseRank(route *tree.Route, r *http.Request) bool {
	if route.Upload {
		return false
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	return err == nil && h.Servers.IsServerHost(host)
}
