package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"chestnutrouter.example/chestnutrouter/standin/usersplatform"
)

// faultAftermath is how long after a fault lost responses are still excused.
const faultAftermath = 1500 * time.Millisecond

// fault is one kind of fault. Each injection runs in its own goroutine, so faults overlap.
type fault struct {
	name   string
	inject func(w *world, r *rand.Rand)
}

var faults = []fault{
	{"kill", func(w *world, r *rand.Rand) {
		e := w.randomEntry(r)
		e.markDisrupted(time.Now().Add(faultAftermath))
		e.restart(e.kill)
		e.markDisrupted(time.Now().Add(faultAftermath))
	}},
	{"terminate", func(w *world, r *rand.Rand) {
		e := w.randomEntry(r)
		e.restart(e.terminate)
	}},
	{"terminate twice", func(w *world, r *rand.Rand) {
		e, again := w.randomEntry(r), randomDuration(r, 1, 2500)
		e.signal(syscall.SIGHUP)
		e.restart(func() {
			process := e.process()
			// The process may have ended already.
			timer := time.AfterFunc(again, func() { _ = process.Signal(syscall.SIGHUP); _ = process.Signal(syscall.SIGTERM) })
			defer timer.Stop()
			e.terminate()
		})
	}},
	{"terminate in turn", func(w *world, r *rand.Rand) {
		for range 2 + r.IntN(len(w.entries)-1) {
			e := w.randomEntry(r)
			e.restart(e.terminate)
			time.Sleep(randomDuration(r, 1, 500))
		}
	}},
	{"pause", func(w *world, r *rand.Rand) {
		e, duration := w.randomEntry(r), randomDuration(r, 200, 2500)
		e.markDisrupted(time.Now().Add(duration + faultAftermath))
		e.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		e.signal(syscall.SIGCONT)
	}},
	{"hangup", func(w *world, r *rand.Rand) { w.randomEntry(r).signal(syscall.SIGHUP) }},
	{"kill all", func(w *world, r *rand.Rand) {
		for _, e := range w.entries {
			e.markDisrupted(time.Now().Add(grace + faultAftermath))
		}
		var group sync.WaitGroup
		for _, e := range w.entries {
			group.Go(func() { e.restart(e.kill); e.markDisrupted(time.Now().Add(faultAftermath)) })
		}
		group.Wait()
	}},
	{"store down", func(w *world, r *rand.Rand) {
		f, duration := randomStoreFault(r), randomDuration(r, 300, 4000)
		for _, e := range w.entries {
			e.endpoint.SetFault(f, 0)
		}
		began := time.Now()
		time.Sleep(duration)
		for _, e := range w.entries {
			e.endpoint.SetFault(usersplatform.None, 0)
		}
		w.recordStoreDown(began)
	}},
	{"store refuses some", func(w *world, r *rand.Rand) {
		a, b, f := w.randomEntry(r), w.randomEntry(r), randomStoreFault(r)
		a.endpoint.SetFault(f, 0)
		b.endpoint.SetFault(f, 0)
		time.Sleep(randomDuration(r, 300, 4000))
		a.endpoint.SetFault(usersplatform.None, 0)
		b.endpoint.SetFault(usersplatform.None, 0)
	}},
	{"store slow", func(w *world, r *rand.Rand) {
		e := w.randomEntry(r)
		e.endpoint.SetFault(usersplatform.None, randomDuration(r, 50, 600))
		time.Sleep(randomDuration(r, 300, 3000))
		e.endpoint.SetFault(usersplatform.None, 0)
	}},
	{"store forgets", func(w *world, _ *rand.Rand) { w.store.Expire("keyed.servers"); w.store.Expire("keyed.op") }},
	{"store connections", func(w *world, r *rand.Rand) { w.injectConnFault(w.randomEntry(r).storeProxy, r) }},
	{"connections go silent", func(w *world, r *rand.Rand) {
		share := 0.2 + 0.8*r.Float64()
		for _, p := range w.proxies() {
			if r.Float64() < share {
				p.silenceAll()
			}
		}
	}},
	{"configuration", func(w *world, r *rand.Rand) {
		for range 1 + r.IntN(4) {
			w.configure()
			time.Sleep(randomDuration(r, 1, 300))
		}
	}},
	{"server misbehaves", func(w *world, r *rand.Rand) {
		s, share := w.randomServer(r), r.Float64()
		b := behaviours[r.IntN(len(behaviours))]
		s.SetBehaviourFunc(func(*http.Request) usersplatform.Behaviour {
			if rand.Float64() < share {
				return b
			}
			return usersplatform.Serve
		})
		time.Sleep(randomDuration(r, 300, 3000))
		s.SetBehaviour(usersplatform.Serve)
	}},
	{"server slow", func(w *world, r *rand.Rand) {
		s := w.randomServer(r)
		s.SetServiceTime(serviceTime(s.Service), 500)
		time.Sleep(randomDuration(r, 100, 2000))
		s.SetServiceTime(serviceTime(s.Service), 100)
	}},
	{"server connections", func(w *world, r *rand.Rand) { w.injectConnFault(w.randomServer(r).proxy, r) }},
	{"server unwell", func(w *world, r *rand.Rand) {
		s := w.randomServer(r)
		s.SetUnhealthy(true)
		time.Sleep(randomDuration(r, 300, 2000))
		s.SetUnhealthy(false)
	}},
	{"server replaced", func(w *world, r *rand.Rand) {
		old := w.randomServer(r)
		w.addServer(old.Service)
		old.Drain()
		time.Sleep(2500 * time.Millisecond)
		old.Close()
	}},
	{"server crashes", func(w *world, r *rand.Rand) {
		old := w.randomServer(r)
		w.addServer(old.Service)
		old.Crash()
		time.Sleep(randomDuration(r, 500, 1500))
		w.store.Put("keyed.servers", old.Name, nil)
	}},
}

