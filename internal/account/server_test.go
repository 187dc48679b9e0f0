package account

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

const testTimeout = 10 * time.Second

// startServer starts a server that counts its connections, and returns its account and address.
func startServer(t *testing.T, limits Limits, maxConnections int) (*Account, string) {
	t.Helper()
	a := New(limits, func(string, ...any) {}, tally.NoopScope)
	l, err := a.Listen("callers", "127.0.0.1:0", maxConnections)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	})}
	a.Prepare(server)
	done := make(chan struct{})
	go func() { _ = server.Serve(l); close(done) }()
	t.Cleanup(func() { server.Close(); <-done })
	return a, l.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

// A head with more lines than any of legal size has is refused before anything runs.
func TestTooManyLinesAreRefused(t *testing.T) {
	_, address := startServer(t, Limits{}, 0)
	conn, reader := dial(t, address)
	// The server may close the connection before everything is sent.
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\n", maxLines)+"\n")
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got %v, error %v; want status 431", response, err)
	}
}

// The lines of a head count although an empty line, which servers ignore after a POST, precedes it.
func TestEmptyLineBeforeAHeadHidesNothing(t *testing.T) {
	_, address := startServer(t, Limits{}, 0)
	conn, reader := dial(t, address)
	_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n\n\n\r\n"+
		"GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\n", maxLines)+"\n")
	for _, want := range []int{http.StatusOK, http.StatusRequestHeaderFieldsTooLarge} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != want {
			t.Fatalf("got %v, error %v; want status %d", response, err, want)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
	}
}

// Requests that are sent before the responses to earlier ones are served up to a bound, in order, and
// then the connection is closed after a complete response.
func TestPipelinedRequestsAreBounded(t *testing.T) {
	_, address := startServer(t, Limits{}, 0)
	conn, reader := dial(t, address)
	const sent = 300
	_, _ = io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", sent))
	served := 0
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		served++
		if response.Close {
			break
		}
	}
	if served <= maxPipelined || served >= sent {
		t.Errorf("%d of %d requests served, want more than %d and not all", served, sent, maxPipelined)
	}
}

// What requests hold is returned at their ends, whatever follows their bodies in the same read, so that
// the account of a connection that is used again and again does not grow.
func TestKeptConnectionHoldsNothingMore(t *testing.T) {
	a, address := startServer(t, Limits{}, 0)
	conn, reader := dial(t, address)
	for range 20 {
		body := strings.Repeat("line\n", 3000)
		fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("got %v, error %v; want status 200", response, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
	}
	awaitHeld(t, a, connBytes)
	conn.Close()
	awaitHeld(t, a, 0)
}

func awaitHeld(t *testing.T, a *Account, want int64) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); a.held.Load() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes held, want %d", a.held.Load(), want)
		}
	}
}

// A crowd that stays and sends nothing does not keep an ordinary caller out of a full listener.
func TestSilentCrowdGivesWay(t *testing.T) {
	_, address := startServer(t, Limits{}, 10)
	for range 30 {
		// A connection that is refused may fail at once.
		if conn, err := net.Dial("tcp", address); err == nil {
			defer conn.Close()
		}
	}
	client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		response, err := client.Get("http://" + address)
		if err == nil {
			response.Body.Close()
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("an ordinary request is not answered: %v", err)
		}
	}
}

// BenchmarkRequest measures what a request without a body costs a counted connection.
func BenchmarkRequest(b *testing.B) {
	a := newAccount(1 << 30)
	head := []byte("GET /kits/7 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: 7\r\nAccept: */*\r\nUser-Agent: caller\r\n\r\n")
	response := make([]byte, 300)
	c := &Conn{Conn: &fakeConn{data: head}, account: a, side: a.newSide("callers", 0), http: true}
	buf := make([]byte, readBufferBytes)
	for b.Loop() {
		if _, err := c.Read(buf); err != nil {
			b.Fatal(err)
		}
		c.beginRequest()
		if _, err := c.Write(response); err != nil {
			b.Fatal(err)
		}
		c.setState(stateBody)
		c.endRequest()
	}
}

// fakeConn yields the same data at each read.
type fakeConn struct {
	net.Conn
	data []byte
}

func (c *fakeConn) Read(p []byte) (int, error)  { return copy(p, c.data), nil }
func (c *fakeConn) Write(p []byte) (int, error) { return len(p), nil }
