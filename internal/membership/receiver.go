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
func (r *Receiver) Heartbeat(args, reply *peer.Heartbeat) error {
	*reply = *r.m.heartbeat(args.Signs)
	ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
	defer cancel()
	r.m.take(ctx, args)
	return nil
}

// Describe returns processes and their VMs.
func (r *Receiver) Describe(args *peer.DescribeArgs, reply *peer.DescribeReply) error {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	reply.Members = r.m.table.described(time.Now(), args.IDs)
	if len(args.IDs) == 0 {
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