var behaviours = []usersplatform.Behaviour{
	usersplatform.Fail, usersplatform.Shed, usersplatform.ResetBeforeRun, usersplatform.ResetAfterRun, usersplatform.HangAfterRun,
	usersplatform.Truncate, usersplatform.CloseDelimited, usersplatform.CloseDelimitedReset, usersplatform.ExtraResponse,
	usersplatform.StaleResponse, usersplatform.Garbage, usersplatform.NoStamp, usersplatform.Plain503,
}

func randomStoreFault(r *rand.Rand) usersplatform.Fault {
	all := []usersplatform.Fault{usersplatform.Unavailable, usersplatform.TooManyRequests, usersplatform.Reset, usersplatform.Hang, usersplatform.LoseResponse}
	return all[r.IntN(len(all))]
}

// randomDuration returns a duration of at least low and below high milliseconds.
func randomDuration(r *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+r.IntN(high-low)) * time.Millisecond
}

func (w *world) randomEntry(r *rand.Rand) *entry { return w.entries[r.IntN(len(w.entries))] }

// randomServer returns one of the servers that were started last, since replaced ones
// stay in the list.
func (w *world) randomServer(r *rand.Rand) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := min(len(w.servers), 2*serverCount)
	return w.servers[len(w.servers)-1-r.IntN(last)]
}

// injectConnFault injects one random fault into the connections of a proxy.
func (w *world) injectConnFault(p *proxy, r *rand.Rand) {
	duration := randomDuration(r, 100, 2000)
	defer p.recordHold(time.Now())
	switch r.IntN(4) {
	case 0:
		p.resetAll()
	case 1:
		p.delay.Store(int64(randomDuration(r, 5, 200)))
		time.Sleep(duration)
		p.delay.Store(0)
	case 2:
		p.holdResponses.Store(true)
		time.Sleep(duration)
		p.holdResponses.Store(false)
	case 3:
		p.holdAll.Store(true)
		time.Sleep(duration)
		p.holdAll.Store(false)
	}
}

// scheduledFault is one fault with its time and the seed of its own choices. All of them
// follow from the seed of the run.
type scheduledFault struct {
	at    time.Duration
	fault fault
	seed  uint64
}

func newSchedule(seed uint64, duration time.Duration) []scheduledFault {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []scheduledFault
	for at := time.Duration(0); ; {
		// The short intervals make several faults overlap often.
		at += randomDuration(r, 1, 1200)
		if at > duration {
			return all
		}
		all = append(all, scheduledFault{at, faults[r.IntN(len(faults))], r.Uint64()})
	}
}

func (s scheduledFault) String() string { return fmt.Sprintf("%v %s", s.at, s.fault.name) }
