// Package logservice is a stand-in for the platform's log service and VM list,
// kept in memory, with faults on command. It serves tests and the quick start
// and is not shipped.
//
// Besides the platform's paths it serves:
//
//	PUT  /admin/vms     the VM list, a JSON array of fleet.VM
//	PUT  /admin/faults  Faults; replaces all of them
//	GET  /admin/faults  the faults in force
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
	// maxWait bounds the wait of one long poll.
	maxWait = time.Minute
	// maxRecordBytes bounds one appended record.
	maxRecordBytes = 8 << 20
	// maxVMVersions bounds the kept earlier VM lists.
	maxVMVersions = 1000
)

// Server is the stand-in; it is an http.Handler and safe for concurrent use.
type Server struct {
	mux *http.ServeMux

	mu      sync.Mutex // guards the fields below
	streams map[string]*stream
	faults  Faults
	vms     []vmVersion
	changed chan struct{} // closed and replaced on each change
}

// vmVersion is the VM list from some time on.
type vmVersion struct {
	since time.Time
	vms   []fleet.VM
}

// New returns a healthy stand-in with empty streams and an empty VM list.
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

// SetFaults replaces the faults; requests that wait for records meet them too.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Expire drops the records of a stream before an offset.
func (s *Server) Expire(name string, before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).dropBefore(before)
}

// wake ends the waits of long polls; the caller holds mu.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// stream returns the stream of that name; the caller holds mu.
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
	if !s.allow(w, r) {
		return
	}
	offset, lost := s.appendRecord(r.PathValue("stream"), data)
	if lost {
		hangUp(w)
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
	s.wake()
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
	if !s.allow(w, r) {
		return
	}
	name := r.PathValue("stream")
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWait)
	s.await(r, name, from, wait)
	f := s.currentFaults()
	if !s.passes(w, r, f, r.Header.Get(logservice.HeaderClient)) {
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

// await returns when the stream has a record at that offset, the faults change
// or the wait is over.
func (s *Server) await(r *http.Request, name string, from int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	before := s.currentFaults()
	for {
		s.mu.Lock()
		ready := s.stream(name).next() > from || s.faults.Down != before.Down ||
			names(s.faults.Disconnected, r.Header.Get(logservice.HeaderClient))
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
	if !s.allow(w, r) {
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
