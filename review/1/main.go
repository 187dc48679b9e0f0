// Command 1 stops one of three entries as planned while callers keep sending requests to it, and
// checks that no request that a server was working on loses its answer.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"chestnutrouter.example/chestnutrouter/review/deployment"
	"chestnutrouter.example/chestnutrouter/standin/usersplatform"
)

const (
	servers = 48
	callers = 240
	// patientEvery is that every third caller keeps an endpoint list three times as long.
	patientEvery = 3
	// calm is how long the deployment runs before the traffic begins, stopAfter how long the
	// traffic runs before the stop.
	calm      = 4 * time.Second
	stopAfter = 500 * time.Millisecond
	traffic   = stopAfter + deployment.StopGrace + time.Second
	// Time budgets and timeouts are those of the larger sheet's lookups and orders.
	lookupBudget = 2500 * time.Millisecond
	orderBudget  = 3000 * time.Millisecond
	lossSlack    = 200 * time.Millisecond
	// excusedSends is how long after SIGTERM a request may be sent that may still be broken off in
	// the last sixth of the grace time.
	excusedSends = 3 * time.Second
)

func main() {
	d, err := deployment.New("review/1/record.txt")
	if err == nil {
		defer d.Close()
		var broken bool
		broken, err = run(d, os.Getenv("TROUBLE") != "0")
		if err == nil && !broken {
			fmt.Println("the rule held")
			return
		}
		if err == nil {
			d.Close()
			os.Exit(1)
		}
		d.Close()
	}
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(2)
}

func run(d *deployment.Deployment, trouble bool) (broken bool, err error) {
	d.Store.PutJSON("keyed.op", "config", configuration())
	var backends []*usersplatform.Server
	for i := range servers {
		s, err := usersplatform.StartServer(d.Store, fmt.Sprintf("i-%02d", i), "shopfront", fmt.Sprintf("zone-%d", i%3+1))
		if err != nil {
			return false, err
		}
		defer s.Crash()
		s.SetServiceTime(time.Duration(230+70*(i%2))*time.Millisecond, 100)
		backends = append(backends, s)
	}
	if err := d.StartEntries("zone-1", "zone-2", "zone-3"); err != nil {
		return false, err
	}
	time.Sleep(calm)
	began := time.Now()
	attempts := make(chan *deployment.Attempt, 100_000)
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() { call(d, n, began, attempts) })
	}
	time.Sleep(stopAfter)
	stopped := d.Entries[1]
	stoppedAt := time.Now()
	if trouble {
		stopped.Signal(syscall.SIGTERM)
		stopped.StopWithin(deployment.Grace)
	}
	group.Wait()
	close(attempts)
	return judge(d, stopped, stoppedAt, attempts, backends), nil
}

// call sends a request every half to whole second.
func call(d *deployment.Deployment, n int, began time.Time, attempts chan<- *deployment.Attempt) {
	c := &deployment.Caller{Deployment: d, Zone: fmt.Sprintf("zone-%d", n%3+1), TTLFactor: 1}
	if n%patientEvery == 0 {
		c.TTLFactor = 3
	}
	time.Sleep(rand.N(stopAfter))
	for request := 0; time.Since(began) < traffic; request++ {
		next := time.Now().Add(500*time.Millisecond + rand.N(500*time.Millisecond))
		method, path, body, budget := "GET", "/lookup/kit", "", lookupBudget
		if (n+request)%3 == 0 {
			method, path, body, budget = "POST", "/order/kit", "one jar kit", orderBudget
		}
		deadline := time.Now().Add(budget)
		first := c.Do(fmt.Sprintf("c%d-%d", n, request), method, path, body, deadline)
		d.Record.Add("%s", first)
		attempts <- first
		if retries(first, method) && time.Until(deadline) > 100*time.Millisecond {
			time.Sleep(min(first.RetryAfter, time.Until(deadline)/3))
			second := c.Do(fmt.Sprintf("c%d-%d-again", n, request), method, path, body, deadline)
			d.Record.Add("%s", second)
			attempts <- second
		}
		time.Sleep(time.Until(next))
	}
}

// retries reports whether the caller tries once more: after any failure of a lookup, and after an
// order that certainly has not run.
func retries(a *deployment.Attempt, method string) bool {
	if a.Status >= 200 && a.Status < 300 {
		return false
	}
	return method == "GET" || a.Result == "no connection" || a.Status == 503 || a.Status == 429
}

// judge counts the requests that the stopped entry had passed on to a server, or held for longer
// than the slack, and whose connection ended without a complete answer.
func judge(d *deployment.Deployment, stopped *deployment.Entry, stoppedAt time.Time, attempts <-chan *deployment.Attempt, backends []*usersplatform.Server) bool {
	runs := map[string]usersplatform.Run{}
	for _, s := range backends {
		for _, r := range s.Runs() {
			runs[r.ID] = r
			d.Record.Add("server %s ran request %s at %s", s.Name, r.ID, d.Record.At(r.At))
		}
	}
	lost, sent, served := 0, 0, 0
	for a := range attempts {
		sent++
		if a.Status == 200 && a.Stamped {
			served++
		}
		_, ran := runs[a.ID]
		ownAnswer := ran && a.Result == "answer" && !a.Stamped
		if a.Entry != stopped.Front() || a.SentAt.IsZero() || a.Result != "cut" && !ownAnswer {
			continue
		}
		sentAfter, endedAfter := a.SentAt.Sub(stoppedAt), a.EndedAt.Sub(stoppedAt)
		held := a.EndedAt.Sub(a.SentAt)
		switch {
		case endedAfter < 0 || endedAfter > deployment.StopGrace:
			continue
		case !ran && held <= lossSlack:
			continue
		case sentAfter <= excusedSends && endedAfter >= deployment.Grace*5/6:
			continue
		}
		lost++
		d.Record.Add("LOST: %s, sent %.3f s after SIGTERM, ended %.3f s after it; at a server: %v", a, sentAfter.Seconds(), endedAfter.Seconds(), ran)
	}
	d.Record.Add("%d requests sent, %d served, %d lost", sent, served, lost)
	fmt.Printf("%d requests sent, %d served, %d lost at the stopped entry\n", sent, served, lost)
	return lost > 0
}

func configuration() map[string]any {
	route := func(name, prefix, kind, timeout, target string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": deployment.Host, "pathPrefix": prefix, "kind": kind, "timeout": timeout,
			"targetLatency": target, "priority": priority, "service": "shopfront", "maxAttempts": 2,
		}
	}
	return map[string]any{
		"version": "r3",
		"routes": []any{
			route("kit-lookup", "/lookup/", "idempotent", "2500ms", "500ms", 0),
			route("order-place", "/order/", "non_idempotent", "3000ms", "800ms", 1),
		},
		"services": []any{map[string]any{"name": "shopfront", "healthPath": "/health", "maxConns": 260, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
}
