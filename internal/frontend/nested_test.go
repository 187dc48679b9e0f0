package frontend

import (
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/wire"
)

func TestNestedCallKeepsTheRankOfItsOutermostCall(t *testing.T) {
	// httptest requests come from 192.0.2.1.
	const server, otherHost = "192.0.2.1", "192.0.2.9"
	for _, c := range []struct{ name, serverHost, header, want string }{
		{"no header", server, "", "lookups"},
		{"a server raises", server, "payments", "payments"},
		{"a caller does not raise", otherHost, "payments", "lookups"},
		{"a caller lowers", otherHost, "uploads", "uploads"},
		{"a rank that the service lacks", server, "bookings", "lookups"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.serverHost = c.serverHost
			h.send("GET", "/kits", "", wire.HeaderRank, c.header)
			if h.lastRank != c.want {
				t.Errorf("ran with rank %q, want %q", h.lastRank, c.want)
			}
		})
	}
}
