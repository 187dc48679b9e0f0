package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/standin/usersplatform"
)

const (
	// callerSlack is how much longer than its deadline a caller waits for a response.
	callerSlack = 300 * time.Millisecond
	// longHold is how many times its TTL some callers keep the endpoint list. Others keep it
	// until a connection fails.
	longHold    = 3
	endlessHold = 1000
	// callerPause bounds the pause between two requests of the usual callers.
	callerPause = 40 * time.Millisecond
	// maxChunkPause bounds the pause between two chunks of a body.
	maxChunkPause = 150 * time.Millisecond
)

// route is one kind of request.
type route struct {
	service    string
	deadline   time.Duration
	atMostOnce bool
	chunked    bool // the body is sent in chunks with pauses
	public     bool // needs no key
}

var routes = []route{
	{service: "look", deadline: 900 * time.Millisecond},
	{service: "once", deadline: 900 * time.Millisecond, atMostOnce: true},
	{service: "once", deadline: 900 * time.Millisecond, atMostOnce: true, chunked: true},
	{service: slowService, deadline: slowTimeout},
	{service: slowService, deadline: slowTimeout, chunked: true},
}

// caller sends requests and reuses its connections until the entry closes them.
type caller struct {
	world     *world
	rand      *rand.Rand
	number    int
	conns     map[string]*callerConn
	addresses []string // last resolved addresses
	expires   time.Time
	hold      time.Duration // how many times its TTL a list is kept
	// tenant is whose key the caller sends. With formerKeys it sends former ones as well, and
	// requests to the public route.
	tenant     string
	pause      time.Duration // the longest between two requests
	formerKeys bool
}

type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

var requestNumber atomic.Int64

func (w *world) runCallers(n int, seed uint64, stop <-chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup
	for i := range n {
		c := &caller{world: w, number: i, rand: rand.New(rand.NewPCG(seed, uint64(i))), conns: map[string]*callerConn{}, hold: 1, pause: callerPause, tenant: tenantSteady}
		switch i % 4 {
		case 0:
			c.hold = longHold
		case 1:
			c.hold = endlessHold
		}
		group.Go(func() { c.run(stop) })
	}
	return &group
}

func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			for _, conn := range c.conns {
				conn.Close()
			}
			return
		default:
			c.step()
			time.Sleep(time.Duration(c.rand.Int64N(int64(c.pause))))
		}
	}
}

// step resolves the addresses again if their TTL has expired, and sends one request.
func (c *caller) step() {
	if time.Now().After(c.expires) {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return
	}
	address := c.addresses[c.rand.IntN(len(c.addresses))]
	e := c.world.entryAt(address)
	if e == nil {
		c.world.checker.addViolation("directory: returned %s, which is not the address of an entry", address)
		return
	}
	c.request(e)
}

// request sends one request to the entry and returns its record.
func (c *caller) request(e *entry) requestRecord {
	// Most requests are the first two kinds, as the others take long.
	kind := routes[c.rand.IntN(2)]
	if c.rand.IntN(4) == 0 {
		kind = routes[c.rand.IntN(len(routes))]
	}
	if c.formerKeys && c.rand.IntN(3) == 0 {
		kind = publicRoute
	}
	s := requestRecord{key: c.world.keyOf(c.tenant, c.formerKeys, c.rand), public: kind.public, id: fmt.Sprintf("c%d-%d", c.number, requestNumber.Add(1)), atMostOnce: kind.atMostOnce, entry: e, from: time.Now()}
	c.exchange(e.callers, kind, &s)
	s.to = time.Now()
	c.world.checker.record(s)
	return s
}

// resolve asks the directory of a random entry for addresses.
func (c *caller) resolve() {
	e := c.world.entries[c.rand.IntN(len(c.world.entries))]
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + e.directory + "/chestnutrouter/resolve?name=" + host)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var got struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	if json.NewDecoder(response.Body).Decode(&got) != nil || len(got.Addresses) == 0 {
		return
	}
	ttl, err := time.ParseDuration(got.TTL)
	if err != nil {
		c.world.checker.addViolation("directory: returned the invalid ttl %q", got.TTL)
		return
	}
	c.addresses, c.expires = got.Addresses, time.Now().Add(ttl*max(c.hold, 1))
}

// exchange sends one request and records the status, zero if there was no complete response,
// and when the whole request was sent to a process that accepted the connection.
func (c *caller) exchange(address string, kind route, s *requestRecord) {
	conn := c.conns[address]
	reused := conn != nil
	if !reused {
		raw, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			c.expires = time.Time{}
			return
		}
		conn = &callerConn{raw, bufio.NewReader(raw)}
	}
	delete(c.conns, address)
	_ = conn.SetDeadline(time.Now().Add(kind.deadline + callerSlack))
	if err := c.send(conn, kind, s); err != nil {
		conn.Close()
		return
	}
	// On a reused connection the entry may have closed it before it read the request. Whether
	// it ran tells then.
	sent := time.Now()
	if !reused {
		s.sent = sent
	}
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		conn.Close()
		return
	}
	s.sent = sent
	body, err := io.ReadAll(response.Body)
	if err != nil {
		conn.Close()
		return
	}
	c.check(s, response, string(body))
	if response.Close {
		conn.Close()
	} else {
		c.conns[address] = conn
	}
	s.status = response.StatusCode
}

// send writes the request, a chunked body with pauses.
func (c *caller) send(conn net.Conn, kind route, s *requestRecord) error {
	method, parts, encoding := "GET", []string{""}, "Content-Length: 0"
	if kind.atMostOnce {
		method, parts, encoding = "POST", []string{"kit"}, "Content-Length: 3"
	}
	if kind.chunked {
		parts, encoding = []string{"", "1\r\nk\r\n", "2\r\nit\r\n", "0\r\n\r\n"}, "Transfer-Encoding: chunked"
	}
	parts[0] = fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nX-Tenant: %s\r\n%s\r\n\r\n%s",
		method, kind.path(), host, s.id, kind.deadline.Milliseconds(), s.key.value, forgedTenant, encoding, parts[0])
	for i, part := range parts {
		if i > 0 {
			time.Sleep(time.Duration(c.rand.Int64N(int64(maxChunkPause))))
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return err
		}
	}
	return nil
}

// check checks one response on its own.
func (c *caller) check(s *requestRecord, response *http.Response, body string) {
	id, stamp := s.id, response.Header.Get("X-Server-Stamp")
	switch {
	case response.StatusCode == 200 && (body != usersplatform.ResponseBody(id) || stamp != "stamp-"+id):
		c.world.checker.addViolation("mixed: %s got body %q with stamp %q, want its own", id, body, stamp)
	case stamp != "" && stamp != "stamp-"+id:
		c.world.checker.addViolation("mixed: %s got status %d with stamp %q, want its own stamp or none", id, response.StatusCode, stamp)
	case response.StatusCode == http.StatusUnauthorized && !s.public:
		// Whether the key was valid is checked at the end of the run.
	case response.StatusCode >= 400 && response.StatusCode < 429:
		c.world.checker.addViolation("denied: %s got status %d %q", id, response.StatusCode, body)
	}
}

func (w *world) entryAt(address string) *entry {
	for _, e := range w.entries {
		if e.callers == address {
			return e
		}
	}
	return nil
}
