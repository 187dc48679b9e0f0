package drain

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

var testPlan = Plan{MinAccept: 2 * time.Second, MaxAccept: 9 * time.Second, CloseAfter: 10 * time.Second}

// A stopping entry that accepts a request which it can't complete cuts it when it closes its
// connections. Whether it can is known from the request's deadline, or else expected.
func TestRequestsThatCannotBeCompletedAreRefused(t *testing.T) {
	const none = 0
	for _, c := range []struct {
		name                          string
		sinceStart, left, serviceTime time.Duration
		accepted                      bool
	}{
		{"short deadline at the start", 0, time.Second, none, true},
		{"short deadline, late", 8 * time.Second, time.Second, none, true},
		{"deadline as connections close", 9 * time.Second, time.Second, none, false},
		{"long deadline at the start", 0, time.Minute, none, true},
		{"long deadline in the first half", 4900 * time.Millisecond, time.Minute, none, true},
		{"long deadline in the second half", 5100 * time.Millisecond, time.Minute, none, false},
		{"long work at the start", 0, time.Minute, 6 * time.Second, false},
		{"long work that fits", 0, time.Minute, 4 * time.Second, true},
		{"no deadline in the second half", 5100 * time.Millisecond, none, none, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			d := New()
			deadline := func() time.Time {
				if c.left == none {
					return time.Time{}
				}
				return time.Now().Add(c.left)
			}
			if d.Check(deadline(), c.serviceTime) != nil {
				t.Errorf("%s: refused before the start", c.name)
			}
			d.Start(testPlan)
			time.Sleep(c.sinceStart)
			refusal := d.Check(deadline(), c.serviceTime)
			if (refusal == nil) != c.accepted {
				t.Errorf("%s: refusal %v, want accepted %v", c.name, refusal, c.accepted)
			}
			if refusal != nil && (refusal.Status != http.StatusServiceUnavailable || refusal.Outcome != outcome.NotRun) {
				t.Errorf("%s: refusal %v, want not run with 503", c.name, refusal)
			}
		})
	}
}

// A request that waits for a server when it becomes too late must not be sent any more: its
// wait ends at once, unless its deadline comes first.
func TestWaitEndsWhenARequestCannotBeCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New()
		long, endLong := d.LimitWait(t.Context(), time.Now().Add(time.Minute))
		defer endLong()
		short, endShort := d.LimitWait(t.Context(), time.Now().Add(8*time.Second))
		defer endShort()
		began := time.Now()
		d.Start(testPlan)
		<-long.Done()
		if waited := time.Since(began); waited != testPlan.CloseAfter/2 || d.Refusal(long) == nil {
			t.Errorf("wait ended after %v with refusal %v, want %v", waited, d.Refusal(long), testPlan.CloseAfter/2)
		}
		if short.Err() != nil || d.Refusal(short) != nil {
			t.Errorf("wait of a request with a short deadline ended: %v", short.Err())
		}
		endShort()
		if d.Refusal(short) != nil {
			t.Error("a wait that has ended otherwise is refused")
		}
	})
}

// startServer serves handler on loopback until the test ends.
func startServer(t *testing.T, handler http.HandlerFunc) (*http.Server, net.Listener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // ends with an error when the listener is closed
	t.Cleanup(func() { _ = server.Close() })
	return server, listener
}

// Callers keep the address of a stopping entry and come back to it after a refusal. Its listener
// must close then, so that they use another one, while connections that are open are served.
func TestListenerClosesAfterALateRequest(t *testing.T) {
	d := New()
	server, listener := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		defer d.EnterCall()()
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(w, "served")
	})
	open, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer open.Close()
	plan := Plan{MinAccept: 100 * time.Millisecond, MaxAccept: time.Minute, CloseAfter: time.Minute}
	d.Start(plan)
	defer d.EnterCall()() // the entry is never unused
	if d.Check(time.Now().Add(2*time.Minute), time.Minute) == nil {
		t.Fatal("a request that takes longer than the drain is accepted")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cause := make(chan Cause, 1)
	go func() { cause <- d.StopAccepting(ctx, listener) }()
	closed := false
	for deadline := time.Now().Add(10 * time.Second); !closed && time.Now().Before(deadline); time.Sleep(pollInterval) {
		conn, err := net.Dial("tcp", listener.Addr().String())
		closed = err != nil
		if err == nil {
			_ = conn.Close()
		}
	}
	if !closed {
		t.Fatal("the listener is still open")
	}
	_, _ = io.WriteString(open, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	if response, err := io.ReadAll(open); err != nil || len(response) == 0 {
		t.Errorf("open connection: got %q, error %v", response, err)
	}
	cancel()
	<-cause
	if err := server.Close(); err != nil {
		t.Error(err)
	}
}

// Requests in progress when the connections are closed are answered, if the plan leaves time for
// them, and those that are forwarded by other entries are waited for after the seal.
func TestCloseConnectionsWaitsForRequests(t *testing.T) {
	d := New()
	entered, served := make(chan struct{}), make(chan int, 1)
	server, listener := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		defer d.EnterCall()()
		close(entered)
		time.Sleep(300 * time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	})
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			served <- 0
			return
		}
		response.Body.Close()
		served <- response.StatusCode
	}()
	<-entered
	exit := d.EnterForwarded()
	d.Start(Plan{CloseAfter: time.Minute})
	sealed := false
	err := d.CloseConnections(t.Context(), server, func() {
		sealed = true
		go func() {
			time.Sleep(100 * time.Millisecond)
			exit()
		}()
	})
	if got := <-served; err != nil || got != http.StatusNoContent || !sealed || d.InFlight() != 0 {
		t.Errorf("got status %d, error %v, sealed %v, %d requests in flight", got, err, sealed, d.InFlight())
	}
	d.EnterForwarded()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := d.CloseConnections(ctx, server, func() {}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got error %v with a request in progress at the end, want %v", err, context.DeadlineExceeded)
	}
}

// lateListener is a closed listener whose Accept has not returned yet, as that of a server whose
// goroutine was not scheduled since.
type lateListener struct {
	net.Listener
	accepting, closed chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	close(l.accepting)
	<-l.closed
	return l.Listener.Accept()
}

func (l *lateListener) Close() error {
	defer close(l.closed)
	return l.Listener.Close()
}

// The server closes its listener once more if Serve has not returned since StopAccepting closed it.
// No request is cut by that, so the stop must not end with an error.
func TestListenerThatIsClosedTwiceIsNoError(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &lateListener{Listener: inner, accepting: make(chan struct{}), closed: make(chan struct{})}
	server, served := &http.Server{}, make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(l)
	}()
	<-l.accepting
	d := New()
	d.Start(Plan{MaxAccept: time.Millisecond, CloseAfter: 10 * time.Second})
	d.StopAccepting(t.Context(), inner)
	if err := d.CloseConnections(t.Context(), server, func() {}); err != nil {
		t.Errorf("got error %v, want none", err)
	}
	<-served
}
