package membership

import (
	"context"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// Receiver answers the calls of other entries; register it with a peer.Server
// under peer.ReceiverMembership.
type Receiver struct {
	m *Membership
}

// Receiver returns the receiver of this membership.
func (m *Membership) Receiver() *Receiver { return &Receiver{m: m} }

// Heartbeat takes in what a peer knows and returns what this entry knows.
func (r *Receiver) Heartbeat(args *peer.Heartbeat, reply *peer.HeartbeatReply) error {
	own := r.m.heartbeat()
	reply.From, reply.Rows, reply.Notices = own.From, own.Rows, own.Notices
	ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
	defer cancel()
	r.m.take(ctx, args.From, args.Rows, args.Notices)
	return nil
}

// Describe returns the VMs of processes.
func (r *Receiver) Describe(args *peer.DescribeArgs, reply *peer.DescribeReply) error {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	reply.Members = r.m.table.described(time.Now(), args.Incarnations)
	if len(args.Incarnations) == 0 {
		reply.Notices = r.m.table.notices.all()
	}
	return nil
}

// VMs returns this entry's VM list where it is the newer one.
func (r *Receiver) VMs(args *peer.VMsArgs, reply *peer.VMsReply) error {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	list := r.m.table.list
	if !list.known() {
		return nil
	}
	reply.AgeMs = time.Since(list.asOf).Milliseconds()
	reply.Hash = list.hash
	reply.Newer = args.Hash == 0 || reply.AgeMs < args.AgeMs
	if reply.Newer && list.hash != args.Hash {
		reply.VMs = list.vms
	}
	return nil
}
