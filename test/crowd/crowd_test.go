package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/proctest"
)

const (
	dialTimeout = 2 * time.Second
	// sendTimeout bounds what each caller of a crowd sends before it stays silent.
	sendTimeout = 3 * time.Second
	// sampleInterval is how often the open descriptors are counted.
	sampleInterval = 10 * time.Millisecond
	// slowInterval is the time between two pieces of a slow caller.
	slowInterval = 100 * time.Millisecond
	// maxDials bounds the connections that are opened at once.
	maxDials = 64
)

// crowd is a number of callers outside the limits, whose connections stay open until the end of the test.
type crowd struct {
	mu      sync.Mutex // guards conns
	conns   []net.Conn
	sending sync.WaitGroup
	slow    sync.WaitGroup // those that send or read slowly until the end of the test
	dials   chan struct{}
}

// join adds n callers, which connect to the address and call send. An error only means that the
// process refused the caller, which it may.
func (c *crowd) join(address string, n int, send func(i int, conn net.Conn)) {
	for i := range n {
		c.sending.Go(func() {
			c.dials <- struct{}{}
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			<-c.dials
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			send(i, conn)
		})
	}
}

func (c *crowd) close() {
	c.mu.Lock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.mu.Unlock()
	c.slow.Wait()
}

// watchDescriptors counts the open descriptors of a process until the returned function is called,
// which returns the most that were open.
func watchDescriptors(pid int) (peak func() int) {
	stop, result := make(chan struct{}), make(chan int)
	go func() {
		most := 0
		for {
			// A process that has ended is reported by the test itself.
			if n, err := proctest.OpenDescriptors(pid); err == nil {
				most = max(most, n)
			}
			select {
			case <-stop:
				result <- most
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() int { close(stop); return <-result }
}

// check sends a crowd to a process and checks what must hold while the crowd stays.
func check(t *testing.T, s *site, descriptors int64, send func(*crowd, *site)) {
	t.Helper()
	c := &crowd{dials: make(chan struct{}, maxDials)}
	defer c.close()
	peakDescriptors := watchDescriptors(s.pid)
	send(c, s)
	c.sending.Wait()
	for name, try := range s.ordinary {
		var failed error
		if err := proctest.Until(t.Context(), patience, func() bool { failed = try(); return failed == nil }); err != nil {
			t.Errorf("%s is not answered: %v", name, failed)
		}
	}
	most := peakDescriptors()
	if limit := int(descriptors) - spareDescriptors; most > limit {
		t.Errorf("%d descriptors open, want at most %d", most, limit)
	}
	memory, err := proctest.PeakMemory(s.pid)
	if err != nil {
		t.Errorf("the process does not run: %v", err)
	}
	if memory > memoryMB<<20 {
		t.Errorf("%d MB of memory, want at most %d", memory>>20, memoryMB)
	}
	select {
	case <-s.ended:
		t.Error("the process has ended")
	default:
	}
	t.Logf("most memory %d MB, most descriptors %d", memory>>20, most)
	if t.Failed() {
		t.Log(s.logEnd())
	}
}

// spareDescriptors is how many descriptors of the VM a process leaves free.
const spareDescriptors = 16

// head returns the start of a request, without the empty line at its end.
func (p place) head(method string, fields ...string) string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: crowd\r\nStandin-Answer-Bytes: %d\r\n", method, p.path, p.host, responseBytes)
	for _, field := range fields {
		h += field + "\r\n"
	}
	return h
}

// shortFields returns about that many bytes of fields with different short names.
func shortFields(size int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		for n := i; ; n /= len(digits) {
			b.WriteByte(digits[n%len(digits)])
			if n < len(digits) {
				break
			}
		}
		b.WriteString(":\n")
	}
	return b.String()
}

// write ignores the error, as a caller that is refused early may not be able to send everything.
func write(conn net.Conn, data string) { _, _ = io.WriteString(conn, data) }

// drip sends a byte at a time, slowly, until the connection fails.
func (c *crowd) drip(conn net.Conn, data string) {
	_ = conn.SetWriteDeadline(time.Time{})
	c.slow.Go(func() {
		for i := range data {
			if _, err := conn.Write([]byte{data[i]}); err != nil {
				return
			}
			time.Sleep(slowInterval)
		}
	})
}

// sip reads a byte at a time, slowly, until the connection fails.
func (c *crowd) sip(conn net.Conn) {
	c.slow.Go(func() {
		piece := make([]byte, 1)
		for {
			if _, err := conn.Read(piece); err != nil {
				return
			}
			time.Sleep(slowInterval)
		}
	})
}

const (
	fewDescriptors  = 256
	manyDescriptors = 1024
	mb              = 1 << 20
)

// kinds are the crowds, each with the descriptors of the VM that it meets.
var kinds = []struct {
	name        string
	descriptors int64
	send        func(*crowd, *site)
}{
	{"heads that stop", fewDescriptors, func(c *crowd, s *site) {
		for _, p := range s.places {
			starts := []string{"", "GET /", p.head("GET")}
			c.join(p.address, 120, func(i int, conn net.Conn) { write(conn, starts[i%len(starts)]) })
		}
		c.join(s.peers, 240, func(i int, conn net.Conn) { write(conn, []string{"", "chest", "chestnut\x01"}[i%3]) })
	}},
	{"bodies of one piece that stop short", manyDescriptors, func(c *crowd, s *site) {
		whole := strings.Repeat("x", mb-1)
		for _, p := range s.places {
			c.join(p.address, 80, func(_ int, conn net.Conn) {
				if p.upload {
					write(conn, p.head(p.method(), fmt.Sprint("Content-Length: ", mb))+"\r\n"+whole)
				} else {
					write(conn, p.head("POST", "Content-Length: 200000")+"\r\n"+whole[:199999])
				}
			})
		}
	}},
	{"bodies of small pieces that stop short", manyDescriptors, func(c *crowd, s *site) {
		piece := strings.Repeat("x", 1000)
		for _, p := range s.places {
			c.join(p.address, 80, func(_ int, conn net.Conn) {
				pieces, size := 1000, 1_000_001
				if !p.upload {
					pieces, size = 200, 200_001
				}
				write(conn, p.head(p.method(), fmt.Sprint("Content-Length: ", size))+"\r\n")
				for range pieces {
					write(conn, piece)
				}
			})
		}
	}},
	{"chunked bodies that stop short", manyDescriptors, func(c *crowd, s *site) {
		chunk := "7d0\r\n" + strings.Repeat("x", 2000) + "\r\n"
		for _, p := range s.places {
			c.join(p.address, 80, func(_ int, conn net.Conn) {
				write(conn, p.head(p.method(), "Transfer-Encoding: chunked")+"\r\n")
				chunks := 500
				if !p.upload {
					chunks = 100
				}
				for range chunks {
					write(conn, chunk)
				}
			})
		}
	}},
	{"bodies that are announced and do not come", manyDescriptors, func(c *crowd, s *site) {
		for _, p := range s.places {
			c.join(p.address, 60, func(_ int, conn net.Conn) {
				write(conn, p.head(p.method(), fmt.Sprint("Content-Length: ", 4*mb))+"\r\n")
			})
		}
	}},
	{"bodies far over the limit", manyDescriptors, func(c *crowd, s *site) {
		piece := strings.Repeat("x", 64<<10)
		lengths := []string{"Content-Length: 99999999999", "Transfer-Encoding: chunked"}
		for _, p := range s.places {
			c.join(p.address, 12, func(i int, conn net.Conn) {
				write(conn, p.head(p.method(), lengths[i%2])+"\r\n")
				for range 1600 { // 100 MB
					if i%2 == 1 {
						write(conn, "10000\r\n")
					}
					if _, err := io.WriteString(conn, piece); err != nil {
						return
					}
					if i%2 == 1 {
						write(conn, "\r\n")
					}
				}
			})
		}
	}},
	{"unfinished heads of many short fields", manyDescriptors, func(c *crowd, s *site) {
		for _, p := range s.places {
			small, large := shortFields(50<<10), shortFields(900<<10)
			c.join(p.address, 40, func(i int, conn net.Conn) {
				write(conn, p.head("GET"))
				if i%4 == 0 {
					write(conn, large)
				} else {
					write(conn, small)
				}
			})
		}
	}},
	{"legal heads of many short fields", manyDescriptors, func(c *crowd, s *site) {
		for _, p := range s.places {
			fields := shortFields(16<<10 - 400)
			c.join(p.address, 100, func(_ int, conn net.Conn) {
				write(conn, p.head(p.method(), "Content-Length: 100000")+fields+"\r\n")
			})
		}
	}},
	{"pipelined requests whose responses are not read", manyDescriptors, func(c *crowd, s *site) {
		for _, p := range s.places {
			requests := strings.Repeat(p.head("GET")+"\r\n", 500)
			c.join(p.address, 100, func(_ int, conn net.Conn) { write(conn, requests) })
		}
	}},
	{"a pipelined head of many short fields", manyDescriptors, func(c *crowd, s *site) {
		for _, p := range s.places {
			requests := p.head("GET") + "\r\n" + p.head("GET") + shortFields(3500)
			c.join(p.address, 100, func(_ int, conn net.Conn) { write(conn, requests) })
		}
	}},
	{"slow senders and slow readers", fewDescriptors, func(c *crowd, s *site) {
		for _, p := range s.places {
			c.join(p.address, 90, func(i int, conn net.Conn) {
				switch i % 3 {
				case 0:
					c.drip(conn, p.head("GET")+shortFields(1000))
				case 1:
					write(conn, p.head(p.method(), "Content-Length: 100000")+"\r\n")
					c.drip(conn, strings.Repeat("x", 1000))
				case 2:
					_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
					write(conn, p.head("GET")+"\r\n")
					c.sip(conn)
				}
			})
		}
	}},
	{"messages between entries that stop short", manyDescriptors, func(c *crowd, s *site) {
		// A gob message: the negated number of bytes of its length, its length, its content.
		message := append([]byte("chestnut\x01\xfd\x98\x96\x80"), bytes.Repeat([]byte{0}, 9_900_000)...)
		c.join(s.peers, 30, func(_ int, conn net.Conn) { write(conn, string(message)) })
		// Lengths alone, and messages that are too large.
		c.join(s.peers, 60, func(i int, conn net.Conn) {
			write(conn, "chestnut\x01"+[]string{"\xfd\x98\x96\x80", "\xfc\x3f\xff\xff\xff"}[i%2])
		})
	}},
}

// method returns the method of a request with a body.
func (p place) method() string {
	if strings.HasPrefix(p.path, "/scans") {
		return "PUT"
	}
	return "POST"
}

// TestCrowdAtTheGateway guards against callers outside the limits that take the memory or the
// descriptors of the users' platform's program from the others.
func TestCrowdAtTheGateway(t *testing.T) {
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) { check(t, startGateway(t, memoryMB, k.descriptors), k.descriptors, k.send) })
	}
}

// TestCrowdAtTheDaemon guards against the same at the product's own program.
func TestCrowdAtTheDaemon(t *testing.T) {
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) { check(t, startDaemon(t, k.descriptors), k.descriptors, k.send) })
	}
}
