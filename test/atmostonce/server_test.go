package atmostonce_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// behaviour selects how a server handles the next requests.
type behaviour int

const (
	respond         behaviour = iota // runs the request and responds
	shed                             // refuses with the header that proves that nothing ran
	closeBeforeRun                   // reads the request and closes the connection
	runThenClose                     // runs the request and closes the connection
	runThenTruncate                  // runs the request and truncates the response
	runThenExtra                     // runs the request, responds, and sends an unsolicited response
	runThenDelay                     // runs the request and responds when releaseDelayed is called
	behaviourCount
)

// server is a backend server over in-memory connections.
type server struct {
	name   string
	oracle *oracle

	mu        sync.Mutex
	behaviour behaviour
	release   chan struct{}
}

func newServer(name string, o *oracle) *server {
	return &server{name: name, oracle: o, release: make(chan struct{})}
}

func (s *server) setBehaviour(b behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// releaseDelayed sends the responses that runThenDelay holds back.
func (s *server) releaseDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.release)
	s.release = make(chan struct{})
}

// serve handles the requests of one connection until it closes.
func (s *server) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if !s.handle(c, r) {
			return
		}
	}
}

// handle handles one request and reports whether the connection stays open.
func (s *server) handle(c net.Conn, r *http.Request) bool {
	s.mu.Lock()
	b, release := s.behaviour, s.release
	s.mu.Unlock()
	if b == shed {
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nLoad-Shed: not-run\r\nContent-Length: 0\r\n\r\n")
		return r.ContentLength == 0
	}
	if r.Header.Get("Expect") != "" {
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || b == closeBeforeRun {
		return false
	}
	key := requestKey{r.Header.Get(wire.HeaderOperation), r.Header.Get(wire.HeaderCaller), r.URL.Path + string(body)}
	s.oracle.recordRun(key)
	text := strings.Join([]string{key.operation, key.caller, key.request}, "|")
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	switch b {
	case runThenClose:
		return false
	case runThenTruncate:
		io.WriteString(c, response[:len(response)-7])
		return false
	case runThenExtra:
		io.WriteString(c, response+"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged")
		return true
	case runThenDelay:
		<-release
	}
	_, err = io.WriteString(c, response)
	return err == nil
}
