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

// settle is how long after a fault its effects may last.
const settle = 1500 * time.Millisecond

// fault is one kind of fault. It runs in its own goroutine, so faults overlap.
type fault struct {
	name string
	do   func(w *world, r *rand.Rand)
}

var faults = []fault{
	{"kill", func(w *world, r *rand.Rand) {
		e := w.anyEntry(r)
		e.disturb(time.Now().Add(settle))
		e.restart(e.kill)
		e.disturb(time.Now().Add(settle))
	}},
	{"terminate", func(w *world, r *rand.Rand) {
		e := w.anyEntry(r)
		// While it stops no request may be lost; after it connections fail.
		e.restart(func() { e.terminate(); e.disturb(time.Now().Add(settle)) })
	}},
	{"pause", func(w *world, r *rand.Rand) {
		e, length := w.anyEntry(r), between(r, 200, 2500)
		e.disturb(time.Now().Add(length + settle))
		e.signal(syscall.SIGSTOP)
		time.Sleep(length)
		e.signal(syscall.SIGCONT)
	}},
	{"hangup", func(w *world, r *rand.Rand) { w.anyEntry(r).signal(syscall.SIGHUP) }},
	{"kill all", func(w *world, r *rand.Rand) {
		for _, e := range w.entries {
			e.disturb(time.Now().Add(grace + settle))
		}
		var group sync.WaitGroup
		for _, e := range w.entries {
			group.Go(func() { e.restart(e.kill); e.disturb(time.Now().Add(settle)) })
		}
		group.Wait()
	}},
	{"store down", func(w *world, r *rand.Rand) {
		f, length := anyFault(r), between(r, 300, 4000)
		for _, e := range w.entries {
			e.door.SetFault(f, 0)
		}
		time.Sleep(length)
		for _, e := range w.entries {
			e.door.SetFault(usersplatform.None, 0)
		}
	}},
	{"store refuses some", func(w *world, r *rand.Rand) {
		a, b, f := w.anyEntry(r), w.anyEntry(r), anyFault(r)
		a.door.SetFault(f, 0)
		b.door.SetFault(f, 0)
		time.Sleep(between(r, 300, 4000))
		a.door.SetFault(usersplatform.None, 0)
		b.door.SetFault(usersplatform.None, 0)
	}},
	{"store slow", func(w *world, r *rand.Rand) {
		e := w.anyEntry(r)
		e.door.SetFault(usersplatform.None, between(r, 50, 600))
		time.Sleep(between(r, 300, 3000))
		e.door.SetFault(usersplatform.None, 0)
	}},
	{"store forgets", func(w *world, _ *rand.Rand) { w.store.Expire("keyed.servers"); w.store.Expire("keyed.op") }},
	{"store connections", func(w *world, r *rand.Rand) { w.harm(w.anyEntry(r).storeProxy, r) }},
	{"configuration", func(w *world, r *rand.Rand) {
		for range 1 + r.IntN(4) {
			w.configure()
			time.Sleep(between(r, 1, 300))
		}
	}},
	{"server misbehaves", func(w *world, r *rand.Rand) {
		s, share := w.anyServer(r), r.Float64()
		b := behaviours[r.IntN(len(behaviours))]
		s.SetBehaviourFunc(func(*http.Request) usersplatform.Behaviour {
			if rand.Float64() < share {
				return b
			}
			return usersplatform.Serve
		})
		time.Sleep(between(r, 300, 3000))
		s.SetBehaviour(usersplatform.Serve)
	}},
	{"server slow", func(w *world, r *rand.Rand) {
		s := w.anyServer(r)
		s.SetWork(15*time.Millisecond, 500)
		time.Sleep(between(r, 100, 2000))
		s.SetWork(15*time.Millisecond, 100)
	}},
	{"server connections", func(w *world, r *rand.Rand) { w.harm(w.anyServer(r).proxy, r) }},
	{"server unwell", func(w *world, r *rand.Rand) {
		s := w.anyServer(r)
		s.SetUnhealthy(true)
		time.Sleep(between(r, 300, 2000))
		s.SetUnhealthy(false)
	}},
	{"server replaced", func(w *world, r *rand.Rand) {
		old := w.anyServer(r)
		w.addServer(old.Service)
		old.Drain()
		time.Sleep(2500 * time.Millisecond)
		old.Close()
	}},
	{"server crashes", func(w *world, r *rand.Rand) {
		old := w.anyServer(r)
		w.addServer(old.Service)
		old.Crash()
		time.Sleep(between(r, 500, 1500))
		w.store.Put("keyed.servers", old.Name, nil)
	}},
}

var behaviours = []usersplatform.Behaviour{
	usersplatform.Fail, usersplatform.Shed, usersplatform.ResetBeforeRun, usersplatform.ResetAfterRun, usersplatform.HangAfterRun,
	usersplatform.Truncate, usersplatform.CloseDelimited, usersplatform.CloseDelimitedReset, usersplatform.ExtraResponse,
	usersplatform.StaleResponse, usersplatform.Garbage, usersplatform.NoStamp, usersplatform.Plain503,
}

func anyFault(r *rand.Rand) usersplatform.Fault {
	all := []usersplatform.Fault{usersplatform.Unavailable, usersplatform.TooManyRequests, usersplatform.Reset, usersplatform.Hang, usersplatform.LoseResponse}
	return all[r.IntN(len(all))]
}

func between(r *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+r.IntN(high-low)) * time.Millisecond
}

func (w *world) anyEntry(r *rand.Rand) *entry { return w.entries[r.IntN(len(w.entries))] }

// anyServer is one of those that were started last.
func (w *world) anyServer(r *rand.Rand) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := min(len(w.servers), 2*serverCount)
	return w.servers[len(w.servers)-1-r.IntN(last)]
}

// harm does one thing to the connections of a proxy.
func (w *world) harm(p *proxy, r *rand.Rand) {
	length := between(r, 100, 2000)
	switch r.IntN(4) {
	case 0:
		p.resetAll()
	case 1:
		p.delay.Store(int64(between(r, 5, 200)))
		time.Sleep(length)
		p.delay.Store(0)
	case 2:
		p.oneWay.Store(true)
		time.Sleep(length)
		p.oneWay.Store(false)
	case 3:
		p.silent.Store(true)
		time.Sleep(length)
		p.silent.Store(false)
	}
}

// schedule is what happens when, by the seed alone.
type schedule struct {
	at    time.Duration
	fault fault
	seed  uint64
}

func newSchedule(seed uint64, length time.Duration) []schedule {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []schedule
	for at := time.Duration(0); ; {
		// Faults come in series: often several within moments.
		at += between(r, 1, 1200)
		if at > length {
			return all
		}
		all = append(all, schedule{at, faults[r.IntN(len(faults))], r.Uint64()})
	}
}

func (s schedule) String() string { return fmt.Sprintf("%v %s", s.at, s.fault.name) }
