package forward

import (
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/loopback"
)

// resetPair returns a connection whose server has reset it, and on which a write has got the error.
// The kernel reports a reset once, so the next read returns io.EOF.
func resetPair(t *testing.T) *conn {
	t.Helper()
	l, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = server.(*net.TCPConn).SetLinger(0)
	_ = server.Close()
	for deadline := time.Now().Add(10 * time.Second); err == nil; _, err = client.Write([]byte("upload")) {
		if time.Now().After(deadline) {
			t.Fatal("no write failed")
		}
	}
	return newConn(client)
}

// A response without a length ends with its connection. If the server resets that while the upload is
// being written, the write may get the error and the read only the end of the stream: the part that
// came must not be taken for the whole.
func TestResetThatAWriteGetsIsNoEnd(t *testing.T) {
	states := map[string]func(*transfer){
		"the write has failed":        func(tr *transfer) { tr.failed = true },
		"the write is about to fail":  func(tr *transfer) { tr.writing = true },
		"no write since the response": func(*transfer) {},
	}
	for name, set := range states {
		if name == "the write is about to fail" && runtime.GOOS != "linux" {
			continue // isReset knows the state of a socket on Linux only
		}
		c := resetPair(t)
		tr := c.bind(false)
		c.state = connActive
		set(tr)
		_, err := c.Read(make([]byte, 16))
		if want := name != "no write since the response"; errors.Is(err, errReset) != want || !want && err != io.EOF {
			t.Errorf("%s: got error %v", name, err)
		}
	}
}

// A stream that ends as it should, with the other direction open, must stay a whole response while
// the upload is still being written.
func TestEndOfAStreamIsNoReset(t *testing.T) {
	l, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if err := server.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	c := newConn(client)
	tr := c.bind(false)
	c.state = connActive
	tr.writing = true
	if _, err := c.Read(make([]byte, 16)); err != io.EOF {
		t.Errorf("got error %v, want the end of the stream", err)
	}
}
