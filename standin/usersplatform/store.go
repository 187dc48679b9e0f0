// Package usersplatform fakes the users' platform in tests: its store and its
// backend servers. They follow the published protocol and can inject the faults
// that the protocol allows.
package usersplatform

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxPageItems bounds the records in one page of a read of the newest records.
const maxPageItems = 500

// record is one record of a topic.
type record struct {
	key    string
	value  []byte
	offset int64
	at     time.Time
}

// topic is partition 0 of a topic that keeps the newest record of each key.
type topic struct {
	records           []record // those that reads return
	history           []record // all, also expired ones
	next              int64
	newest            map[string]record
	keysByFirstAppend []string
}

// Store is the platform's store. Tests write to it directly; the load balancer
// reaches it through endpoints, each with its own faults. It is safe for concurrent
// use.
type Store struct {
	mu      sync.Mutex // guards the fields below
	topics  map[string]*topic
	changed chan struct{} // closed at the next append
	calls   map[string]int
	epoch   int // number of restores
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// Put appends a record and returns its offset; an empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(name, key, value)
}

// put is Put for a caller that holds mu.
func (s *Store) put(name, key string, value []byte) int64 {
	t := s.topic(name)
	r := record{key: key, value: value, offset: t.next, at: time.Now()}
	t.add(r)
	t.records = append(t.records, r)
	s.wake()
	return r.offset
}

// add appends a record to the history and to the newest records.
func (t *topic) add(r record) {
	t.next = r.offset + 1
	t.history = append(t.history, r)
	if _, known := t.newest[r.key]; !known {
		t.keysByFirstAppend = append(t.keysByFirstAppend, r.key)
	}
	t.newest[r.key] = r
}

// wake ends the waits of reads. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Restore replaces the store by a copy of itself from that time: what was appended since is
// lost, and its offsets are given out again. The writers have to write again what the copy
// lacks.
func (s *Store) Restore(copied time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	for name, old := range s.topics {
		t := &topic{newest: map[string]record{}}
		for _, r := range old.history {
			if !r.at.After(copied) {
				t.add(r)
			}
		}
		for _, r := range old.records {
			if !r.at.After(copied) {
				t.records = append(t.records, r)
			}
		}
		s.topics[name] = t
	}
	s.wake()
}

// Has reports whether the newest record of the key has that value.
func (s *Store) Has(name, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Equal(s.topic(name).newest[key].value, value)
}

// PutJSON appends a record with a JSON value and returns its offset.
func (s *Store) PutJSON(name, key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.Put(name, key, data)
}

// Expire deletes the records of a topic, so that reads from older offsets get 410.
// The newest record of each key is retained.
func (s *Store) Expire(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).records = nil
}

// Calls returns the number of calls by path and topic ("PATH TOPIC").
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for name, n := range s.calls {
		calls[name] = n
	}
	return calls
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]record{}}
		s.topics[name] = t
	}
	return t
}

// Fault is an injected fault of an endpoint.
type Fault string

// Faults of an endpoint.
const (
	// None serves calls.
	None Fault = ""
	// Unavailable responds with 503.
	Unavailable Fault = "busy"
	// TooManyRequests responds with 429.
	TooManyRequests Fault = "many"
	// Reset resets the connection.
	Reset Fault = "reset"
	// Hang never responds.
	Hang Fault = "silent"
	// LoseResponse executes the call and resets the connection.
	LoseResponse Fault = "lost"
	// IgnoreAppends does not wake a long poll on appends: it waits until its timeout.
	IgnoreAppends Fault = "deaf"
)

// Endpoint is a listening address of the store with its own faults.
type Endpoint struct {
	// Address is the address on which the endpoint listens.
	Address string

	store  *Store
	server *http.Server
	mu     sync.Mutex // guards the fields below
	fault  Fault
	delay  time.Duration
}

