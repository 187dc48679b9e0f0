package storesync

import (
	"fmt"
	"testing"
	"time"
)

// A member is cut off from all others, or hears no answers of theirs, and reads the store itself. The
// store is then away for just under outagePatience, at any time between two of its reads. The member
// must be proven throughout: its evidence must be young enough, and the next read soon enough.
func TestProofByTheStoreAloneOutlivesAnOutage(t *testing.T) {
	const (
		phases = 20
		phase  = 97 * time.Millisecond
		outage = outagePatience - 10*time.Millisecond
	)
	for _, contact := range []string{"isolated", "deaf"} {
		for _, store := range []string{"silent", "refusing"} {
			t.Run(fmt.Sprintf("%s member, %s store", contact, store), func(t *testing.T) {
				play(t, 8, func(t *testing.T, w *proofWorld) {
					w.patience = 0 // the other members are not of interest
					m := w.live()[0]
					for _, other := range w.live() {
						if other.readerPosition() >= activeReaders {
							m = other
						}
					}
					m.isolated.Store(contact == "isolated")
					m.deaf.Store(contact == "deaf")
					setAway := func(away bool) {
						m.log.setCut(away && store == "silent")
						m.log.setRefused(away && store == "refusing")
					}
					for i := range phases {
						w.pass(5*time.Second + time.Duration(i)*phase)
						before := m.proofAge()
						setAway(true)
						lost := time.Duration(0)
						var oldest time.Duration
						for step := range 100 {
							if step == 50 {
								setAway(false)
							}
							time.Sleep(outage / 50)
							w.refresh()
							oldest = max(oldest, m.proofAge())
							if lost == 0 && !m.IsProven(m.tree.Load()) {
								lost = time.Duration(step+1) * outage / 50
							}
						}
						if lost > 0 {
							t.Errorf("not proven %v after the begin of an outage of %v; the evidence was %v old then, and up to %v", lost, outage, before, oldest)
						}
					}
				})
			})
		}
	}
}
