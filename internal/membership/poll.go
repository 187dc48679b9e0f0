package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
)

const (
	// pollInterval is the mean time between two reads of the VM list. Each entry
	// reads at its own random time and gossips changes of leaving VMs.
	pollInterval = 5 * time.Second
	// maxPollBytesPerSecond bounds the traffic of reading the VM list: after a
	// large response the next read waits longer.
	maxPollBytesPerSecond = 2 << 10
	// listStaleAfter is the age from which a newer list is requested from a peer.
	listStaleAfter = 15 * time.Second
	// listTimeout is the deadline of requesting the list from a peer.
	listTimeout = 2 * time.Second
)

// pollListLoop reads the VM list until the context ends. If the platform is
// unavailable, the last list stays in use and a newer one is requested from a peer.
func (m *Membership) pollListLoop(ctx context.Context) {
	for {
		if !m.readList(ctx) && ctx.Err() == nil {
			m.fetchList(ctx)
		}
		select {
		case <-time.After(m.pollWait()):
		case <-ctx.Done():
			return
		}
	}
}

// sizedVMList is a VM list that reports the size of its last response in bytes.
// The platform's implements it.
type sizedVMList interface {
	VMsBytes() int64
}

func (m *Membership) lastResponseBytes() int64 {
	if s, ok := m.opts.VMs.(sizedVMList); ok {
		return s.VMsBytes()
	}
	return 0
}

// pollWait returns the time until the next read. It randomizes the reads of the
// entries and keeps them within maxPollBytesPerSecond. Without any list the next
// attempt comes soon.
func (m *Membership) pollWait() time.Duration {
	m.mu.Lock()
	known := m.table.list.known()
	m.mu.Unlock()
	if !known {
		return heartbeatInterval
	}
	minWait := time.Duration(m.lastResponseBytes()) * time.Second / maxPollBytesPerSecond
	return max(pollInterval/2, minWait) + rand.N(pollInterval)
}

func (m *Membership) readList(ctx context.Context) bool {
	vms, err := m.opts.VMs.VMs(ctx)
	if err != nil {
		m.opts.Scope.Counter("membership_list_failed").Inc(1)
		m.opts.Logger.Warn("failed to read the VM list; the last one stays in use", "error", err)
		return false
	}
	m.setList(newVMList(vms, time.Now()))
	return true
}

func (m *Membership) setList(list vmList) {
	m.mu.Lock()
	changed := m.table.setList(time.Now(), list)
	m.mu.Unlock()
	if changed {
		m.scheduleGossip()
	}
}

// fetchList requests a newer VM list from one peer, if this entry's list is stale.
func (m *Membership) fetchList(ctx context.Context) {
	m.mu.Lock()
	own := m.table.list
	m.mu.Unlock()
	age := time.Since(own.asOf)
	if own.known() && age < listStaleAfter {
		return
	}
	args := &peer.VMsArgs{Hash: own.hash, AgeMs: age.Milliseconds()}
	for _, address := range m.pickPeers(1, livePeers) {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		reply := &peer.VMsReply{}
		if err := m.opts.Client.Call(ctx, address, peer.MethodVMs, args, reply); err != nil {
			m.opts.Logger.Debug("failed to get the VM list from peer", "peer", address, "error", err)
			return
		}
		m.handleListReply(own, reply)
	}
}

func (m *Membership) handleListReply(own vmList, reply *peer.VMsReply) {
	asOf := time.Now().Add(-time.Duration(reply.AgeMs) * time.Millisecond)
	switch {
	case !reply.Newer:
	case own.known() && reply.Hash == own.hash:
		own.asOf = asOf
		m.setList(own)
	default:
		m.setList(newVMList(reply.VMs, asOf))
	}
}
