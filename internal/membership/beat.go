package membership

import (
	"context"
	"time"
)

const (
	// beatInterval is the time between two heartbeats of an entry.
	beatInterval = 500 * time.Millisecond
	// beatTimeout is the deadline of one heartbeat call.
	beatTimeout = time.Second
	// newsInterval is the least time between two rounds of news.
	newsInterval = 100 * time.Millisecond
	// newsFanOut is how many peers one round of news goes to.
	newsFanOut = 3
	// silentEvery is after how many beats one silent or unheard peer is tried.
	silentEvery = 4
	// pauseAfter is how late a beat may come before the process counts as paused.
	pauseAfter = 2 * time.Second
	// forgetEvery is the number of beats between two clean-ups.
	forgetEvery = 120
	// doubleStartGrace is how long after its start a process may claim to be the
	// newest of its VM.
	doubleStartGrace = 30 * time.Second
)

// beatLoop sends heartbeats and news until the context ends.
func (m *Membership) beatLoop(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	newsTimer := time.NewTimer(0)
	defer newsTimer.Stop()
	<-newsTimer.C
	newsWait := false
	lastTurn, lastNews := time.Now(), time.Time{}
	m.beat(ctx, 0)
	for count := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.notePause(&lastTurn)
			m.beat(ctx, count)
			count++
		case <-m.news:
			m.notePause(&lastTurn)
			m.publish()
			if !newsWait {
				newsWait = true
				newsTimer.Reset(time.Until(lastNews.Add(newsInterval)))
			}
		case <-newsTimer.C:
			newsWait = false
			lastNews = time.Now()
			m.send(ctx, m.pick(newsFanOut, livePeers))
		}
	}
}

// notePause shifts what was heard where this process was paused since the last
// turn of its loop.
func (m *Membership) notePause(lastTurn *time.Time) {
	now := time.Now()
	sinceLast := now.Sub(*lastTurn)
	*lastTurn = now
	if sinceLast < pauseAfter {
		return
	}
	m.opts.Logger.Warn("this process was paused", "seconds", sinceLast.Seconds())
	m.opts.Scope.Counter("membership_pauses").Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.shift(now, sinceLast)
}

// beat is one round of heartbeats.
func (m *Membership) beat(ctx context.Context, count int) {
	m.mu.Lock()
	m.table.self.Sign.Counter++
	m.claimName()
	if count%forgetEvery == 0 {
		m.table.forget(time.Now())
	}
	m.mu.Unlock()
	m.publish()
	m.send(ctx, m.nextPeer())
	if count%silentEvery == 0 {
		m.send(ctx, m.pick(1, silentPeers))
	}
}

// claimName raises this process's generation over that of an earlier process of
// the VM whose clock was ahead; the caller holds mu.
func (m *Membership) claimName() {
	rival, ok := m.table.rival(time.Now())
	if !ok {
		return
	}
	if time.Since(m.table.started) < doubleStartGrace {
		m.table.self.Row.Generation = rival.Generation + 1
		m.table.self.Row.Version++
		return
	}
	m.opts.Scope.Counter("membership_double_starts").Inc(1)
	m.opts.Logger.Error("another process uses this VM name; stop one of them",
		"name", m.opts.Self.Name, "incarnation", rival.Incarnation)
}

// peerKind tells live peers from silent and unheard ones.
type peerKind int

const (
	livePeers peerKind = iota
	silentPeers
)

// nextPeer returns the address of a suspect, or else the next peer in turn.
func (m *Membership) nextPeer() []string {
	now := time.Now()
	m.mu.Lock()
	suspect := m.table.suspect(now)
	if suspect != nil {
		suspect.asked = now
	}
	m.mu.Unlock()
	if suspect != nil {
		return []string{suspect.vm.PeerAddress}
	}
	return m.pick(1, livePeers)
}

// pick returns peer addresses of that kind, in turn.
func (m *Membership) pick(n int, kind peerKind) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.liveAddresses(time.Now())
	if kind == livePeers && len(live) > 0 {
		return m.rotations[livePeers].next(live, n)
	}
	return m.rotations[silentPeers].next(m.otherAddresses(live), n)
}

func (m *Membership) liveAddresses(now time.Time) []string {
	var out []string
	for _, e := range m.table.members {
		if !e.isSilent(now) && e.vm.PeerAddress != m.opts.Self.PeerAddress {
			out = append(out, e.vm.PeerAddress)
		}
	}
	return unique(out)
}

// otherAddresses returns the peers that may be there but are not heard.
func (m *Membership) otherAddresses(live []string) []string {
	out := append([]string(nil), m.opts.Seeds...)
	for _, vm := range m.table.list.entries() {
		out = append(out, vm.PeerAddress)
	}
	for _, e := range m.table.members {
		out = append(out, e.vm.PeerAddress)
	}
	return without(unique(out), append(live, m.opts.Self.PeerAddress, ""))
}

// send exchanges heartbeats with each address in the background.
func (m *Membership) send(ctx context.Context, addresses []string) {
	for _, address := range addresses {
		m.calls.Go(func() { m.exchange(ctx, address) })
	}
}
