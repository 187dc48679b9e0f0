package probe

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Guards against servers in trouble that send a head without end: with the default of net/http each
// probe keeps 10 MB of it.
func TestProbeRefusesALargeHead(t *testing.T) {
	for _, c := range []struct {
		bytes int
		fails bool
	}{{1 << 10, false}, {1 << 20, true}} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Fill", strings.Repeat("a", c.bytes))
			w.WriteHeader(http.StatusTeapot)
		}))
		_, err := NewHTTP().Send(t.Context(), fleet.VM{Address: strings.TrimPrefix(server.URL, "http://")}, &tree.Service{})
		server.Close()
		_, isStatus := err.(*StatusError)
		if isStatus == c.fails {
			t.Errorf("head of %d B: error %v, want one of the head: %v", c.bytes, err, c.fails)
		}
	}
}
