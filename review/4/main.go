// Command 4 takes a service out of the configuration and puts it back 1.7 s later, while one of its
// servers says in its answers that it leaves. It checks that no entry sends that server a request
// later than the drain time after it has passed on such an answer.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/review/deployment"
	"chestnutrouter.example/chestnutrouter/standin/usersplatform"
)

const (
	servers = 4
	callers = 30
	calm    = 4 * time.Second
	// withoutAt and backAt are when the two versions follow the beginning of the leaving.
	withoutAt = 600 * time.Millisecond
	backAt    = 2300 * time.Millisecond
	// drain is the bound of the rule.
	drain = 2 * time.Second
	// leaving is how long the server goes on serving and how long its record stands, less than three
	// heartbeats of silence.
	leaving = 4 * time.Second
	budget  = 800 * time.Millisecond
)

func main() {
	d, err := deployment.New("review/4/record.txt")
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
	d.Store.PutJSON("keyed.op", "config", usersplatform.Config(3, deployment.Host, "shopfront", "intake"))
	var leaver *usersplatform.Server
	for i := range servers {
		for _, service := range []string{"shopfront", "intake"} {
			s, err := usersplatform.StartServer(d.Store, fmt.Sprintf("i-%s-%d", service, i), service, fmt.Sprintf("zone-%d", i%2+1))
			if err != nil {
				return false, err
			}
			defer s.Crash()
			s.SetServiceTime(60*time.Millisecond, 100)
			leaver = s // the last one, of service intake
		}
	}
	if err := d.StartEntries("zone-1", "zone-2", "zone-1"); err != nil {
		return false, err
	}
	time.Sleep(calm)
	stop := time.Now().Add(time.Second + leaving)
	var mu sync.Mutex
	passed := map[string]time.Time{} // when an entry first passed on an answer that says so
	sent := map[string]*deployment.Attempt{}
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() {
			c := &deployment.Caller{Deployment: d, Zone: fmt.Sprintf("zone-%d", n%2+1), TTLFactor: 1}
			time.Sleep(time.Duration(n) * 6 * time.Millisecond)
			for request := 0; time.Now().Before(stop); request++ {
				next := time.Now().Add(200 * time.Millisecond)
				a := c.Do(fmt.Sprintf("c%d-%d", n, request), "GET", "/intake/scan", "", time.Now().Add(budget))
				d.Record.Add("%s, server leaving: %v", a, a.Leaving)
				mu.Lock()
				sent[a.ID] = a
				if first, known := passed[a.Entry]; a.Leaving && (!known || a.EndedAt.Before(first)) {
					passed[a.Entry] = a.EndedAt
				}
				mu.Unlock()
				time.Sleep(time.Until(next))
			}
		})
	}
	time.Sleep(time.Second)
	leaver.SetLeaving()
	d.Record.Add("server %s begins to leave; the store does not take its report", leaver.Name)
	if trouble {
		time.Sleep(withoutAt)
		d.Store.PutJSON("keyed.op", "config", usersplatform.Config(5, deployment.Host, "shopfront"))
		d.Record.Add("version r5 has no service intake")
		time.Sleep(backAt - withoutAt)
		d.Store.PutJSON("keyed.op", "config", usersplatform.Config(8, deployment.Host, "shopfront", "intake"))
		d.Record.Add("version r8 has it again")
	}
	group.Wait()
	late := 0
	for _, r := range leaver.Runs() {
		a := sent[r.ID]
		if a == nil {
			continue
		}
		first, known := passed[a.Entry]
		if known && a.SentAt.Sub(first) > drain {
			late++
			d.Record.Add("DRAIN: %s, sent %.3f s after its entry had first passed on an answer of the leaving server, ran there at %s",
				a, a.SentAt.Sub(first).Seconds(), d.Record.At(r.At))
		}
	}
	d.Record.Add("%d requests reached server %s later than %s after an answer that it leaves", late, leaver.Name, drain)
	fmt.Printf("%d requests reached the leaving server later than %s after an answer that it leaves\n", late, drain)
	return late > 0, nil
}
