package frontend

import (
	"net"
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// applyRank gives a nested call the rank of its outermost call, so that work for
// a payment does not wait as a lookup, and work for an upload not ahead of one.
//
// Only a backend server may make its call more urgent than the route says; from
// anybody else the header can but lower the rank. A header that does not hold is
// taken off, so that it does not travel on.
func (h *Handler) applyRank(m *tree.Match, r *http.Request) {
	name := r.Header.Get(wire.HeaderRank)
	if name == "" {
		return
	}
	rank, known := m.Service.Rank(name)
	if known && (rank.Order >= m.Rank.Order || h.mayRaise(m.Route, r)) {
		m.Rank = rank
		return
	}
	r.Header.Del(wire.HeaderRank)
}

// mayRaise reports whether the request comes from a backend server. An upload is
// never raised, as it would leave the fence around the urgent ranks.
func (h *Handler) mayRaise(route *tree.Route, r *http.Request) bool {
	if route.Upload {
		return false
	}
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	return err == nil && h.Servers.IsServerHost(ip)
}
