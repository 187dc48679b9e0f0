package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/standin/usersplatform"
)

// callerTimeout is how long a caller waits for a response.
const callerTimeout = 1200 * time.Millisecond

// caller sends requests and reuses its connections until the entry closes them.
type caller struct {
	world     *world
	rand      *rand.Rand
	number    int
	conns     map[string]*callerConn
	addresses []string // last resolved addresses
	expires   time.Time
}

type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

var requestNumber atomic.Int64

func (w *world) runCallers(n int, seed uint64, stop <-chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup
	for i := range n {
		c := &caller{world: w, number: i, rand: rand.New(rand.NewPCG(seed, uint64(i))), conns: map[string]*callerConn{}}
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
			time.Sleep(time.Duration(c.rand.IntN(40)) * time.Millisecond)
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
	atMostOnce := c.rand.IntN(3) == 0
	s := requestRecord{id: fmt.Sprintf("c%d-%d", c.number, requestNumber.Add(1)), atMostOnce: atMostOnce, entry: e, from: time.Now()}
	s.status, s.sentInFull = c.exchange(address, s.id, atMostOnce)
	s.to = time.Now()
	c.world.checker.record(s)
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
	c.addresses, c.expires = got.Addresses, time.Now().Add(ttl)
}

// exchange sends one request and returns the status, zero if there was no complete
// response, and whether the whole request was sent to a process that accepted the
// connection.
func (c *caller) exchange(address, id string, atMostOnce bool) (status int, sentInFull bool) {
	conn := c.conns[address]
	reused := conn != nil
	if !reused {
		raw, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return 0, false
		}
		conn = &callerConn{raw, bufio.NewReader(raw)}
	}
	delete(c.conns, address)
	_ = conn.SetDeadline(time.Now().Add(callerTimeout))
	if _, err := io.WriteString(conn, request(id, atMostOnce)); err != nil {
		conn.Close()
		return 0, false
	}
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		conn.Close()
		// On a reused connection the entry may have closed it before it read the
		// request.
		return 0, !reused
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		conn.Close()
		return 0, true
	}
	c.check(id, response, string(body))
	if response.Close {
		conn.Close()
	} else {
		c.conns[address] = conn
	}
	return response.StatusCode, true
}

func request(id string, atMostOnce bool) string {
	path, method, body := "/look/x", "GET", ""
	if atMostOnce {
		path, method, body = "/once/x", "POST", "kit"
	}
	return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 900\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// check checks one response on its own.
func (c *caller) check(id string, response *http.Response, body string) {
	stamp := response.Header.Get("X-Server-Stamp")
	switch {
	case response.StatusCode == 200 && (body != usersplatform.ResponseBody(id) || stamp != "stamp-"+id):
		c.world.checker.addViolation("mixed: %s got body %q with stamp %q, want its own", id, body, stamp)
	case stamp != "" && stamp != "stamp-"+id:
		c.world.checker.addViolation("mixed: %s got status %d with stamp %q, want its own stamp or none", id, response.StatusCode, stamp)
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
