package membership

import (
	"context"
	"time"
)

const (
	// heartbeatInterval is the time between two heartbeat rounds.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is the deadline of one heartbeat call.
	heartbeatTimeout = time.Second
	// gossipInterval is the minimum time between two gossip rounds, which send
	// updates outside the regular heartbeats.
	gossipInterval = 100 * time.Millisecond
	// gossipFanOut is the number of peers that one gossip round is sent to.
	gossipFanOut = 3
	// silentPeerEvery is the number of heartbeat rounds between two attempts to
	// contact a silent or never seen peer.
	silentPeerEvery = 4
	// pauseThreshold is the time between two iterations of the heartbeat loop from
	// which the process counts as paused.
	pauseThreshold = 2 * time.Second
	// forgetEvery is the number of heartbeat rounds between two clean-ups.
	forgetEvery = 120
	// duplicateGrace is how long after its start a process may raise its
	// generation to become the newest process of its VM.
	duplicateGrace = 30 * time.Second
)

// heartbeatLoop sends heartbeats and gossip until the context ends.
func (m *Membership) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	gossipTimer := time.NewTimer(0)
	defer gossipTimer.Stop()
	<-gossipTimer.C
	gossipScheduled := false
	lastIteration, lastGossip := time.Now(), time.Time{}
	m.heartbeatRound(ctx, 0)
	for round := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.detectPause(&lastIteration)
			m.heartbeatRound(ctx, round)
			round++
		case <-m.updates:
			m.detectPause(&lastIteration)
			m.publish()
			if !gossipScheduled {
				gossipScheduled = true
				gossipTimer.Reset(time.Until(lastGossip.Add(gossipInterval)))
			}
		case <-gossipTimer.C:
			gossipScheduled = false
			lastGossip = time.Now()
			m.send(ctx, m.pickPeers(gossipFanOut, livePeers))
		}
	}
}

// detectPause checks whether this process was paused since the last iteration of
// its loop, and if so compensates the last-seen times of the members.
func (m *Membership) detectPause(lastIteration *time.Time) {
	now := time.Now()
	sinceLast := now.Sub(*lastIteration)
	*lastIteration = now
	if sinceLast < pauseThreshold {
		return
	}
	m.opts.Logger.Warn("this process was paused", "seconds", sinceLast.Seconds())
	m.opts.Scope.Counter("membership_pauses").Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.compensatePause(now, sinceLast)
}

// heartbeatRound increments this entry's liveness counter and sends one round of
// heartbeats.
func (m *Membership) heartbeatRound(ctx context.Context, round int) {
	m.mu.Lock()
	m.table.self.Sign.Counter++
	m.resolveDuplicate()
	if round%forgetEvery == 0 {
		m.table.forget(time.Now())
	}
	m.mu.Unlock()
	m.publish()
	m.send(ctx, m.nextPeer())
	if round%silentPeerEvery == 0 {
		m.send(ctx, m.pickPeers(1, silentPeers))
	}
}

// resolveDuplicate handles another process with this VM's name that counts as
// newer. Shortly after the start, that is an earlier process whose clock was
// ahead, so this process raises its own generation above it. Later it is a
// duplicate start, which is reported. The caller holds mu.
func (m *Membership) resolveDuplicate() {
	duplicate, ok := m.table.newerDuplicate(time.Now())
	if !ok {
		return
	}
	if time.Since(m.table.started) < duplicateGrace {
		m.table.self.Row.Generation = duplicate.Generation + 1
		m.table.self.Row.Version++
		return
	}
	m.opts.Scope.Counter("membership_double_starts").Inc(1)
	m.opts.Logger.Error("another process uses this VM name; stop one of them",
		"name", m.opts.Self.Name, "incarnation", duplicate.Incarnation)
}

// peerKind distinguishes live peers from silent and never seen ones.
type peerKind int

const (
	livePeers peerKind = iota
	silentPeers
)

// nextPeer returns the address of a suspect, or else the next peer in rotation.
func (m *Membership) nextPeer() []string {
	now := time.Now()
	m.mu.Lock()
	suspect := m.table.suspect(now)
	if suspect != nil {
		suspect.lastProbe = now
	}
	m.mu.Unlock()
	if suspect != nil {
		return []string{suspect.vm.PeerAddress}
	}
	return m.pickPeers(1, livePeers)
}

// pickPeers returns the next n peer addresses of the given kind in rotation. If no
// peer is live, it returns non-live ones.
func (m *Membership) pickPeers(n int, kind peerKind) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.liveAddresses(time.Now())
	if kind == livePeers && len(live) > 0 {
		return m.rotations[livePeers].next(live, n)
	}
	return m.rotations[silentPeers].next(m.nonLiveAddresses(live), n)
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

// nonLiveAddresses returns the peers that may be running but are not live: seeds,
// listed entry VMs and silent members.
func (m *Membership) nonLiveAddresses(live []string) []string {
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
