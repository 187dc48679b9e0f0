package storesync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	// configBound is the time after its acknowledgement in which a configuration must be in
	// force at all members in touch, and touchTime how long a member and the store must have
	// been without a fault for that.
	configBound = 2 * time.Second
	touchTime   = 3 * time.Second
	// storeAnswer is how long the store takes to respond, and storeTimeLimit how long its
	// client waits beyond the wait of a read.
	storeAnswer    = 4 * time.Millisecond
	storeTimeLimit = 800 * time.Millisecond
	heartbeatPause = 66 * time.Millisecond
)

// livesLog is a log with long polls whose store can be away, slow and restored.
type livesLog struct {
	fakeLog
	rng *rand.Rand // guarded by fakeLog.mu
	// unnotified is the share of waiting reads that an append does not wake, slow the time
	// that a response is on its way.
	unnotified float64
	slow       time.Duration
}

// memberLog is the store as one member reaches it.
type memberLog struct {
	*livesLog
	cut     bool // guarded by fakeLog.mu, like cuts and refused
	cuts    int  // how often the path was cut; the calls in progress are lost then
	refused bool // the store refuses calls of this member at once
}

// cutsSoFar returns how often the path was cut.
func (l *memberLog) cutsSoFar() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts
}

// respond waits until a response arrives. It returns an error if none does until the limit of
// a call with that wait.
func (l *memberLog) respond(ctx context.Context, began time.Time, cuts int, wait time.Duration) error {
	l.mu.Lock()
	lost, slow, refused := l.cut || l.cuts != cuts, l.slow, l.refused
	l.mu.Unlock()
	if refused {
		sleep(ctx, storeAnswer)
		return errDown
	}
	if lost {
		sleep(ctx, time.Until(began.Add(storeTimeLimit+wait)))
		return errDown
	}
	sleep(ctx, storeAnswer+slow)
	return ctx.Err()
}

// random returns a number below one.
func (l *memberLog) random() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

func (l *memberLog) Newest(ctx context.Context, stream string) (logservice.KeyedPage, error) {
	began, cuts := time.Now(), l.cutsSoFar()
	page, err := l.fakeLog.Newest(ctx, stream)
	if callErr := l.respond(ctx, began, cuts, 0); callErr != nil {
		return logservice.KeyedPage{}, callErr
	}
	return page, err
}

func (l *memberLog) ReadKeyed(ctx context.Context, stream string, from logservice.Position, wait time.Duration) (logservice.KeyedPage, error) {
	woken := l.random() >= l.unnotified
	began, cuts := time.Now(), l.cutsSoFar()
	for deadline := began.Add(wait); ; sleep(ctx, 5*time.Millisecond) {
		page, err := l.fakeLog.ReadKeyed(ctx, stream, from, 0)
		woken = woken || time.Now().Equal(began) && len(page.Records) > 0
		ended := time.Now().After(deadline) || wait == 0 || ctx.Err() != nil
		if err == nil && len(page.Records) == 0 && !ended || err == nil && !woken && !ended {
			continue
		}
		if callErr := l.respond(ctx, began, cuts, wait); callErr != nil {
			return logservice.KeyedPage{}, callErr
		}
		return page, err
	}
}

// livesMember is one start of a member.
type livesMember struct {
	*testSyncer
	name    string
	log     *memberLog
	cancel  context.CancelFunc
	running sync.WaitGroup
	since   time.Time // of its start, or the end of its last fault
	ended   time.Time // zero while it runs
	dark    bool      // its VM does not respond any more
	zones   []string  // evacuated ones, guarded by configLives.mu
	apart   bool      // out of contact with the members that are not, guarded by configLives.mu
}

// configLives plays members that read the configuration from a store with several lives.
type configLives struct {
	t   *testing.T
	rng *rand.Rand
	log *livesLog

	mu      sync.Mutex // guards the members and events
	members []*livesMember
	started int
	events  []string // what happened, for the report of a failure

	revision   int64
	acked      map[int64]time.Time // by revision, of the first write that was not lost unseen
	faultEnded time.Time           // end of the last fault of the store
	rewrites   []string            // lost records that the operator writes again
}

// Call implements peer.Client.
func (c *configLives) Call(ctx context.Context, address, _ string, args, reply any) error {
	sleep(ctx, time.Millisecond)
	c.mu.Lock()
	var target *livesMember
	for _, m := range c.members {
		if m.name == address && m.ended.IsZero() {
			target = m
		}
		if m.name == address && m.dark {
			c.mu.Unlock()
			<-ctx.Done()
			return ctx.Err()
		}
	}
	c.mu.Unlock()
	if target == nil {
		return errDown
	}
	return target.Receiver().Since(args.(SinceArgs), reply.(*SinceReply))
}

