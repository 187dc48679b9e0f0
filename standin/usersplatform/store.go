// Package usersplatform stands in for the users' platform in tests: its store and
// its backend servers, by the published protocol, with the misbehaviour that the
// protocol allows.
package usersplatform

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// pageItems is the most records of one page of the newest.
const pageItems = 500

// record is one record of a topic.
type record struct {
	key    string
	value  []byte
	offset int64
}

// topic is partition 0 of a keyed topic.
type topic struct {
	records []record
	next    int64
	newest  map[string]record
	order   []string // keys by first appearance
}

// Store is the platform's store. Tests write to it directly; the system reaches it
// through doors, each with faults of its own. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex // guards the fields below
	topics  map[string]*topic
	changed chan struct{} // closed at the next append
	calls   map[string]int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// Put appends a record; an empty value drops the key.
func (s *Store) Put(name, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	r := record{key: key, value: value, offset: t.next}
	t.next++
	t.records = append(t.records, r)
	if _, known := t.newest[key]; !known {
		t.order = append(t.order, key)
	}
	t.newest[key] = r
	close(s.changed)
	s.changed = make(chan struct{})
	return r.offset
}

// PutJSON appends a record with a JSON value.
func (s *Store) PutJSON(name, key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.Put(name, key, data)
}

// Expire deletes the records of a topic; the newest of each key are kept.
func (s *Store) Expire(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).records = nil
}

// Calls returns how often each call was made.
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

// Fault is what a door does to calls in place of serving them.
type Fault string

// Faults of a door.
const (
	// None serves calls.
	None Fault = ""
	// Unavailable answers 503.
	Unavailable Fault = "busy"
	// TooManyRequests answers 429.
	TooManyRequests Fault = "many"
	// Reset breaks the connection.
	Reset Fault = "reset"
	// Hang never answers.
	Hang Fault = "silent"
	// LoseResponse carries out a call and breaks the connection.
	LoseResponse Fault = "lost"
	// IgnoreAppends lets a waiting read wait to its end, also when there is something new.
	IgnoreAppends Fault = "deaf"
)

// Endpoint is an address of the store with faults of its own.
type Endpoint struct {
	// Address is where the door listens.
	Address string

	store  *Store
	server *http.Server
	mu     sync.Mutex // guards the fields below
	fault  Fault
	delay  time.Duration
}

// NewEndpoint opens a door on a free loopback port.
func (s *Store) NewEndpoint() (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Endpoint{Address: l.Addr().String(), store: s}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

// Close closes the door and its connections.
func (d *Endpoint) Close() { _ = d.server.Close() }

// SetFault puts a fault and a delay of each call in force.
func (d *Endpoint) SetFault(f Fault, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault, d.delay = f, delay
}

// ServeHTTP implements http.Handler.
func (d *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	fault, delay := d.fault, d.delay
	d.mu.Unlock()
	time.Sleep(delay)
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case Reset:
		abort(w)
	case Hang:
		<-r.Context().Done()
	case LoseResponse:
		d.store.serve(discard{http.Header{}}, r, nil)
		abort(w)
	case IgnoreAppends:
		never := make(chan struct{})
		d.store.serve(w, r, never)
	default:
		d.store.serve(w, r, nil)
	}
}

// discard is an answer that is lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

// abort resets the connection.
func abort(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// serve carries out a call. A waiting read is woken by changed, or by the next append
// where that is nil.
func (s *Store) serve(w http.ResponseWriter, r *http.Request, changed <-chan struct{}) {
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	s.calls[r.URL.Path+" "+name]++
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
	offset := s.Put(name, string(data[1:end]), data[end:])
	_ = json.NewEncoder(w).Encode(map[string]int64{"offset": offset, "end": offset + 1})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, name string, wake <-chan struct{}) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		data, found, kept := s.read(name, from)
		changed := wake
		if changed == nil {
			changed = s.changed
		}
		s.mu.Unlock()
		if !kept {
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

// read encodes the records from an offset on. The lock is held.
func (s *Store) read(name string, from int64) (data []byte, found, kept bool) {
	t := s.topic(name)
	first := t.next
	if len(t.records) > 0 {
		first = t.records[0].offset
	}
	if from < first {
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
	more, begun := false, after == ""
	for _, key := range t.order {
		if !begun {
			begun = key == after
			continue
		}
		newest := t.newest[key]
		if len(newest.value) == 0 {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, item{key, newest.value, newest.offset})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": more, "end": t.next})
}
