package escrow

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestNeverMoreThanTheLimit drives a few entries through lost, late and repeated
// messages, pauses, cuts, log outages, joins, leaves, and changes of the limits
// and of the number of seats, and asks the oracle after each step.
func TestNeverMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := func(label string) int { return rapid.IntRange(1, 12).Draw(t, label) }
		w := newWorld(rapid.IntRange(2, 4).Draw(t, "entries"), rapid.IntRange(1, 4).Draw(t, "seats"), size("rate"), size("calls"))
		node := func() *node { return rapid.SampledFrom(w.nodes).Draw(t, "entry") }
		for _, n := range w.nodes {
			w.claim(n)
		}
		t.Repeat(map[string]func(*rapid.T){
			"spend": func(t *rapid.T) {
				n := node()
				for range rapid.IntRange(1, 12).Draw(t, "times") {
					w.spend(n)
				}
			},
			"finish":  func(*rapid.T) { w.finish(node()) },
			"plan":    func(*rapid.T) { w.planNode(node()) },
			"readLog": func(*rapid.T) { w.readLog(node()) },
			"meet":    func(*rapid.T) { w.meet(node(), node()) },
			"claim":   func(*rapid.T) { w.claim(node()) },
			"settle":  func(t *rapid.T) { w.settle(rapid.IntRange(1, 3).Draw(t, "rounds")) },
			"deliver": func(t *rapid.T) {
				if len(w.messages) == 0 {
					t.Skip("no message")
				}
				w.deliver(rapid.IntRange(0, len(w.messages)-1).Draw(t, "message"), rapid.IntRange(0, 3).Draw(t, "lose") == 0)
			},
			"repeat": func(t *rapid.T) {
				if len(w.messages) == 0 {
					t.Skip("no message")
				}
				w.messages = append(w.messages, rapid.SampledFrom(w.messages).Draw(t, "message"))
			},
			"wait":   func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"rest":   func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second) },
			"pause":  func(*rapid.T) { n := node(); n.paused = !n.paused },
			"sever":  func(*rapid.T) { n := node(); n.severed = !n.severed },
			"outage": func(*rapid.T) { w.logDown = !w.logDown },
			"die":    func(*rapid.T) { n := node(); n.alive, n.gone = false, true },
			"vanish": func(*rapid.T) { // the VM list calls a VM gone whose process is paused or cut off
				if n := node(); n.paused || n.severed {
					n.gone = true
				}
			},
			"join": func(t *rapid.T) {
				if len(w.nodes) >= 7 {
					t.Skip("enough entries")
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