func (c *configLives) view() *cluster.View {
	const livenessTimeout = 500 * time.Millisecond
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	v := &cluster.View{}
	for _, m := range c.members {
		seen := now
		if !m.ended.IsZero() {
			seen = m.ended
		}
		if now.Sub(seen) > livenessTimeout {
			continue
		}
		evacuations, evacuationsHash := m.EvacuationsVersionAndHash()
		v.Live = append(v.Live, cluster.LiveMember{
			Member: cluster.Member{VM: m.name, Zone: m.options.Zone, PeerAddress: m.name}, LastSeen: seen,
			Status: cluster.Status{
				Revision: m.Revision(), ServersVersion: m.ServersVersion(), StoreReadAge: m.StoreReadAge(seen), StoreFailing: m.StoreFailing(),
				EvacuationsVersion: evacuations, EvacuationsHash: evacuationsHash,
			},
		})
	}
	v.Known = len(v.Live)
	return v
}

func (c *configLives) start() *livesMember {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	m := &livesMember{testSyncer: newTestSyncer(), name: fmt.Sprintf("vm-%d", c.started), log: &memberLog{livesLog: c.log}, since: time.Now()}
	m.options.Log, m.options.Client, m.options.Self, m.options.View = m.log, c, m.name, c.view
	m.options.Zone = fmt.Sprint(c.started % 3)
	m.options.DecodeEvacuation = decodeEvacuation
	m.options.OnEvacuations = func(zones []string) {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.zones = zones
		c.noteLocked("%s evacuates %v", m.name, zones)
	}
	m.options.OnTree = func(t *tree.Tree) {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.revisions = append(m.revisions, t.Revision)
		c.noteLocked("%s applies %d", m.name, t.Revision)
	}
	c.noteLocked("%s starts", m.name)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.running.Go(func() { m.Run(ctx) })
	c.members = append(c.members, m)
	return m
}

func (c *configLives) noteLocked(format string, args ...any) {
	c.events = append(c.events, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

func (c *configLives) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteLocked(format, args...)
}

// fail ends the test with the last events.
func (c *configLives) fail(format string, args ...any) {
	c.t.Helper()
	const shownEvents = 60
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t.Fatalf(format+"\n%s", append(args, strings.Join(c.events[max(0, len(c.events)-shownEvents):], "\n"))...)
}

// end stops a member as by a signal, or with its whole VM.
func (c *configLives) end(m *livesMember, dark bool) {
	c.note("%s ends, dark %v", m.name, dark)
	m.cancel()
	c.mu.Lock()
	m.ended, m.dark = time.Now(), dark
	c.mu.Unlock()
}

func (c *configLives) running() []*livesMember {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.members), func(m *livesMember) bool { return !m.ended.IsZero() })
}

// heartbeat announces the versions of each running member to all others.
func (c *configLives) heartbeat() {
	running := c.running()
	for _, announced := range c.view().Live {
		sender := slices.IndexFunc(running, func(m *livesMember) bool { return m.name == announced.VM })
		for _, m := range running {
			if sender >= 0 && m.name != announced.VM && running[sender].apart == m.apart {
				m.ObservePeer(announced)
			}
		}
	}
}

// publish writes the next configuration, and sometimes one that can't be read.
func (c *configLives) publish() {
	c.revision += 1 + int64(c.rng.IntN(3))
	c.write(strconv.FormatInt(c.revision, 10))
	if c.rng.IntN(6) == 0 {
		c.log.put("config", "no configuration")
	}
}

func (c *configLives) write(value string) {
	c.note("the operator writes %q", value)
	c.log.put("config", value)
	revision, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return
	}
	if _, written := c.acked[revision]; !written {
		c.acked[revision] = time.Now()
	}
}

// restore replaces the store by a copy. Lost revisions that no member knows are acknowledged
// when the operator writes them again.
func (c *configLives) restore() {
	c.log.mu.Lock()
	kept := max(1, len(c.log.records)-c.rng.IntN(5))
	lost := slices.Clone(c.log.records[kept:])
	c.log.mu.Unlock()
	c.log.restore(kept)
	c.note("the store is restored, %d records lost", len(lost))
	c.faultEnded = time.Now()
	c.rewrites = nil
	for _, r := range lost {
		if revision, err := strconv.ParseInt(string(r.Value), 10, 64); err == nil {
			delete(c.acked, revision)
		}
		if r.Key == "config" {
			c.rewrites = append(c.rewrites, string(r.Value))
		}
	}
	switch c.rng.IntN(3) {
	case 0:
		c.rewrites = c.rewrites[max(0, len(c.rewrites)-1):]
	case 1:
		c.rng.Shuffle(len(c.rewrites), func(i, j int) { c.rewrites[i], c.rewrites[j] = c.rewrites[j], c.rewrites[i] })
	}
}

