package deployment

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// connectTimeout is how long a caller waits for a new connection, and for an endpoint list.
const connectTimeout = time.Second

// Caller is one caller. It asks the entries where to connect, keeps the list, and opens a
// connection for each request to a random address of it that has not failed.
type Caller struct {
	Deployment *Deployment
	// Zone is the caller's own zone.
	Zone string
	// TTLFactor is how many times as long as its TTL the endpoint list is kept: 1 or 3.
	TTLFactor int

	list     []string
	expires  time.Time
	failed   map[string]bool
	requests int
}

// Attempt is one request of a caller.
type Attempt struct {
	ID, Path, Entry string
	// SentAt is when its last byte was sent, zero if that failed. EndedAt is when the answer or the
	// end of the connection was seen, and Deadline when the caller's time budget ends.
	SentAt, EndedAt, Deadline time.Time
	// Status is the status of a complete answer, zero if there is none.
	Status int
	// Stamped is set if the answer has the stamp of a server.
	Stamped bool
	// Leaving is set if the answer says that its server leaves.
	Leaving bool
	// Body is the body of a complete answer.
	Body string
	// Result says how the request ended: "answer", "cut", "no connection" or "time budget".
	Result     string
	RetryAfter time.Duration
}

// resolve refreshes the endpoint list if it has expired.
func (c *Caller) resolve() {
	if time.Now().Before(c.expires) {
		return
	}
	entries := slices.Clone(c.Deployment.Entries)
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	slices.SortStableFunc(entries, func(a, b *Entry) int {
		switch {
		case a.Zone == c.Zone && b.Zone != c.Zone:
			return -1
		case b.Zone == c.Zone && a.Zone != c.Zone:
			return 1
		}
		return 0
	})
	client := &http.Client{Timeout: connectTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, e := range entries[:min(3, len(entries))] {
		response, err := client.Get("http://" + e.Directory() + "/chestnutrouter/resolve?name=" + Host + "&region=region&zone=" + c.Zone)
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
			TTL       string   `json:"ttl"`
		}
		err = json.NewDecoder(response.Body).Decode(&body)
		response.Body.Close()
		ttl, ttlErr := time.ParseDuration(body.TTL)
		if err != nil || ttlErr != nil || len(body.Addresses) == 0 {
			continue
		}
		const maxTTL = 5 * time.Second
		c.list, c.failed = body.Addresses, map[string]bool{}
		c.expires = time.Now().Add(min(ttl, maxTTL) * time.Duration(c.TTLFactor))
		return
	}
}

// pick returns a random address of the list, without those that have failed.
func (c *Caller) pick() string {
	var usable []string
	for _, address := range c.list {
		if !c.failed[address] {
			usable = append(usable, address)
		}
	}
	if len(usable) == 0 {
		usable = c.list
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[rand.IntN(len(usable))]
}

// Do sends one request on a new connection.
func (c *Caller) Do(id, method, path, body string, deadline time.Time) *Attempt {
	c.resolve()
	c.requests++
	a := &Attempt{ID: id, Path: path, Entry: c.pick(), Deadline: deadline, Result: "no connection"}
	if a.Entry == "" {
		a.EndedAt = time.Now()
		return a
	}
	conn, err := net.DialTimeout("tcp", a.Entry, min(connectTimeout, time.Until(deadline)))
	if err != nil {
		c.failed[a.Entry] = true
		a.EndedAt = time.Now()
		return a
	}
	defer conn.Close()
	a.Exchange(conn, method, body)
	if a.Result == "cut" {
		c.failed[a.Entry] = true
	}
	return a
}

// Exchange sends the request on a connection and reads the answer.
func (a *Attempt) Exchange(conn net.Conn, method, body string) {
	_ = conn.SetDeadline(a.Deadline)
	a.Result = "cut"
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, a.Path, Host, a.ID, time.Until(a.Deadline).Milliseconds(), len(body), body)
	if err != nil {
		a.EndedAt = time.Now()
		return
	}
	a.Read(conn, method)
}

// Read reads the answer to a request that has just been sent.
func (a *Attempt) Read(conn net.Conn, method string) {
	a.Result, a.SentAt = "cut", time.Now()
	defer func() { a.EndedAt = time.Now() }()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		response.Body.Close()
		a.Body = string(data)
	}
	switch {
	case isTimeout(err):
		a.Result = "time budget"
	case err == nil:
		a.Result, a.Status, a.Stamped = "answer", response.StatusCode, response.Header.Get("X-Server-Stamp") != ""
		a.Leaving = response.Header.Get("Server-Leaving") == "1"
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			a.RetryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
}

// String describes the attempt for the record.
func (a *Attempt) String() string {
	return fmt.Sprintf("request %s %s at %s: %s %d", a.ID, a.Path, a.Entry, a.Result, a.Status)
}
