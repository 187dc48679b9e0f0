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

// behaviour is what a server does with the next requests.
type behaviour int

const (
	answer     behaviour = iota // runs and answers
	shed                        // refuses with the proof that nothing ran
	hangUp                      // reads the request and closes
	runAndCut                   // runs and closes
	runAndHalf                  // runs and breaks its answer off
	runAndMore                  // runs, answers, and sends a forged answer after it
	runAndLate                  // runs, and answers when it is released
	behaviours
)

// server is a backend server over in-memory connections.
type server struct {
	name   string
	oracle *oracle

	mu      sync.Mutex
	acts    behaviour
	release chan struct{}
}

func newServer(name string, o *oracle) *server {
	return &server{name: name, oracle: o, release: make(chan struct{})}
}

func (s *server) set(b behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acts = b
}

// releaseLate lets the late answers go.
func (s *server) releaseLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.release)
	s.release = make(chan struct{})
}

// serve answers the requests of one connection until it ends.
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

// handle answers one request and reports whether the connection goes on.
func (s *server) handle(c net.Conn, r *http.Request) bool {
	s.mu.Lock()
	acts, release := s.acts, s.release
	s.mu.Unlock()
	if acts == shed {
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nLoad-Shed: not-run\r\nContent-Length: 0\r\n\r\n")
		return r.ContentLength == 0
	}
	if r.Header.Get("Expect") != "" {
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || acts == hangUp {
		return false
	}
	key := attemptKey{r.Header.Get(wire.HeaderOperation), r.Header.Get(wire.HeaderCaller), r.URL.Path + string(body)}
	s.oracle.run(key)
	text := strings.Join([]string{key.operation, key.caller, key.request}, "|")
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	switch acts {
	case runAndCut:
		return false
	case runAndHalf:
		io.WriteString(c, whole[:len(whole)-7])
		return false
	case runAndMore:
		io.WriteString(c, whole+"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged")
		return true
	case runAndLate:
		<-release
	}
	_, err = io.WriteString(c, whole)
	return err == nil
}
