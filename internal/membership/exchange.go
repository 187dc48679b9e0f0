package membership

import (
	"context"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// exchange sends one heartbeat and handles the reply.
func (m *Membership) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply := &peer.Heartbeat{}
	if err := m.opts.Client.Call(ctx, address, peer.MethodHeartbeat, m.newHeartbeat(nil), reply); err != nil {
		m.opts.Scope.Counter("membership_heartbeats_failed").Inc(1)
		m.opts.Logger.Debug("heartbeat failed", "peer", address, "error", err)
		return
	}
	m.opts.Scope.Counter("membership_heartbeats").Inc(1)
	m.handleHeartbeat(ctx, reply)
}

// newHeartbeat returns a heartbeat for a peer. The known liveness counters, which
// the peer has sent, are omitted.
func (m *Membership) newHeartbeat(known peer.LivenessList) *peer.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return &peer.Heartbeat{
		Address: m.opts.Self.PeerAddress,
		Row:     m.table.self.Row,
		Signs:   m.table.livenessToSend(now, known),
		Rows:    m.table.statesToSend(now),
		Notices: m.table.notices.toSend(),
	}
}

// handleHeartbeat merges a peer's heartbeat, fetches unknown members from the
// peer, and schedules gossip if anything changed.
func (m *Membership) handleHeartbeat(ctx context.Context, h *peer.Heartbeat) {
	now := time.Now()
	m.mu.Lock()
	isFirst := len(m.table.members) == 0
	unknown := m.table.mergeLiveness(now, h.Signs)
	changed := m.table.mergeStates(append(h.Rows, h.Row))
	changed = m.table.notices.merge(now, h.Notices) || changed
	m.mu.Unlock()
	m.opts.Follower.CheckDivergence(h.Address, h.Row.Offset, h.Row.State)
	m.reportProgress()
	if isFirst {
		unknown = nil // requests all members
	}
	if isFirst || len(unknown) > 0 {
		changed = m.fetchMembers(ctx, h.Address, unknown) || changed
	}
	if changed {
		m.scheduleGossip()
	}
}

// reportProgress reports to the follower the entry with the highest config offset
// and the newest snapshot, if they are ahead of the follower's own.
func (m *Membership) reportProgress() {
	own, snapshot := m.opts.Follower.Offsets()
	m.mu.Lock()
	address, offset := m.table.mostAdvanced(time.Now())
	newest := m.table.newestSnapshot()
	m.mu.Unlock()
	if offset > own {
		m.opts.Follower.ObservePeerOffset(address, offset)
	}
	if newest > snapshot {
		m.opts.Follower.ObserveSnapshot(newest)
	}
}

// fetchMembers fetches members by their short ids from a peer, or all members and
// notices if ids is empty. It reports whether anything changed.
func (m *Membership) fetchMembers(ctx context.Context, address string, ids []uint64) bool {
	reply := &peer.DescribeReply{}
	err := m.opts.Client.Call(ctx, address, peer.MethodDescribe, &peer.DescribeArgs{IDs: ids}, reply)
	if err != nil {
		m.opts.Logger.Debug("failed to get members from peer", "peer", address, "error", err)
		return false
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.table.addMembers(now, reply.Members)
	return m.table.notices.merge(now, reply.Notices) || changed
}
