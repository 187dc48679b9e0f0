package small

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is a stand-in of one backend server that behaves soundly: it checks X-Expect-Instance, runs
// a request for its service time and answers it whole.
type Instance struct {
	ID, Service, Zone string
	Slots             int
	// Work is the service time of a request.
	Work time.Duration
	// BodyBytes is the size of the answers.
	BodyBytes int
	// NoLength is set if the answers do not announce their length.
	NoLength bool
	// OnRun and OnEnd are called when a request begins to run and when its answer was written. They may
	// be nil.
	OnRun func(id, instance string)
	OnEnd func(id, instance string)

	mu      sync.Mutex
	running int
}

// Start listens on loopback and registers the instance in the store.
func (s *Instance) Start(d *Deployment) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	d.Store.PutJSON("keyed.servers", s.ID, map[string]any{
		"address": l.Addr().String(), "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": s.Service, "zone": s.Zone, "version": "v1", "slots": s.Slots},
		"status": map[string]any{"state": "ready", "sequence": 1, "warmupLeft": "0s"},
	})
	return nil
}

func (s *Instance) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", min(s.running, s.Slots), max(0, s.running-s.Slots), s.Slots)
}

func (s *Instance) add(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}

// ServeHTTP implements http.Handler.
func (s *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", s.ID)
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Load", s.load())
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.OnRun != nil {
		s.OnRun(id, s.ID)
	}
	s.add(1)
	defer s.add(-1)
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		return // the connection was closed
	}
	h.Set("X-Instance-Load", s.load())
	h.Set("X-Server-Stamp", "stamp-"+id)
	if !s.NoLength {
		h.Set("Content-Length", strconv.Itoa(s.BodyBytes))
	}
	piece := make([]byte, 16<<10)
	for left := s.BodyBytes; left > 0; left -= len(piece) {
		piece = piece[:min(left, len(piece))]
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
	if s.OnEnd != nil {
		s.OnEnd(id, s.ID)
	}
}
