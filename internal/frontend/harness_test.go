package frontend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/drain"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const testHost = "shop.example"

var errTruncated = errors.New("response truncated")

// testTree has a non-idempotent route for orders and an idempotent one for lookups.
func testTree() *tree.Tree {
	return &tree.Tree{Services: []*tree.Service{{
		Member: "glazenpot", Name: "shop", Hosts: []string{testHost},
		Ranks: []tree.Rank{{Name: "payments", Order: 1}, {Name: "lookups", Order: 2}, {Name: "uploads", Order: 3}},
		Routes: []*tree.Route{
			{Methods: []string{"POST"}, PathPrefix: "/orders", Rank: "payments", MaxBodyBytes: 64, Timeout: 10 * time.Second},
			{Methods: []string{"GET"}, PathPrefix: "/", Rank: "lookups", Idempotent: true, Timeout: time.Second},
		},
	}}}
}

// harness is a Handler whose stages are fakes, all implemented by the harness.
type harness struct {
	*Handler
	tree         *tree.Tree
	scope        tally.TestScope
	runs         atomic.Int64
	limitRefusal *outcome.Refusal
	// respond is the backend servers' response to a call.
	respond func(ctx context.Context, r *http.Request) (*forward.Response, *outcome.Refusal)
	// lastRank is the rank of the last call that ran; serverHost is the IP address of
	// the only backend server.
	lastRank, serverHost string
	// ownerRefusal is the result of operations that other entries own.
	ownerRefusal *outcome.Refusal
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{tree: testTree(), scope: tally.NewTestScope("", nil)}
	h.respond = func(context.Context, *http.Request) (*forward.Response, *outcome.Refusal) {
		return completeResponse("ok"), nil
	}
	h.Handler = NewHandler(Options{
		VM:          "entry-1",
		Tree:        h,
		Operations:  operation.New(operation.Options{}),
		OwnerClient: h,
		Limiter:     h,
		Servers:     h,
		Runner:      h,
		Drainer:     drain.New(),
		Scope:       h.scope,
	})
	return h
}

func (h *harness) Tree() *tree.Tree { return h.tree }

func (h *harness) Acquire(context.Context, string, string, string) (func(), *outcome.Refusal) {
	return func() {}, h.limitRefusal
}

func (h *harness) Do(ctx context.Context, m tree.Match, r *http.Request) (*forward.Response, *outcome.Refusal) {
	h.runs.Add(1)
	h.lastRank = m.Rank.Name
	return h.respond(ctx, r)
}

func (h *harness) Forward(context.Context, operation.ID, string, *http.Request, []byte) (operation.Response, *outcome.Refusal) {
	return operation.Response{}, h.ownerRefusal
}

func (h *harness) IsServerHost(ip string) bool { return ip == h.serverHost }

// newID returns an operation id with a new ticket of this entry.
func (h *harness) newID(lastDigit string) string {
	return h.Operations.Ticket() + ".0000000000000000000000000000000" + lastDigit
}

// send serves one request without a network connection.
func (h *harness) send(method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://"+testHost+path, bytes.NewBufferString(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func (h *harness) refusals(reason outcome.Reason) int64 {
	counter, ok := h.scope.Snapshot().Counters()["refusals+reason="+string(reason)]
	if !ok {
		return 0
	}
	return counter.Value()
}

func completeResponse(body string) *forward.Response {
	return &forward.Response{
		Status:        http.StatusOK,
		Header:        http.Header{},
		Body:          io.NopCloser(bytes.NewBufferString(body)),
		ContentLength: int64(len(body)),
		Server:        "shop-1",
		Trailer:       func() http.Header { return nil },
	}
}

// truncatedResponse returns a response whose body fails after prefix.
func truncatedResponse(start string) *forward.Response {
	resp := completeResponse("")
	resp.ContentLength = int64(len(start)) + 1
	resp.Body = io.NopCloser(io.MultiReader(bytes.NewBufferString(start), failingReader{}))
	return resp
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) {
	return 0, &forward.TruncatedError{Server: "shop-1", Err: errTruncated}
}
