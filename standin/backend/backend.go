// Package backend is a small stand-in for a backend server: a few slots, a
// bounded queue, load reports on each answer, shedding, and faults on command.
//
// It is a test program and is not shipped. A Server is an http.Handler, so that
// tests use it in process and standin/cmd/standin serves it over TCP.
package backend

import (
	"net/http"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// Headers that only the stand-in knows.
const (
	// HeaderServiceTime sets the service time of one request, as a Go duration.
	HeaderServiceTime = "Standin-Service-Time"
	// HeaderAnswerBytes asks for that many filler bytes in the answer's body.
	HeaderAnswerBytes = "Standin-Answer-Bytes"
	// HeaderRequest is echoed, so that a caller can tell its answer from others.
	HeaderRequest = "Standin-Request"
)

const (
	defaultSlots       = 3
	defaultQueueLength = 8
)

// Options set a Server up.
type Options struct {
	// Name is the backend server's name in its answers.
	Name string
	// Slots is how many requests run at a time; zero means 3.
	Slots int
	// QueueLength is how many more may wait; zero means 8, negative means none.
	QueueLength int
	// ServiceTime is the time one request takes where it names none itself.
	ServiceTime time.Duration
}

// Server is one backend server. It is safe for concurrent use.
type Server struct {
	name        string
	serviceTime time.Duration
	slots       *slots
	runs        *runs
	mux         *http.ServeMux

	mu     sync.Mutex
	faults Faults
}

// New returns a ready backend server.
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
		runs:        newRuns(),
		mux:         http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.mux.HandleFunc("GET /healthz", s.serveLoad)
	s.mux.HandleFunc("GET /admin/runs", s.serveRuns)
	s.mux.HandleFunc("POST /admin/faults", s.serveFaults)
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// ServeHTTP serves callers' requests, the load endpoints and the admin commands.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns a copy of what the server has run so far.
func (s *Server) Runs() Runs { return s.runs.snapshot() }

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// report returns the value of the load report header.
func (s *Server) report() string {
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
	w.Header().Set(wire.HeaderLoadReport, s.report())
	w.WriteHeader(http.StatusOK)
}
