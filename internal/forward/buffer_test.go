package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/account"
)

// withConn calls do with the context of a request whose connection counts what it holds, and with a
// function that returns the bytes counted.
func withConn(t *testing.T, do func(ctx context.Context, held func() int64)) {
	t.Helper()
	scope := tally.NewTestScope("", nil)
	accounts := account.New(account.Limits{}, func(string, ...any) {}, scope)
	listener, err := accounts.Listen("callers", "127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		before := accounts.HeldBytes()
		do(r.Context(), func() int64 { return accounts.HeldBytes() - before })
	}))
	server.Listener.Close()
	server.Listener = listener
	accounts.Prepare(server.Config)
	server.Start()
	defer server.Close()
	resp, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if _, err := io.WriteString(resp, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp); err != nil {
		t.Fatal(err)
	}
}

// Guards against responses to callers that read slowly that exceed the memory of the VM: of a response
// longer than the limit nothing was counted, and of one without a length less than it took.
func TestBufferedResponsesAreCounted(t *testing.T) {
	const limit = 256 << 10
	for _, c := range []struct {
		name     string
		size     int
		length   int64
		complete bool
	}{
		{"short", 300, 300, true},
		{"empty", 0, 0, true},
		{"with a length", limit, limit, true},
		{"without a length", limit - 100, -1, true},
		{"longer than the limit", limit + 50_000, limit + 50_000, false},
		{"longer, without a length", limit + 50_000, -1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withConn(t, func(ctx context.Context, held func() int64) {
				want := strings.Repeat("b", c.size)
				resp := &Response{Body: io.NopCloser(strings.NewReader(want)), ContentLength: c.length}
				resp, failure := bufferResponse(ctx, resp, limit)
				if failure != nil || resp.Complete != c.complete {
					t.Errorf("failure %v, complete %v, want %v", failure, resp.Complete, c.complete)
					return
				}
				memory := int64(copyBufferBytes)
				for _, block := range resp.Body.(*heldPrefix).blocks {
					memory += int64(cap(block))
				}
				if got := held(); got != memory || got > 2*limit {
					t.Errorf("%d B counted, want the %d B in use, at most %d", got, memory, 2*limit)
				}
				if got, err := io.ReadAll(resp.Body); string(got) != want || err != nil {
					t.Errorf("body of %d B, error %v, want %d B", len(got), err, len(want))
				}
				if err := resp.Body.Close(); err != nil || held() != 0 {
					t.Errorf("%d B counted after the end, error %v", held(), err)
				}
			})
		})
	}
}

// A response that is broken off is a failure, and holds nothing.
func TestBrokenResponseHoldsNothing(t *testing.T) {
	withConn(t, func(ctx context.Context, held func() int64) {
		broken := io.MultiReader(strings.NewReader("begin"), iotest.ErrReader(errors.New("broken off")))
		if _, failure := bufferResponse(ctx, &Response{Body: io.NopCloser(broken), ContentLength: -1}, 100); failure == nil || held() != 0 {
			t.Errorf("failure %v, %d B counted, want a failure and none", failure, held())
		}
	})
}
