package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/loopback"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// closeTimeout bounds the wait for the other end of a connection to close it. The forwarder
// closes it at once; the rest is for machines under load.
const closeTimeout = 10 * time.Second

// rawServer writes raw bytes as responses and records the requests that it read.
type rawServer struct {
	listener net.Listener
	wg       sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	requests []*http.Request
	bodies   []string
	open     map[net.Conn]int // number of requests read on each open connection
}

// startRawServer serves each connection with handle, which gets the index of the
// request on that connection, from 0, and returns false to hang up.
func startRawServer(t *testing.T, handle func(n int, r *http.Request, c net.Conn) bool) *rawServer {
	t.Helper()
	l, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: l, open: map[net.Conn]int{}}
	t.Cleanup(func() {
		for _, problem := range s.stop(closeTimeout) {
			t.Error(problem)
		}
	})
	s.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.open[c] = 0
			s.mu.Unlock()
			s.wg.Go(func() { s.serve(c, handle) })
		}
	})
	return s
}

// stop closes the listener and waits until the clients have closed all connections. It returns a
// description of each one that is still open after the timeout, and closes it, so that the test ends.
func (s *rawServer) stop(timeout time.Duration) []string {
	_ = s.listener.Close()
	ended := make(chan struct{})
	go func() { s.wg.Wait(); close(ended) }()
	select {
	case <-ended:
		return nil
	case <-time.After(timeout):
	}
	var problems []string
	s.mu.Lock()
	for c, requests := range s.open {
		problems = append(problems, fmt.Sprintf("the connection from %v to %v is still open %v after the end of the test; %d requests were read on it",
			c.RemoteAddr(), c.LocalAddr(), timeout, requests))
		_ = c.Close()
	}
	s.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(closeTimeout):
		problems = append(problems, fmt.Sprintf("a goroutine of the server at %v did not end", s.listener.Addr()))
	}
	return problems
}

func (s *rawServer) serve(c net.Conn, handle func(int, *http.Request, net.Conn) bool) {
	defer func() {
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		var body []byte
		if r.Header.Get("Expect") == "" {
			body, _ = io.ReadAll(r.Body)
		}
		s.mu.Lock()
		s.open[c]++
		s.requests = append(s.requests, r)
		s.bodies = append(s.bodies, string(body))
		s.mu.Unlock()
		if !handle(n, r, c) {
			return
		}
	}
}

func (s *rawServer) received() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// vmAt returns the record of a server at the address.
func (s *rawServer) vmAt(address string) fleet.VM {
	return fleet.VM{Name: "server-1", Address: address}
}

func (s *rawServer) vm() fleet.VM {
	return fleet.VM{Name: "server-1", Address: s.listener.Addr().String()}
}

func respondWith(raw string) func(int, *http.Request, net.Conn) bool {
	return func(_ int, _ *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, raw)
		return err == nil
	}
}

func newForwarder(t *testing.T) *Forwarder {
	f := New(Options{})
	t.Cleanup(f.Close)
	return f
}

func ordersMatch(upload bool) tree.Match {
	return tree.Match{
		Service: &tree.Service{Member: "glazenpot", Name: "shop", ConnectionsPerServer: 250},
		Route:   &tree.Route{Upload: upload},
		Rank:    tree.Rank{Name: "payments"},
	}
}

func newRequest(method, target string, length int64) *http.Request {
	u, _ := url.Parse(target)
	return &http.Request{Method: method, URL: u, Host: "shop.example", Header: http.Header{}, ContentLength: length}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// openConns counts the connections that dial opened and that were not closed since.
type openConns struct{ count atomic.Int64 }

func (o *openConns) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: defaultDialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	o.count.Add(1)
	return &countedConn{TCPConn: c.(*net.TCPConn), open: o}, nil
}

// waitUntilClosed returns the number of connections that are open after the timeout, or zero as
// soon as all are closed.
func (o *openConns) waitUntilClosed(timeout time.Duration) int64 {
	for end := time.Now().Add(timeout); o.count.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return o.count.Load()
}

type countedConn struct {
	*net.TCPConn
	open   *openConns
	closed sync.Once
}

func (c *countedConn) Close() error {
	err := c.TCPConn.Close()
	c.closed.Do(func() { c.open.count.Add(-1) })
	return err
}

// A connection that its client never closes must fail the test of a stand-in within the timeout:
// a wait without a bound ends the whole package's process instead and names no connection.
func TestRawServerReportsConnectionsLeftOpen(t *testing.T) {
	s := startRawServer(t, respondWith(okResponse))
	silent, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	if _, err := io.WriteString(silent, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = silent.SetReadDeadline(time.Now().Add(closeTimeout))
	if _, err := io.ReadFull(silent, make([]byte, len(okResponse))); err != nil {
		t.Fatal(err)
	}
	problems := s.stop(10 * time.Millisecond)
	want := fmt.Sprintf("the connection from %v to %v is still open 10ms after the end of the test; 1 requests were read on it", silent.LocalAddr(), s.listener.Addr())
	if len(problems) != 1 || problems[0] != want {
		t.Errorf("got %q, want %q", problems, want)
	}
}
