package membership

import (
	"context"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// exchange sends one heartbeat and takes in the reply.
func (m *Membership) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	reply := &peer.Heartbeat{}
	if err := m.opts.Client.Call(ctx, address, peer.MethodHeartbeat, m.heartbeat(nil), reply); err != nil {
		m.opts.Scope.Counter("membership_heartbeats_failed").Inc(1)
		m.opts.Logger.Debug("heartbeat failed", "peer", address, "error", err)
		return
	}
	m.opts.Scope.Counter("membership_heartbeats").Inc(1)
	m.take(ctx, reply)
}

// heartbeat returns what this entry tells a peer that has shown to know some
// signs.
func (m *Membership) heartbeat(known peer.LivenessList) *peer.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return &peer.Heartbeat{
		Address: m.opts.Self.PeerAddress,
		Row:     m.table.self.Row,
		Signs:   m.table.signsToSend(now, known),
		Rows:    m.table.rowsToSend(now),
		Notices: m.table.notices.toSend(),
	}
}

// take merges what a peer told and asks it for processes that are not known.
func (m *Membership) take(ctx context.Context, h *peer.Heartbeat) {
	now := time.Now()
	m.mu.Lock()
	isFirst := len(m.table.members) == 0
	unknown := m.table.mergeSigns(now, h.Signs)
	isNews := m.table.mergeRows(append(h.Rows, h.Row))
	isNews = m.table.notices.merge(now, h.Notices) || isNews
	m.mu.Unlock()
	m.opts.Follower.CheckDivergence(h.Address, h.Row.Offset, h.Row.State)
	m.offer()
	if isFirst {
		unknown = nil // asks for everything
	}
	if isFirst || len(unknown) > 0 {
		isNews = m.ask(ctx, h.Address, unknown) || isNews
	}
	if isNews {
		m.spread()
	}
}

// offer tells the follower of the entry that is furthest ahead and of snapshots.
func (m *Membership) offer() {
	own, snapshot := m.opts.Follower.Position()
	m.mu.Lock()
	address, offset := m.table.furthest(time.Now())
	newest := m.table.newestSnapshot()
	m.mu.Unlock()
	if offset > own {
		m.opts.Follower.ObservePeerOffset(address, offset)
	}
	if newest > snapshot {
		m.opts.Follower.ObserveSnapshot(newest)
	}
}

// ask fetches processes, or everything where none is named, and reports whether
// there was news in it.
func (m *Membership) ask(ctx context.Context, address string, ids []uint64) bool {
	reply := &peer.DescribeReply{}
	err := m.opts.Client.Call(ctx, address, peer.MethodDescribe, &peer.DescribeArgs{IDs: ids}, reply)
	if err != nil {
		m.opts.Logger.Debug("processes not got from peer", "peer", address, "error", err)
		return false
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	isNews := m.table.describe(now, reply.Members)
	return m.table.notices.merge(now, reply.Notices) || isNews
}
