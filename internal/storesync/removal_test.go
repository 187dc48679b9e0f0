package storesync

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// removalBound is the time after its acknowledgement by the store in which a removal must be in
// force at all members in touch.
const removalBound = 2 * time.Second

// listsServer reports whether the member lists server a as live.
func (c *configLives) listsServer(m *livesMember) bool {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	return m.servers["a"] == fleet.Live
}

// awaitServer returns how long it takes from began until all members that have not lost the store
// list server a, or none of them does.
func (c *configLives) awaitServer(began time.Time, listed bool) time.Duration {
	late := func(m *livesMember) bool { return !m.isCut() && c.listsServer(m) != listed }
	for slices.ContainsFunc(c.running(), late) && time.Since(began) < 3*removalBound {
		c.heartbeat()
		time.Sleep(heartbeatPause / 3)
	}
	return time.Since(began)
}

// Readers are lost in many ways just as the store removes a server. It is still there for the
// other members, so none of them may take the time in which nobody read it for an outage, after
// which removals are held: the server would get requests for too long.
func TestRemovalWhileReadersAreLost(t *testing.T) {
	ends := func(dark bool) func(*configLives, *livesMember) {
		return func(c *configLives, m *livesMember) { c.end(m, dark) }
	}
	for _, how := range []struct {
		name string
		lose func(c *configLives, m *livesMember)
	}{
		{"killed", ends(false)},
		{"dark", ends(true)},
		{"cut off", func(_ *configLives, m *livesMember) { m.log.setCut(true) }},
		{"refused", func(_ *configLives, m *livesMember) { m.setRefused(true) }},
	} {
		for _, lost := range []int{1, 2, 4} {
			for _, apart := range []time.Duration{0, 250 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d %s %v apart", lost, how.name, apart), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						c := newConfigLives(t, 19)
						defer c.stop()
						var slowest time.Duration
						for round := range rounds(6) {
							c.run(4*time.Second + time.Duration(round)*40*time.Millisecond)
							var readers []*livesMember
							for position := range lost {
								readers = append(readers, c.reader(position))
							}
							for _, m := range readers[:lost-1] {
								how.lose(c, m)
								c.run(apart)
							}
							how.lose(c, readers[lost-1])
							c.log.put("a", "")
							slowest = max(slowest, c.awaitServer(time.Now(), false))
							for _, m := range readers {
								m.log.setCut(false)
								m.setRefused(false)
								if !m.ended.IsZero() {
									c.start()
								}
							}
							c.log.put("a", fmt.Sprintf("live %d", round+2))
							if took := c.awaitServer(time.Now(), true); took > removalBound {
								t.Fatalf("the server is listed again after %v", took)
							}
						}
						t.Logf("gone at all others after %v", slowest)
						if slowest > removalBound {
							t.Errorf("gone at all others after %v, want %v", slowest, removalBound)
						}
					})
				})
			}
		}
	}
}

// The store is away for all members, and registrations expire meanwhile. No member may remove a
// server within the time in which it may register again, whichever of them reaches the store
// first, and all must remove it afterwards if it does not.
func TestLapseIsHeldByAllMembers(t *testing.T) {
	for _, members := range []int{1, 2, 5, 19} {
		for _, away := range []time.Duration{1600 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second, 90 * time.Second} {
			t.Run(fmt.Sprintf("%d members, %v", members, away), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					c := newConfigLives(t, members)
					defer c.stop()
					for round := range rounds(6) {
						c.run(5*time.Second + time.Duration(round)*40*time.Millisecond)
						c.cutReaders(members)
						c.run(away / 2)
						if round%3 == 0 && members > 2 {
							c.end(c.reader(round%2), false)
							c.start().log.setCut(true)
						}
						c.run(away / 2)
						c.log.put("a", "")
						// The paths are back one after the other.
						returned := time.Now()
						for _, m := range c.running() {
							m.log.setCut(false)
							c.run(time.Duration(round%4) * 20 * time.Millisecond)
						}
						c.run(1500*time.Millisecond - time.Since(returned))
						if m := c.running(); slices.ContainsFunc(m, func(m *livesMember) bool { return !c.listsServer(m) }) {
							c.fail("round %d: the server is removed %v after the store's return", round, time.Since(returned))
						}
						if took := c.awaitServer(returned, false); took > 6*time.Second {
							c.fail("round %d: the server is still listed %v after the store's return", round, took)
						}
						c.log.put("a", fmt.Sprintf("live %d", round+2))
						c.awaitServer(time.Now(), true)
					}
				})
			})
		}
	}
}
