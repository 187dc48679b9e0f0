// Package logservice is an in-memory fake of the platform's log service and VM
// list, with fault injection. Tests and the quick start use it; it is not shipped.
//
// Besides the platform's paths it serves:
//
//	PUT  /admin/vms     replaces the VM list, a JSON array of fleet.VM
//	PUT  /admin/faults  replaces all Faults
//	GET  /admin/faults  returns the active Faults
//	POST /admin/expire  {"stream":"config","before":10} drops older records
package logservice

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

const (
	// maxWait bounds the time that one long poll waits.
	maxWait = time.Minute
	// maxRecordBytes bounds one appended record.
	maxRecordBytes = 8 << 20
	// maxVMVersions bounds the stored versions of the VM list, which serve VMLagMs.
	maxVMVersions = 1000
)

// Server is the fake platform. It is an http.Handler and safe for concurrent use.
type Server struct {
	mux *http.ServeMux

	mu      sync.Mutex // guards the fields below
	streams map[string]*stream
	faults  Faults
	vms     []vmVersion
	changed chan struct{} // closed and replaced on each change
}

// vmVersion is the VM list as it was set at a time.
type vmVersion struct {
	since time.Time
	vms   []fleet.VM
}

// New returns a healthy server with empty streams and an empty VM list.
func New() *Server {
	s := &Server{
		mux:     http.NewServeMux(),
		streams: map[string]*stream{},
		vms:     []vmVersion{{vms: []fleet.VM{}}},
		changed: make(chan struct{}),
	}
	s.mux.HandleFunc("POST /streams/{stream}/records", s.append)
	s.mux.HandleFunc("GET /streams/{stream}/records", s.read)
	s.mux.HandleFunc("GET /vms", s.listVMs)
	s.mux.HandleFunc("PUT /admin/vms", s.putVMs)
	s.mux.HandleFunc("PUT /admin/faults", s.putFaults)
	s.mux.HandleFunc("GET /admin/faults", s.getFaults)
	s.mux.HandleFunc("POST /admin/expire", s.expire)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetVMs replaces the VM list.
func (s *Server) SetVMs(vms []fleet.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, vmVersion{since: time.Now(), vms: vms})
	if len(s.vms) > maxVMVersions {
		s.vms = s.vms[1:]
	}
}

// SetFaults replaces the faults. They also apply to long polls in progress.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWaiters()
}

// Expire drops the records of a stream before an offset.
func (s *Server) Expire(name string, before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).dropBefore(before)
}

// notifyWaiters wakes the long polls, which check their conditions again. The caller
// holds mu.
func (s *Server) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// stream returns the stream of that name and creates it if necessary. The caller
// holds mu.
func (s *Server) stream(name string) *stream {
	if s.streams[name] == nil {
		s.streams[name] = &stream{}
	}
	return s.streams[name]
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !json.Valid(data) {
		http.Error(w, "the record is not JSON", http.StatusBadRequest)
		return
	}
	if !s.admit(w, r) {
		return
	}
	offset, lost := s.appendRecord(r.PathValue("stream"), data)
	if lost {
		closeConnection(w)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Offset int64 `json:"offset"`
	}{offset})
}

func (s *Server) appendRecord(name string, data json.RawMessage) (offset int64, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = s.stream(name).append(data)
	s.notifyWaiters()
	if s.faults.LoseAppendResponses > 0 {
		s.faults.LoseAppendResponses--
		return offset, true
	}
	return offset, false
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if !s.admit(w, r) {
		return
	}
	name := r.PathValue("stream")
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWait)
	s.waitForRecord(r, name, from, wait)
	f := s.currentFaults()
	if !s.admitWithFaults(w, r, f, r.Header.Get(logservice.HeaderClient)) {
		return
	}
	page, oldest := s.page(name, from)
	if from < oldest {
		writeJSON(w, http.StatusGone, struct {
			Oldest int64 `json:"oldest"`
		}{oldest})
		return
	}
	writeJSON(w, http.StatusOK, f.distort(page))
}

// waitForRecord returns when the stream has a record at that offset, when the
// platform goes down or comes back up, when the client is disconnected by a fault,
// when wait has passed or when the client gives up.
func (s *Server) waitForRecord(r *http.Request, name string, from int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	before := s.currentFaults()
	for {
		s.mu.Lock()
		ready := s.stream(name).next() > from || s.faults.Down != before.Down ||
			includesClient(s.faults.Disconnected, r.Header.Get(logservice.HeaderClient))
		changed := s.changed
		s.mu.Unlock()
		if ready {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) page(name string, from int64) (logservice.Page, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	return st.page(from), st.oldest
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	data, err := json.Marshal(s.laggedVMs(time.Now()))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if s.currentFaults().OmitVMListETag {
		w.Write(data)
		return
	}
	tag := fmt.Sprintf("\"%x\"", xxhash.Sum64(data))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Write(data)
}

func (s *Server) laggedVMs(now time.Time) []fleet.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := now.Add(-time.Duration(s.faults.VMLagMs) * time.Millisecond)
	for i := len(s.vms) - 1; i > 0; i-- {
		if !s.vms[i].since.After(asOf) {
			return s.vms[i].vms
		}
	}
	return s.vms[0].vms
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
