package storesync

import (
	"context"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

const (
	// ReceiverName is the name to register the receiver under.
	ReceiverName = "Feed"
	methodSince  = ReceiverName + ".Since"
	// pullTimeout bounds one call to another member.
	pullTimeout = 400 * time.Millisecond
)

// SinceArgs asks for what is newer than the caller's state.
type SinceArgs struct {
	// Revision is the caller's configuration.
	Revision int64
	// Servers is the caller's version of the list of backend servers.
	Servers int64
}

// SinceReply is what is newer.
type SinceReply struct {
	// Config is the newest configuration, without value where it is not newer.
	Config logservice.KeyedRecord
	// ConfigNext is the offset to read the configuration on from.
	ConfigNext int64
	// Servers are the records that changed.
	Servers []logservice.KeyedRecord
	// ServersVersion is the version of the list with these records.
	ServersVersion int64
	// ServersNext is the offset to read the servers on from.
	ServersNext int64
}

// Receiver answers the calls of other members.
type Receiver struct{ feed *Syncer }

// Receiver returns what to register under ReceiverName.
func (f *Syncer) Receiver() *Receiver { return &Receiver{feed: f} }

// Since implements the call.
func (r *Receiver) Since(args SinceArgs, reply *SinceReply) error {
	f := r.feed
	f.apply.Lock()
	defer f.apply.Unlock()
	reply.ConfigNext = f.configNext
	if f.revision.Load() > args.Revision {
		reply.Config = f.config
	}
	_, reply.ServersNext = f.servers.versions()
	reply.Servers, reply.ServersVersion = f.servers.since(args.Servers)
	return nil
}

// ObservePeer takes in the versions of another member; what is newer is asked for.
func (f *Syncer) ObservePeer(m cluster.LiveMember) {
	if m.Revision <= f.Revision() && m.ServersVersion <= f.ServersVersion() {
		return
	}
	select {
	case f.pulls <- m:
	default: // a pull is waiting already
	}
}

// pullFromPeers asks members that have something newer.
func (f *Syncer) pullFromPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-f.pulls:
			f.pull(ctx, m)
		}
	}
}

func (f *Syncer) pull(ctx context.Context, m cluster.LiveMember) {
	args := SinceArgs{Revision: f.Revision(), Servers: f.ServersVersion()}
	if m.Revision <= args.Revision && m.ServersVersion <= args.Servers {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var reply SinceReply
	if err := f.options.Client.Call(ctx, m.PeerAddress, methodSince, args, &reply); err != nil {
		f.count("pull_errors")
		f.options.Events.Warn("peer gave no update", "peer", m.VM, "error", err)
		return
	}
	f.count("pulls")
	f.putConfig(reply.Config, reply.ConfigNext, m.VM)
	f.putServers(reply.Servers, m.VM)
	f.servers.adopt(reply.ServersVersion)
	f.servers.advance(reply.ServersNext)
}
