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

// callerTimeout is how long a caller waits for an answer.
const callerTimeout = 1200 * time.Millisecond

// caller sends requests on kept connections until the process at their end is gone.
type caller struct {
	world   *world
	rand    *rand.Rand
	number  int
	conns   map[string]*callerConn
	known   []string // addresses of the last answer
	expires time.Time
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

// step resolves where it is due, and sends one request.
func (c *caller) step() {
	if time.Now().After(c.expires) {
		c.resolve()
	}
	if len(c.known) == 0 {
		return
	}
	address := c.known[c.rand.IntN(len(c.known))]
	e := c.world.entryAt(address)
	if e == nil {
		c.world.checks.breaks("directory: names %s, which is no entry", address)
		return
	}
	once := c.rand.IntN(3) == 0
	s := sent{id: fmt.Sprintf("c%d-%d", c.number, requestNumber.Add(1)), once: once, entry: e, from: time.Now()}
	s.status, s.read = c.exchange(address, s.id, once)
	s.to = time.Now()
	c.world.checks.note(s)
}

func (c *caller) resolve() {
	e := c.world.entries[c.rand.IntN(len(c.world.entries))]
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + e.directory + "/chestnutrouter/resolve?name=" + host)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	var got struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	if json.NewDecoder(answer.Body).Decode(&got) != nil || len(got.Addresses) == 0 {
		return
	}
	ttl, err := time.ParseDuration(got.TTL)
	if err != nil {
		c.world.checks.breaks("directory: ttl %q", got.TTL)
		return
	}
	c.known, c.expires = got.Addresses, time.Now().Add(ttl)
}

// exchange sends one request and returns the status, zero where no answer came,
// and whether the whole request was sent to a process that took the connection.
func (c *caller) exchange(address, id string, once bool) (status int, sentWhole bool) {
	conn := c.conns[address]
	kept := conn != nil
	if !kept {
		raw, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return 0, false
		}
		conn = &callerConn{raw, bufio.NewReader(raw)}
	}
	delete(c.conns, address)
	_ = conn.SetDeadline(time.Now().Add(callerTimeout))
	if _, err := io.WriteString(conn, request(id, once)); err != nil {
		conn.Close()
		return 0, false
	}
	answer, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		conn.Close()
		// A request that crosses the close of a kept connection was not read.
		return 0, !kept
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		conn.Close()
		return 0, true
	}
	c.check(id, answer, string(body))
	if answer.Close {
		conn.Close()
	} else {
		c.conns[address] = conn
	}
	return answer.StatusCode, true
}

func request(id string, once bool) string {
	path, method, body := "/look/x", "GET", ""
	if once {
		path, method, body = "/once/x", "POST", "kit"
	}
	return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 900\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// check judges one answer by itself.
func (c *caller) check(id string, answer *http.Response, body string) {
	stamp := answer.Header.Get("X-Server-Stamp")
	switch {
	case answer.StatusCode == 200 && (body != usersplatform.Body(id) || stamp != "stamp-"+id):
		c.world.checks.breaks("mixed: %s got %q with proof %q", id, body, stamp)
	case stamp != "" && stamp != "stamp-"+id:
		c.world.checks.breaks("mixed: %s got %d with proof %q", id, answer.StatusCode, stamp)
	case answer.StatusCode >= 400 && answer.StatusCode < 429:
		c.world.checks.breaks("denied: %s got %d %q", id, answer.StatusCode, body)
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