// step plays one event, or none.
func (c *configLives) step() {
	if len(c.rewrites) > 0 && c.rng.IntN(8) == 0 {
		c.write(c.rewrites[0])
		c.rewrites = c.rewrites[1:]
	}
	members := c.running()
	m := members[c.rng.IntN(len(members))]
	switch c.rng.IntN(220) {
	case 0, 1, 2, 3:
		c.publish()
	case 4:
		if time.Since(c.faultEnded) > 5*time.Second || c.rng.IntN(4) == 0 {
			c.restore()
		}
	case 5, 6:
		if reader := c.reader(c.rng.IntN(3)); reader != nil {
			c.end(reader, c.rng.IntN(2) == 0)
			c.start()
			c.publish()
		}
	case 7, 8:
		m.log.setCut(true)
		c.note("%s is cut off", m.name)
	case 9, 10, 11, 12:
		for _, other := range members {
			if other.isCut() {
				other.log.setCut(false)
				other.since = time.Now()
				c.note("%s reaches the store again", other.name)
			}
		}
	case 13:
		c.compact()
	}
}

// compact makes the store forget its history. The newest record of each key stays; if nobody
// can read that of the configuration, none would be left.
func (c *configLives) compact() {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	for _, r := range slices.Backward(c.log.records) {
		if r.Key == "config" {
			if _, err := decodeRevision(r.Value); err != nil {
				return
			}
			break
		}
	}
	c.log.oldest = int64(len(c.log.records))
}

func (l *memberLog) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut && !l.cut {
		l.cuts++
	}
	l.cut = cut
}

func (l *memberLog) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (m *livesMember) setRefused(refused bool) { m.log.setRefused(refused) }

func (l *memberLog) setRefused(refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = refused
}

// isCut reports whether the member can't use the store.
func (m *livesMember) isCut() bool {
	m.log.mu.Lock()
	defer m.log.mu.Unlock()
	return m.log.cut || m.log.refused
}

// reader returns the member at that position in the order of the readers.
func (c *configLives) reader(position int) *livesMember {
	v := c.view()
	for _, m := range c.running() {
		if v.ReaderPosition(m.name) == position {
			return m
		}
	}
	return nil
}

// check fails the test if a member has gone back, or lacks what must be in force.
func (c *configLives) check() {
	c.t.Helper()
	now := time.Now()
	var due int64
	for revision, at := range c.acked {
		if now.Sub(at) > configBound {
			due = max(due, revision)
		}
	}
	for _, m := range c.running() {
		c.mu.Lock()
		applied := slices.Clone(m.revisions)
		c.mu.Unlock()
		if !slices.IsSorted(applied) {
			c.fail("%s went back: %v", m.name, applied)
		}
		if m.isCut() || now.Sub(m.since) < touchTime || now.Sub(c.faultEnded) < touchTime {
			continue
		}
		if m.Revision() < due {
			c.fail("%s has revision %d, %d was acknowledged %v ago; the store was restored %v ago, the member started or reached it again %v ago",
				m.name, m.Revision(), due, now.Sub(c.acked[due]), now.Sub(c.faultEnded), now.Sub(m.since))
		}
	}
}

// newConfigLives starts members that share a store.
func newConfigLives(t *testing.T, members int) *configLives {
	c := &configLives{t: t, rng: rand.New(rand.NewPCG(1, 1)), acked: map[int64]time.Time{}, log: &livesLog{rng: rand.New(rand.NewPCG(1, 2))}}
	c.log.put("a", "live 1")
	c.publish()
	for range members {
		c.start()
	}
	return c
}

// stop ends all members.
func (c *configLives) stop() {
	for _, m := range c.members {
		m.cancel()
		m.running.Wait()
	}
}

// run lets the members send heartbeats for that time.
func (c *configLives) run(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(heartbeatPause) {
		c.heartbeat()
	}
}

// cutReaders cuts the first readers off the store, and no other member.
func (c *configLives) cutReaders(count int) {
	c.cut(func(position int) bool { return position < count })
}

// cut cuts the members at these positions in the order of readers off the store, and no others.
func (c *configLives) cut(isCut func(position int) bool) {
	v := c.view()
	for _, m := range c.running() {
		m.log.setCut(isCut(v.ReaderPosition(m.name)))
	}
}

// publishAndAwait publishes a configuration and returns how long it takes until it is in force
// at all members that are not cut off.
func (c *configLives) publishAndAwait() time.Duration {
	c.publish()
	return c.await(time.Now())
}

// await is publishAndAwait for a configuration that was published before.
func (c *configLives) await(began time.Time) time.Duration {
	late := func(m *livesMember) bool { return !m.isCut() && m.Revision() < c.revision }
	for slices.ContainsFunc(c.running(), late) && time.Since(began) < 2*configBound {
		c.heartbeat()
		time.Sleep(heartbeatPause)
	}
	return time.Since(began)
}

// rounds returns the number of rounds to play; all are played without the race detector.
func rounds(whole int) int {
	if raceEnabled {
		return whole / 6
	}
	return whole
}
