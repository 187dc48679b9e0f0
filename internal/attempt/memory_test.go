package attempt

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/account"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// oneServer admits every request to the server at the address.
type oneServer struct {
	*fakes
	address string
}

func (s oneServer) Admit(context.Context, Request) (Grant, *outcome.Refusal) {
	return fakeGrant{s.fakes, fleet.VM{Name: "server-a", Address: s.address}}, nil
}

// Guards against callers that read slowly taking the memory of the VM: what was read of a response in
// advance of its caller must be counted, also if the response is longer or has no length.
func TestResponseInMemoryIsCounted(t *testing.T) {
	const limit = 256 << 10
	for _, c := range []struct {
		name      string
		size      int
		hasLength bool
	}{{"with a length", limit, true}, {"without a length", limit - 1, false}, {"longer", 2 * limit, true}, {"longer, without a length", 2 * limit, false}} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.hasLength {
					w.Header().Set("Content-Length", strconv.Itoa(c.size))
				}
				_, _ = io.WriteString(w, strings.Repeat("b", c.size))
			}))
			defer server.Close()
			forwarder := forward.New(forward.Options{MaxBufferedResponseBytes: limit, CorrelatedResponses: true})
			defer forwarder.Close()
			runner := New(oneServer{&fakes{}, strings.TrimPrefix(server.URL, "http://")}, forwarder, tally.NoopScope)
			accounts := account.New(account.Limits{}, func(string, ...any) {}, tally.NoopScope)
			entry := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				before := accounts.HeldBytes()
				m := tree.Match{Service: &tree.Service{}, Route: &tree.Route{Idempotent: true}}
				response, refusal := runner.Do(r.Context(), m, r)
				if refusal != nil {
					t.Errorf("refused: %v", refusal)
					return
				}
				if got := accounts.HeldBytes() - before; got < int64(min(c.size, limit)) {
					t.Errorf("%d B counted before the caller reads, want at least %d", got, min(c.size, limit))
				}
				if n, err := io.Copy(io.Discard, response.Body); n != int64(c.size) || err != nil {
					t.Errorf("body of %d B, error %v, want %d B", n, err, c.size)
				}
				response.Body.Close()
				if got := accounts.HeldBytes() - before; got != 0 {
					t.Errorf("%d B counted after the end of the response, want none", got)
				}
			}))
			listener, err := accounts.Listen("callers", "127.0.0.1:0", 0)
			if err != nil {
				t.Fatal(err)
			}
			entry.Listener.Close()
			entry.Listener = listener
			accounts.Prepare(entry.Config)
			entry.Start()
			defer entry.Close()
			response, err := http.Get("http://" + listener.Addr().String() + "/")
			if err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
		})
	}
}
