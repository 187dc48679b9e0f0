package frontend

import (
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/wire"
)

func TestNestedCallKeepsTheRankOfItsOutermostCall(t *testing.T) {
	// httptest requests come from 192.0.2.1.
	const server, elsewhere = "192.0.2.1", "192.0.2.9"
	for _, c := range []struct{ name, serverHost, header, want string }{
		{"no header", server, "", "lookups"},
		{"a server raises", server, "payments", "payments"},
		{"a caller does not raise", elsewhere, "payments", "lookups"},
		{"a caller lowers", elsewhere, "uploads", "uploads"},
		{"a rank that the service lacks", server, "bookings", "lookups"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.serverHost = c.serverHost
			b.send("GET", "/kits", "", wire.HeaderRank, c.header)
			if b.rank != c.want {
				t.Errorf("ran as %q, want %q", b.rank, c.want)
			}
		})
	}
}
