package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// pipeServer is a backend server at the other end of pipes. It announces an idle timeout.
type pipeServer struct {
	announced string
	opened    atomic.Int32
	closed    atomic.Int32
	bodies    []string
}

func (s *pipeServer) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	s.opened.Add(1)
	go func() {
		br := bufio.NewReader(server)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				s.closed.Add(1)
				return
			}
			body, _ := io.ReadAll(r.Body)
			s.bodies = append(s.bodies, string(body))
			_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\n"+s.announced+"Content-Length: 2\r\n\r\nok")
		}
	}()
	return client, nil
}

// send sends a POST with a body and reads the response.
func (s *pipeServer) send(t *testing.T, f *Forwarder, idempotent bool) {
	t.Helper()
	m := ordersMatch(false)
	m.Route = &tree.Route{Idempotent: idempotent}
	resp, failure := f.Send(t.Context(), fleet.VM{Name: "server-1", Address: "server-1:80"}, m, newRequest("POST", "/", 3), strings.NewReader("kit"))
	if failure != nil {
		t.Fatal(failure)
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

// A server that drops idle connections without notice after 220 ms resets a request that is
// sent on one; one that is not idempotent can't be repeated then. So it must not be sent on
// a connection that was idle for that long, while an idempotent request may be.
func TestNonIdempotentCallsUseRecentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pipeServer{announced: "Keep-Alive: timeout=10\r\n"}
		scope := tally.NewTestScope("", nil)
		f := New(Options{Dial: s.dial, IdleTimeout: 4 * time.Second, MaxAnnouncedIdleTimeout: 30 * time.Second, NonIdempotentReuseAge: 200 * time.Millisecond, Scope: scope})
		defer f.Close()
		for _, step := range []struct {
			after      time.Duration
			idempotent bool
			opened     int32
		}{
			{0, true, 1},
			{199 * time.Millisecond, false, 1},
			{200 * time.Millisecond, false, 2},
			{220 * time.Millisecond, true, 2},
			{8 * time.Second, true, 2},
		} {
			time.Sleep(step.after)
			s.send(t, f, step.idempotent)
			if s.opened.Load() != step.opened {
				t.Errorf("after %v, idempotent %v: %d connections were opened, want %d", step.after, step.idempotent, s.opened.Load(), step.opened)
			}
		}
		for _, body := range s.bodies {
			if body != "kit" {
				t.Errorf("the server got the body %q, want %q", body, "kit")
			}
		}
		if len(s.bodies) != 5 {
			t.Errorf("the server got %d requests, want 5", len(s.bodies))
		}
		for reason, want := range map[string]int64{"opened": 2, "reused": 3, "replaced": 1} {
			if got := scope.Snapshot().Counters()["server_connections+reason="+reason].Value(); got != want {
				t.Errorf("%d connections counted as %s, want %d", got, reason, want)
			}
		}
	})
}

// Guards against a request that dials a dead server again and again until its deadline: a kept
// connection that is too old is replaced once, and the failure of that dial ends the request. The
// request has no deadline here.
func TestFailedDialAfterAnOldConnectionIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pipeServer{announced: "Keep-Alive: timeout=10\r\n"}
		refused := errors.New("connection refused")
		dials, alive := 0, true
		const tooMany = 100 // by then it is known that the dials have no end
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials++; alive || dials > tooMany {
				return s.dial(ctx, network, address)
			}
			return nil, refused
		}
		f := New(Options{Dial: dial, MaxAnnouncedIdleTimeout: 30 * time.Second, NonIdempotentReuseAge: 200 * time.Millisecond})
		defer f.Close()
		s.send(t, f, false)
		time.Sleep(time.Second)
		alive, dials = false, 0
		m := ordersMatch(false)
		m.Route = &tree.Route{}
		resp, failure := f.Send(t.Context(), fleet.VM{Name: "server-1", Address: "server-1:80"}, m, newRequest("POST", "/", 3), strings.NewReader("kit"))
		if failure == nil {
			_ = resp.Body.Close()
			t.Fatalf("served after %d dials, want one that fails", dials)
		}
		if dials != 1 || failure.Stage != StageDial || failure.Outcome != outcome.NotRun || !errors.Is(failure, refused) || failure.BodyRead {
			t.Errorf("%d dials, failure %+v, want one dial and its error, not run and with an unread body", dials, failure)
		}
	})
}

// A connection is kept as long as its server announces, less a margin, and closed then: a
// server that closes it at the same time as a request is sent leaves the outcome unknown.
func TestIdleConnectionsEndBeforeTheAnnouncedTime(t *testing.T) {
	for _, c := range []struct {
		name, announced string
		kept            time.Duration
	}{
		{"announced", "Keep-Alive: timeout=10, max=100\r\n", 9 * time.Second},
		{"short", "Keep-Alive: timeout=1\r\n", 500 * time.Millisecond},
		{"longer than the bound", "Keep-Alive: timeout=3600\r\n", 30 * time.Second},
		{"not announced", "", 4 * time.Second},
		{"malformed", "Keep-Alive: timeout=-3\r\n", 4 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &pipeServer{announced: c.announced}
			f := New(Options{Dial: s.dial, IdleTimeout: 4 * time.Second, MaxAnnouncedIdleTimeout: 30 * time.Second})
			defer f.Close()
			s.send(t, f, true)
			time.Sleep(c.kept - time.Millisecond)
			s.send(t, f, true)
			if s.opened.Load() != 1 {
				t.Errorf("%s: %d connections after %v, want the first one to be used again", c.name, s.opened.Load(), c.kept)
			}
			time.Sleep(c.kept)
			s.send(t, f, true)
			if s.opened.Load() != 2 {
				t.Errorf("%s: %d connections were opened, want a second one after an idle time of %v", c.name, s.opened.Load(), c.kept)
			}
			time.Sleep(c.kept + idleCloseDelay)
			synctest.Wait()
			if s.closed.Load() != 2 {
				t.Errorf("%s: %d connections are closed, want both", c.name, s.closed.Load())
			}
		})
	}
}
