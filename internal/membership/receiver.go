package membership

import (
	"context"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// Receiver serves the net/rpc calls of other entries. Register it with a
// peer.Server under peer.ReceiverMembership.
type Receiver struct {
	m *Membership
}

// Receiver returns the receiver of this membership.
func (m *Membership) Receiver() *Receiver { return &Receiver{m: m} }

// Heartbeat merges a peer's heartbeat and replies with this entry's own. The error
// is always nil.
func (r *Receiver) Heartbeat(args, reply *peer.Heartbeat) error {
	*reply = *r.m.newHeartbeat(args.Signs)
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	r.m.handleHeartbeat(ctx, args)
	return nil
}

// Describe returns the requested members, or all members and notices if none is
// requested. The error is always nil.
func (r *Receiver) Describe(args *peer.DescribeArgs, reply *peer.DescribeReply) error {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	reply.Members = r.m.table.membersByID(time.Now(), args.IDs)
	if len(args.IDs) == 0 {
		reply.Notices = r.m.table.notices.all()
	}
	return nil
}

// VMs returns this entry's VM list if it is newer than the caller's. The error is
// always nil.
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