// NewEndpoint starts an endpoint on a free loopback port.
func (s *Store) NewEndpoint() (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{Address: l.Addr().String(), store: s}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// Close closes the endpoint and its connections.
func (e *Endpoint) Close() { _ = e.server.Close() }

// SetFault sets the fault of the endpoint and a delay of each call.
func (e *Endpoint) SetFault(f Fault, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault, e.delay = f, delay
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	fault, delay := e.fault, e.delay
	e.mu.Unlock()
	time.Sleep(delay)
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case Reset:
		resetConnection(w)
	case Hang:
		<-r.Context().Done()
	case LoseResponse:
		e.store.serve(discardResponse{http.Header{}}, r, nil)
		resetConnection(w)
	case IgnoreAppends:
		never := make(chan struct{})
		e.store.serve(w, r, never)
	default:
		e.store.serve(w, r, nil)
	}
}

// discardResponse is a ResponseWriter that discards the response.
type discardResponse struct{ header http.Header }

func (e discardResponse) Header() http.Header         { return e.header }
func (e discardResponse) Write(p []byte) (int, error) { return len(p), nil }
func (e discardResponse) WriteHeader(int)             {}

// resetConnection closes the connection with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// serve executes a call. changed wakes a long poll; if it is nil, the next append
// does.
func (s *Store) serve(w http.ResponseWriter, r *http.Request, changed <-chan struct{}) {
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	s.calls[r.URL.Path+" "+name]++
	w.Header().Set("Store-Era", strconv.Itoa(s.epoch))
	s.mu.Unlock()
	switch r.URL.Path {
	case "/chestnutrouter/log-append":
		s.serveAppend(w, r, name)
	case "/chestnutrouter/log-read":
		s.serveRead(w, r, name, changed)
	case "/chestnutrouter/log-newest":
		s.serveNewest(w, r, name)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	data := body[4:]
	end := 1 + int(data[0])
	asOf := r.URL.Query().Get("asOf")
	s.mu.Lock()
	offset := s.topic(name).next
	conflict := asOf != "" && asOf != strconv.FormatInt(offset, 10)
	if !conflict {
		s.put(name, string(data[1:end]), data[end:])
	}
	s.mu.Unlock()
	if conflict {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int64{"end": offset})
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]int64{"offset": offset, "end": offset + 1})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, name string, wake <-chan struct{}) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		data, found, retained := s.read(name, from)
		// A restore may have come while the read waited.
		w.Header().Set("Store-Era", strconv.Itoa(s.epoch))
		changed := wake
		if changed == nil {
			changed = s.changed
		}
		s.mu.Unlock()
		if !retained {
			w.WriteHeader(http.StatusGone)
			_, _ = w.Write([]byte(`{"first":` + strconv.FormatInt(from+1, 10) + `}`))
			return
		}
		if found || wait == 0 {
			_, _ = w.Write(data)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			wait = 0
		}
	}
}

// read encodes the records from an offset on. It reports whether there are any, and
// whether the records at that offset are still retained. The caller holds mu.
func (s *Store) read(name string, from int64) (data []byte, found, retained bool) {
	t := s.topic(name)
	first := t.next
	if len(t.records) > 0 {
		first = t.records[0].offset
	}
	if from < first || from > t.next {
		return nil, false, false
	}
	data = binary.BigEndian.AppendUint64(nil, uint64(t.next))
	data = binary.BigEndian.AppendUint64(data, uint64(first))
	for _, r := range t.records {
		if r.offset < from {
			continue
		}
		found = true
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(r.key)+len(r.value)))
		data = append(data, byte(len(r.key)))
		data = append(data, r.key...)
		data = append(data, r.value...)
	}
	return data, found, true
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request, name string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	items := []item{}
	more, started := false, after == ""
	for _, key := range t.keysByFirstAppend {
		if !started {
			started = key == after
			continue
		}
		newest := t.newest[key]
		if len(newest.value) == 0 {
			continue
		}
		if len(items) == maxPageItems {
			more = true
			break
		}
		items = append(items, item{key, newest.value, newest.offset})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": more, "end": t.next})
}
