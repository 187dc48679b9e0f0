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

	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const testHost = "shop.example"

var errBrokenOff = errors.New("broken off")

// testTree has an idempotent route, one that runs once, and an upload that runs once.
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

// bench is a Handler over fakes.
type bench struct {
	*Handler
	tree    *tree.Tree
	scope   tally.TestScope
	runs    atomic.Int64
	limited *outcome.Refusal
	// run stands for the backend servers.
	run func(ctx context.Context, r *http.Request) (*forward.Response, *outcome.Refusal)
	// rank is that of the last call that ran; serverHost is the only server's IP number.
	rank, serverHost string
	// asked is what other entries' operations come to.
	asked *outcome.Refusal
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{tree: testTree(), scope: tally.NewTestScope("", nil)}
	b.run = func(context.Context, *http.Request) (*forward.Response, *outcome.Refusal) {
		return wholeAnswer("ok"), nil
	}
	b.Handler = NewHandler(Options{
		VM:         "entry-1",
		Trees:      b,
		Operations: operation.New(operation.Options{}),
		Owners:     b,
		Limits:     b,
		Servers:    b,
		Runner:     b,
		Drain:      &Drainer{},
		Scope:      b.scope,
	})
	return b
}

func (b *bench) Tree() *tree.Tree { return b.tree }

func (b *bench) Acquire(context.Context, string, string, string) (func(), *outcome.Refusal) {
	return func() {}, b.limited
}

func (b *bench) Do(ctx context.Context, m tree.Match, r *http.Request) (*forward.Response, *outcome.Refusal) {
	b.runs.Add(1)
	b.rank = m.Rank.Name
	return b.run(ctx, r)
}

func (b *bench) Forward(context.Context, operation.ID, string, *http.Request, []byte) (operation.Response, *outcome.Refusal) {
	return operation.Response{}, b.asked
}

func (b *bench) IsServerHost(ip string) bool { return ip == b.serverHost }

// newID returns a fresh operation id of this entry.
func (b *bench) newID(last string) string {
	return b.Operations.Ticket() + ".0000000000000000000000000000000" + last
}

// send serves one request without a network.
func (b *bench) send(method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://"+testHost+path, bytes.NewBufferString(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	b.ServeHTTP(w, r)
	return w
}

func (b *bench) refusals(reason outcome.Reason) int64 {
	counter, ok := b.scope.Snapshot().Counters()["refusals+reason="+string(reason)]
	if !ok {
		return 0
	}
	return counter.Value()
}

func wholeAnswer(body string) *forward.Response {
	return &forward.Response{
		Status:        http.StatusOK,
		Header:        http.Header{},
		Body:          io.NopCloser(bytes.NewBufferString(body)),
		ContentLength: int64(len(body)),
		Server:        "shop-1",
		Trailer:       func() http.Header { return nil },
	}
}

// brokenAnswer breaks off after its start.
func brokenAnswer(start string) *forward.Response {
	a := wholeAnswer("")
	a.ContentLength = int64(len(start)) + 1
	a.Body = io.NopCloser(io.MultiReader(bytes.NewBufferString(start), failingReader{}))
	return a
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) {
	return 0, &forward.TruncatedError{Server: "shop-1", Err: errBrokenOff}
}
