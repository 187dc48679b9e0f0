package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// waits are the time limits of the implementation and times close to them.
var waits = []time.Duration{
	time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, time.Second, callTimeout,
	loanTTL - 50*time.Millisecond, loanTTL, loanTTL + time.Second, contactTimeout, handoverDelay(callTimeout),
}

// TestNeverMoreThanTheLimit is a rapid state machine test. It drives a few entries
// through lost, late and repeated messages, pauses, network partitions, log outages,
// joining and dying entries, and changes of the limits and of the number of seats.
// After each step it checks that no limit was exceeded.
func TestNeverMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := func(label string) int { return rapid.IntRange(1, 12).Draw(t, label) }
		w := newWorld(rapid.IntRange(2, 4).Draw(t, "entries"), rapid.IntRange(1, 4).Draw(t, "seats"), size("rate"), size("calls"))
		node := func() *node { return rapid.SampledFrom(w.nodes).Draw(t, "entry") }
		for _, n := range w.nodes {
			w.claim(n)
		}
		t.Repeat(map[string]func(*rapid.T){
			"spend":  func(t *rapid.T) { w.burst(node(), rapid.IntRange(1, 12).Draw(t, "times")) },
			"spends": func(*rapid.T) { w.burstAll(12) },
			"flood": func(t *rapid.T) {
				n := node()
				for range rapid.IntRange(1, 6).Draw(t, "rounds") {
					w.burst(n, 12)
					w.runRounds(1)
				}
			},
			"finish": func(*rapid.T) { w.finish(node()) },
			"plan":   func(*rapid.T) { w.planNode(node()) },
			"hear": func(*rapid.T) {
				w.readLog(node())
				w.receiveFrom(node(), node())
			},
			"claim":  func(*rapid.T) { w.claim(node()) },
			"settle": func(t *rapid.T) { w.runRounds(rapid.IntRange(1, 3).Draw(t, "rounds")) },
			"deliver": func(t *rapid.T) {
				if len(w.messages) == 0 {
					t.Skip("no message in transit")
				}
				w.deliver(rapid.IntRange(0, len(w.messages)-1).Draw(t, "message"), rapid.IntRange(0, 3).Draw(t, "lose") == 0)
			},
			"repeat": func(t *rapid.T) {
				if len(w.messages) == 0 {
					t.Skip("no message in transit")
				}
				w.messages = append(w.messages, rapid.SampledFrom(w.messages).Draw(t, "message"))
			},
			"wait": func(t *rapid.T) { w.advance(rapid.SampledFrom(waits).Draw(t, "time")) },
			"stop": func(t *rapid.T) {
				n := node()
				n.paused = rapid.Bool().Draw(t, "paused")
				n.partitioned = rapid.Bool().Draw(t, "severed")
			},
			"outage": func(t *rapid.T) { w.logDown = rapid.IntRange(0, 2).Draw(t, "down") == 0 },
			"die": func(*rapid.T) {
				n := node()
				n.alive, n.gone = false, true
				w.claim(node())
			},
			"replace": func(t *rapid.T) { // the VM list reports a VM as gone that is only paused or partitioned
				n := node()
				n.paused = rapid.Bool().Draw(t, "paused")
				n.partitioned, n.gone = !n.paused, true
				w.claim(node())
			},
			"join": func(t *rapid.T) {
				if len(w.nodes) >= 7 {
					t.Skip("already seven entries")
				}
				w.join()
			},
			"vote": func(t *rapid.T) {
				if !w.logDown {
					w.log = append(w.log, record{rate: size("rate"), calls: size("calls"), seats: rapid.IntRange(1, 4).Draw(t, "seats")})
				}
			},
			"": func(t *rapid.T) {
				if err := w.check(); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}
