package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"chestnutrouter.example/chestnutrouter/internal/loopback"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo is a receiver whose Wait method blocks until stop.
type echo struct {
	release chan struct{}
	once    sync.Once
}

func (e *echo) Twice(args *int, reply *int) error {
	*reply = 2 * *args
	return nil
}

func (e *echo) Fail(_ *int, _ *int) error { return errors.New("no") }

func (e *echo) Wait(_ *int, reply *int) error {
	<-e.release
	*reply = 7
	return nil
}

func (e *echo) Fill(args *int, reply *[]byte) error {
	*reply = make([]byte, *args)
	return nil
}

func (e *echo) Size(args *[]byte, reply *int) error {
	*reply = len(*args)
	return nil
}

func (e *echo) stop() { e.once.Do(func() { close(e.release) }) }

func startServer(t *testing.T) (*Server, *echo, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, e := NewServer(), &echo{release: make(chan struct{})}
	if err := s.Register("Echo", e); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		e.stop()
		s.Close()
		if err := <-done; !errors.Is(err, ErrServerClosed) {
			t.Error(err)
		}
	})
	return s, e, l.Addr().String()
}

func newPool(t *testing.T) *Pool {
	t.Helper()
	p := NewPool(Options{})
	t.Cleanup(p.Close)
	return p
}

func twice(p *Pool, address string, n int) (int, error) {
	var reply int
	err := p.Call(context.Background(), address, "Echo.Twice", &n, &reply)
	return reply, err
}

func TestCallsShareAConnectionAndGetTheirReplies(t *testing.T) {
	s, _, address := startServer(t)
	p := newPool(t)
	var group sync.WaitGroup
	for n := range 50 {
		group.Go(func() {
			if got, err := twice(p, address, n); err != nil || got != 2*n {
				t.Errorf("Echo.Twice(%d): got %d, error %v, want twice the argument", n, got, err)
			}
		})
	}
	group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) != 1 {
		t.Errorf("got %d connections, want 1", len(s.conns))
	}
}

func TestErrorOfAMethodIsRemote(t *testing.T) {
	_, _, address := startServer(t)
	n, reply := 1, 0
	err := newPool(t).Call(t.Context(), address, "Echo.Fail", &n, &reply)
	var remote *RemoteError
	if !errors.As(err, &remote) || remote.Message != "no" {
		t.Fatalf("got error %v, want a RemoteError with the method's text", err)
	}
}

func TestNoListenerMeansNotSent(t *testing.T) {
	address, err := loopback.Next()
	if err != nil {
		t.Fatal(err)
	}
	_, err = twice(newPool(t), address.String(), 1)
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) || unreachable.Sent {
		t.Fatalf("got error %v, want an UnreachableError of a request that was not sent", err)
	}
}

func TestTimedOutCallIsSentAndFailsNoOther(t *testing.T) {
	_, e, address := startServer(t)
	p := newPool(t)
	n, slow := 1, make(chan error, 1)
	go func() {
		var reply int
		err := p.Call(context.Background(), address, "Echo.Wait", &n, &reply)
		if err == nil && reply != 7 {
			err = errors.New("wrong reply, want 7")
		}
		slow <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if _, err := twice(p, address, 1); err != nil { // the connection is open
		t.Fatal(err)
	}
	var reply int
	err := p.Call(ctx, address, "Echo.Wait", &n, &reply)
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) {
		t.Fatalf("got error %v, want an UnreachableError", err)
	}
	if got, err := twice(p, address, 4); err != nil || got != 8 {
		t.Fatalf("Echo.Twice(4): got %d, error %v, want 8", got, err)
	}
	e.stop()
	if err := <-slow; err != nil {
		t.Fatal(err)
	}
}

func TestRestartedPeerIsDialedAgain(t *testing.T) {
	first, _, address := startServer(t)
	p := newPool(t)
	if _, err := twice(p, address, 1); err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	client := p.conns[address].client
	p.mu.Unlock()
	first.Close()
	var reply int
	n := 1
	for client.Call("Echo.Twice", &n, &reply) == nil { // until the client has noticed that the connection is closed
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	second := NewServer()
	if err := second.Register("Echo", &echo{}); err != nil {
		t.Fatal(err)
	}
	go second.Serve(l)
	defer second.Close()
	if got, err := twice(p, address, 4); err != nil || got != 8 {
		t.Fatalf("Echo.Twice(4): got %d, error %v, want 8", got, err)
	}
}

func TestTooLargeMessageEndsTheConnection(t *testing.T) {
	_, _, address := startServer(t)
	p := newPool(t)
	for size, ok := range map[int]bool{MaxMessageBytes / 2: true, 2 * MaxMessageBytes: false} {
		body, reply := make([]byte, size), 0
		err := p.Call(t.Context(), address, "Echo.Size", &body, &reply)
		if (err == nil) != ok {
			t.Errorf("message of %d bytes: got error %v; want an error only above MaxMessageBytes", size, err)
		}
	}
}

func TestConnectionOfAnotherProtocolIsClosed(t *testing.T) {
	_, _, address := startServer(t)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 64)
	for {
		if _, err := conn.Read(buf); err != nil {
			return
		}
	}
}
