package backend

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/wire"
)

func start(t *testing.T, opts Options) (*Server, string) {
	t.Helper()
	s := New(opts)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server.URL
}

func post(t *testing.T, url string, body io.Reader, header map[string]string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, body)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	return http.DefaultClient.Do(r)
}

func TestResponseBelongsToItsRequest(t *testing.T) {
	s, url := start(t, Options{Name: "b1"})
	upload := bytes.Repeat([]byte("photo"), 100_000)
	response, err := post(t, url+"/scans", bytes.NewReader(upload), map[string]string{
		HeaderRequest: "r7", wire.HeaderOperation: "i:1.0a",
	})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var got Response
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	sum := sha256.Sum256(upload)
	want := Response{
		Server: "b1", Request: "r7", Operation: "i:1.0a", Run: 1,
		Length: int64(len(upload)), SHA256: hex.EncodeToString(sum[:]),
	}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := response.Header.Get(wire.HeaderLoadReport); got != "inflight=0,slots=3,queue=0,draining=0" {
		t.Errorf("load report %q, want no load, 3 slots and not draining", got)
	}
	if got := s.Runs(); got.Total != 1 || got.Operations["i:1.0a"] != 1 {
		t.Errorf("runs %+v, want one run, of operation i:1.0a", got)
	}
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name, faults, report string
		status               int // zero means that the connection is closed early
		runs                 int64
	}{
		{"sound", `{}`, "inflight=0,slots=3,queue=0,draining=0", 200, 1},
		{"draining", `{"draining":true}`, "inflight=0,slots=3,queue=0,draining=1", 200, 1},
		{"shed", `{"shed":true}`, "inflight=0,slots=3,queue=0,draining=0", 503, 0},
		{"fail fast", `{"fail_fast":true}`, "inflight=0,slots=3,queue=0,draining=0", 500, 0},
		{"hang up", `{"hang_up":true}`, "", 0, 1},
		{"break off", `{"break_off":true}`, "", 0, 1},
		{"lie", `{"lie":"busy"}`, "inflight=3,slots=3,queue=8,draining=0", 200, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, url := start(t, Options{})
			command, err := post(t, url+"/admin/faults", strings.NewReader(test.faults), nil)
			if err != nil || command.StatusCode != http.StatusNoContent {
				t.Fatal(command, err)
			}
			status, report := call(t, url)
			if status != test.status || report != test.report {
				t.Errorf("status %d, report %q, want those of the test case", status, report)
			}
			if got := s.Runs().Total; got != test.runs {
				t.Errorf("runs %d, want %d", got, test.runs)
			}
		})
	}
}

// call returns status 0 if the connection was closed before the end of the body.
func call(t *testing.T, url string) (status int, report string) {
	t.Helper()
	response, err := post(t, url+"/orders", strings.NewReader("x"), nil)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, ""
	}
	return response.StatusCode, response.Header.Get(wire.HeaderLoadReport)
}

func TestUnknownFaultIsRefused(t *testing.T) {
	_, url := start(t, Options{})
	for _, body := range []string{`{"slow":2}`, `{"lie":"maybe"}`, `{`} {
		response, err := post(t, url+"/admin/faults", strings.NewReader(body), nil)
		if err != nil || response.StatusCode != http.StatusBadRequest {
			t.Errorf("%s: response %v, error %v, want status 400", body, response, err)
		}
	}
}

func TestSlotsQueueThenShed(t *testing.T) {
	s := newSlots(1, 1)
	if !s.acquire(t.Context()) {
		t.Fatal("a free slot was refused")
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	queued := make(chan bool)
	go func() { queued <- s.acquire(ctx) }()
	for s.load().queue == 0 {
		continue
	}
	if s.acquire(t.Context()) {
		t.Error("the queue accepted more requests than its length")
	}
	cancel(errors.New("caller disconnected"))
	if <-queued {
		t.Error("a disconnected caller got a slot")
	}
	s.release()
	if !s.acquire(t.Context()) {
		t.Error("a released slot was refused")
	}
}
