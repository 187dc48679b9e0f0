package forward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// BenchmarkSend compares a call by http.Transport alone with one by a Forwarder.
func BenchmarkSend(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
	defer server.Close()
	b.Run("plain transport", func(b *testing.B) {
		transport := &http.Transport{DisableCompression: true}
		defer transport.CloseIdleConnections()
		for b.Loop() {
			r, _ := http.NewRequestWithContext(b.Context(), "GET", server.URL, nil)
			resp, err := transport.RoundTrip(r)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
	b.Run("forwarder", func(b *testing.B) {
		f := New(Options{})
		defer f.Close()
		vm := fleet.VM{Name: "server-1", Address: server.Listener.Addr().String()}
		for b.Loop() {
			resp, failure := f.Send(b.Context(), vm, ordersMatch(false), newRequest("GET", "/", 0), nil)
			if failure != nil {
				b.Fatal(failure)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
}
