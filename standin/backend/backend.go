// Package backend is a fake backend server: a few slots, a bounded queue, a load
// report on each response, load shedding, and fault injection.
//
// It is a test program and is not shipped. A Server is an http.Handler: tests use
// it in process, and standin/cmd/standin serves it over TCP.
package backend

import (
	"net/http"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// Headers that only the stand-in supports.
const (
	// HeaderServiceTime sets the service time of one request, as a Go duration.
	HeaderServiceTime = "Standin-Service-Time"
	// HeaderResponseBytes requests that many filler bytes in the response body.
	HeaderResponseBytes = "Standin-Answer-Bytes"
	// HeaderRequest is echoed, so that a caller can check that a response belongs to
	// its request.
	HeaderRequest = "Standin-Request"
)

const (
	defaultSlots       = 3
	defaultQueueLength = 8
)

// Options configure a Server.
type Options struct {
	// Name is the backend server's name in its responses.
	Name string
	// Slots is how many requests run at a time; zero means 3.
	Slots int
	// QueueLength is how many more may wait; zero means 8, negative means none.
	QueueLength int
	// ServiceTime is the service time of requests without HeaderServiceTime.
	ServiceTime time.Duration
}

// Server is one backend server. It is safe for concurrent use.
type Server struct {
	name        string
	serviceTime time.Duration
	slots       *slots
	runs        *runCounter
	mux         *http.ServeMux

	mu     sync.Mutex
	faults Faults
}

// New returns a healthy backend server.
func New(opts Options) *Server {
	if opts.Slots == 0 {
		opts.Slots = defaultSlots
	}
	if opts.QueueLength == 0 {
		opts.QueueLength = defaultQueueLength
	}
	s := &Server{
		name:        opts.Name,
		serviceTime: opts.ServiceTime,
		slots:       newSlots(opts.Slots, max(opts.QueueLength, 0)),
		runs:        newRunCounter(),
		mux:         http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.mux.HandleFunc("GET /healthz", s.serveLoad)
	s.mux.HandleFunc("GET /admin/runs", s.serveRuns)
	s.mux.HandleFunc("POST /admin/faults", s.serveFaults)
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// ServeHTTP serves callers' requests and the load and admin endpoints.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns a copy of the counts so far.
func (s *Server) Runs() Runs { return s.runs.snapshot() }

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// loadReport returns the value of the load report header.
func (s *Server) loadReport() string {
	f := s.currentFaults()
	load := s.slots.load()
	switch f.FalseLoad {
	case FalseIdle:
		load.inflight, load.queue = 0, 0
	case FalseBusy:
		load.inflight, load.queue = load.slots, load.queueLength
	}
	return load.format(f.Draining)
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(wire.HeaderLoadReport, s.loadReport())
	w.WriteHeader(http.StatusOK)
}
