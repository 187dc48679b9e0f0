package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
)

const (
	// pollInterval is the mean time between two reads of the VM list. Each entry
	// reads at its own time and passes on what it learns of leaving VMs.
	pollInterval = 5 * time.Second
	// pollBytesPerSecond bounds what reading the VM list takes: after a large
	// answer the next read waits longer.
	pollBytesPerSecond = 2 << 10
	// listStaleAfter is the age from which the list is also asked from peers.
	listStaleAfter = 15 * time.Second
	// listTimeout is the deadline of asking a peer for its list.
	listTimeout = 2 * time.Second
)

// pollList reads the VM list until the context ends. Where the platform does
// not answer, the last list is kept and a peer is asked for a newer one.
func (m *Membership) pollList(ctx context.Context) {
	for {
		if !m.readList(ctx) && ctx.Err() == nil {
			m.askForList(ctx)
		}
		select {
		case <-time.After(m.pollWait()):
		case <-ctx.Done():
			return
		}
	}
}

// sizedSource is a VM list that knows the size of its last answer, as that of
// the platform does.
type sizedSource interface {
	VMsBytes() int64
}

func (m *Membership) answerBytes() int64 {
	if s, ok := m.opts.VMs.(sizedSource); ok {
		return s.VMsBytes()
	}
	return 0
}

// pollWait spreads the reads of the entries over time, and keeps them within
// their bytes a second. Without any list the next try comes soon.
func (m *Membership) pollWait() time.Duration {
	m.mu.Lock()
	known := m.table.list.known()
	m.mu.Unlock()
	if !known {
		return beatInterval
	}
	least := time.Duration(m.answerBytes()) * time.Second / pollBytesPerSecond
	return max(pollInterval/2, least) + rand.N(pollInterval)
}

func (m *Membership) readList(ctx context.Context) bool {
	vms, err := m.opts.VMs.VMs(ctx)
	if err != nil {
		m.opts.Scope.Counter("membership_list_failed").Inc(1)
		m.opts.Logger.Warn("VM list not read; the last one stays in use", "error", err)
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
		m.spread()
	}
}

// askForList asks one peer for a VM list that is newer than this entry's.
func (m *Membership) askForList(ctx context.Context) {
	m.mu.Lock()
	own := m.table.list
	m.mu.Unlock()
	age := time.Since(own.asOf)
	if own.known() && age < listStaleAfter {
		return
	}
	args := &peer.VMsArgs{Hash: own.hash, AgeMs: age.Milliseconds()}
	for _, address := range m.pick(1, livePeers) {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		reply := &peer.VMsReply{}
		if err := m.opts.Client.Call(ctx, address, peer.MethodVMs, args, reply); err != nil {
			m.opts.Logger.Debug("VM list not got from peer", "peer", address, "error", err)
			return
		}
		m.takeList(own, reply)
	}
}

func (m *Membership) takeList(own vmList, reply *peer.VMsReply) {
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
