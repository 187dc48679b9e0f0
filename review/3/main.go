// Command 3 takes the power from two of four entries, those that read the store, at the moment at
// which the store removes a server that has fallen silent there. It checks that the other entries
// send the server no request later than the drain time after the removal.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"chestnutrouter.example/chestnutrouter/review/deployment"
	"chestnutrouter.example/chestnutrouter/standin/usersplatform"
)

const (
	servers = 8
	callers = 100
	calm    = 4 * time.Second
	// drain is the bound of the rule, and silence three heartbeats, after which the store removes a
	// server.
	drain   = 2 * time.Second
	silence = 4500 * time.Millisecond
	// dark is how long the entries are without power.
	dark    = 3500 * time.Millisecond
	traffic = time.Second + silence + 6*time.Second
	budget  = 800 * time.Millisecond
)

func main() {
	d, err := deployment.New("review/3/record.txt")
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
	d.Store.PutJSON("keyed.op", "config", usersplatform.Config(3, deployment.Host, "shopfront"))
	for i := range servers - 1 {
		s, err := usersplatform.StartServer(d.Store, fmt.Sprintf("i-%02d", i), "shopfront", fmt.Sprintf("zone-%d", i%2+1))
		if err != nil {
			return false, err
		}
		defer s.Crash()
		s.SetServiceTime(35*time.Millisecond, 100)
	}
	// This server reaches the store by a path of its own, which can be cut: what it writes goes to
	// another store, and from there to the deployment's.
	const name = "i-silent"
	path := usersplatform.NewStore()
	silent, err := usersplatform.StartServer(path, name, "shopfront", "zone-1")
	if err != nil {
		return false, err
	}
	defer silent.Crash()
	silent.SetServiceTime(35*time.Millisecond, 100)
	d.Store.Put("keyed.servers", name, record(silent))

	if err := d.StartEntries("zone-1", "zone-2", "zone-1", "zone-2"); err != nil {
		return false, err
	}
	time.Sleep(calm)
	readers := readersOf(d)
	if len(readers) != 2 {
		return false, fmt.Errorf("%d entries have read the store, want 2", len(readers))
	}
	began := time.Now()
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() { call(d, n, began) })
	}
	time.Sleep(time.Second)
	d.Record.Add("server %s falls silent at the store; it goes on serving", name)
	time.Sleep(silence)
	if trouble {
		for _, e := range readers {
			e.Signal(syscall.SIGKILL)
		}
	}
	d.Store.Put("keyed.servers", name, nil)
	acknowledged := time.Now()
	d.Record.Add("the store has removed server %s", name)
	if trouble {
		time.Sleep(dark)
		for _, e := range readers {
			if err := e.Start(false); err != nil {
				return false, err
			}
			d.Record.Add("entry %s starts again", e.Name)
		}
	}
	group.Wait()
	late := 0
	for _, r := range silent.Runs() {
		after := r.At.Sub(acknowledged)
		d.Record.Add("server %s ran request %s at %s, %.3f s after its removal", name, r.ID, d.Record.At(r.At), after.Seconds())
		if after > drain {
			late++
		}
	}
	d.Record.Add("%d requests reached server %s later than %s after its removal", late, name, drain)
	fmt.Printf("%d requests reached the server later than %s after its removal\n", late, drain)
	return late > 0, nil
}

// record returns what the server writes about itself.
func record(s *usersplatform.Server) []byte {
	value, err := json.Marshal(map[string]any{
		"address": s.Address,
		"born":    time.Now().UnixMilli(),
		"info":    map[string]any{"service": s.Service, "zone": s.Zone, "version": "v1", "slots": 3},
		"status":  map[string]any{"state": "ready", "sequence": 1, "warmupLeft": "0ms"},
	})
	if err != nil {
		panic(err)
	}
	return value
}

// readersOf returns the entries that have read the list of servers from the store, by their logs.
func readersOf(d *deployment.Deployment) []*deployment.Entry {
	var readers []*deployment.Entry
	for _, e := range d.Entries {
		data, err := os.ReadFile(e.LogFile())
		if err == nil && strings.Contains(string(data), `"msg":"servers read"`) {
			readers = append(readers, e)
		}
	}
	return readers
}

// call sends about five requests a second.
func call(d *deployment.Deployment, n int, began time.Time) {
	c := &deployment.Caller{Deployment: d, Zone: fmt.Sprintf("zone-%d", n%2+1), TTLFactor: 1}
	time.Sleep(time.Duration(n) * 2 * time.Millisecond)
	for request := 0; time.Since(began) < traffic; request++ {
		next := time.Now().Add(200 * time.Millisecond)
		a := c.Do(fmt.Sprintf("c%d-%d", n, request), "GET", "/shopfront/kit", "", time.Now().Add(budget))
		d.Record.Add("%s", a)
		time.Sleep(time.Until(next))
	}
}
