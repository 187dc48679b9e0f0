package peer

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
)

const (
	// maxConns bounds the concurrent connections of a Server.
	maxConns = 1024
	// maxCallsPerConn bounds the unanswered calls of one connection.
	maxCallsPerConn = 512
)

// ErrServerClosed is returned by Serve after Close.
var ErrServerClosed = errors.New("peer: server closed")

// Server serves the calls of other entries. It is safe for concurrent use.
type Server struct {
	rpc     *rpc.Server
	traffic Traffic
	// maxMessage is the size of the largest message that is received, in bytes.
	maxMessage uint64

	mu        sync.Mutex // guards the fields below
	listeners []net.Listener
	conns     map[net.Conn]struct{}
	closed    bool
	handlers  sync.WaitGroup
}

// NewServer returns a server without receivers.
func NewServer() *Server {
	return &Server{rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}, maxMessage: MaxMessageBytes}
}

// WithMaxMessage sets the size in bytes of the largest message that is received, instead of
// MaxMessageBytes. It must be called before Serve.
func (s *Server) WithMaxMessage(bytes uint64) *Server {
	s.maxMessage = bytes
	return s
}

// Register makes the receiver's methods callable as "name.Method"; it follows
// the rules of net/rpc. Register before Serve.
func (s *Server) Register(name string, receiver any) error {
	return s.rpc.RegisterName(name, receiver)
}

// Traffic returns the byte counts of all connections.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// Serve accepts connections and serves calls until Close, then returns
// ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		l.Close()
		return ErrServerClosed
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return s.acceptError(err)
		}
		if !s.addConn(conn) {
			conn.Close()
			continue
		}
		go s.serveConn(conn)
	}
}

// Close closes all listeners and connections and waits for the goroutines of the
// connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for _, l := range s.listeners {
		l.Close()
	}
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.handlers.Wait()
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.handlers.Done()
	defer s.removeConn(conn)
	if handshake(conn) != nil {
		return
	}
	s.rpc.ServeCodec(newServerCodec(conn, &s.traffic, s.maxMessage))
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, l)
	return !s.closed
}

func (s *Server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConns {
		return false
	}
	s.conns[conn] = struct{}{}
	s.handlers.Add(1)
	return true
}

func (s *Server) removeConn(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) acceptError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrServerClosed
	}
	return err
}
