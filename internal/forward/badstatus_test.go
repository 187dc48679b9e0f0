package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// A status outside 200 to 599 is no answer to a request. Passed on, 000 and 099 make net/http's
// handler panic, and a caller that gets one can't tell what it means.
func TestStatusOutOfRangeIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		s := startRawServer(t, respondWith("HTTP/1.1 "+status+" Trouble\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"))
		body, failure := sendOne(t, newDialectForwarder(t), s)
		switch {
		case failure == nil:
			t.Errorf("status %s: got a response with body %q, want none", status, body)
		case failure.Outcome != outcome.Unknown || failure.Reason != outcome.ReasonWrongAnswer:
			t.Errorf("status %s: got %v, want an unknown outcome for a wrong answer", status, failure)
		}
	}
}

// startEarlyServer answers each request when it has read the header, and never reads the body. It
// returns its address.
func startEarlyServer(t *testing.T, answer string, after func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			// A small buffer makes the sender's writes block, as they do on a narrow link.
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			go func() {
				if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer)
				after(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// uploadTo sends a request with a body of that many bytes and reads the response.
func uploadTo(t *testing.T, address string, size int, chunked bool) (body string, err error) {
	t.Helper()
	f := New(Options{DisableExpectContinue: true, MaxBufferedResponseBytes: 256 << 10, CorrelatedResponses: true})
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	s := &rawServer{}
	vm := s.vmAt(address)
	length := int64(size)
	if chunked {
		length = -1
	}
	r := newRequest(http.MethodPost, "/", length)
	resp, failure := f.Send(ctx, vm, ordersMatch(true), r, strings.NewReader(strings.Repeat("x", size)))
	if failure != nil {
		return "", failure
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// A server may answer a long upload at once with a whole response and not read the rest. The
// response must arrive, not the deadline.
func TestWholeResponseBeforeTheEndOfTheUpload(t *testing.T) {
	const uploadBytes = 4 << 20 // more than the kernel buffers
	for _, chunked := range []bool{false, true} {
		for name, answer := range map[string]string{
			"with a length": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
			"in chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		} {
			release := make(chan struct{})
			address := startEarlyServer(t, answer, func(c *net.TCPConn) {
				<-release
				_ = c.Close()
			})
			began := time.Now()
			body, err := uploadTo(t, address, uploadBytes, chunked)
			close(release)
			if err != nil || body != "done" {
				t.Errorf("%s, upload chunked %v: got %q, error %v after %v, want the response", name, chunked, body, err, time.Since(began))
			}
		}
	}
}

// A response without a length that is reset on the way is not complete, also while the upload is
// still being written.
func TestResponseThatIsResetDuringTheUploadIsIncomplete(t *testing.T) {
	const uploadBytes = 4 << 20
	for _, size := range []int{16, 600 << 10} {
		answer := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("p", size)
		address := startEarlyServer(t, answer, func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		})
		if body, err := uploadTo(t, address, uploadBytes, false); err == nil {
			t.Errorf("%d bytes before the reset: got a complete response of %d bytes", size, len(body))
		}
	}
}
