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

// SinceArgs requests the changes since the caller's versions.
type SinceArgs struct {
	// Revision is the revision of the caller's configuration.
	Revision int64
	// Servers is the version of the caller's list of backend servers.
	Servers int64
}

// SinceReply holds the changes since the caller's versions.
type SinceReply struct {
	// Config is the active configuration, empty if it is not newer.
	Config logservice.KeyedRecord
	// ConfigNext is the offset from which to continue reading the configuration.
	ConfigNext int64
	// Servers are the records that changed.
	Servers []logservice.KeyedRecord
	// ServersVersion is the version of the list that includes these records.
	ServersVersion int64
	// ServersNext is the offset from which to continue reading the servers.
	ServersNext int64
}

// Receiver serves the RPCs of other members.
type Receiver struct{ syncer *Syncer }

// Receiver returns the net/rpc receiver to register under ReceiverName.
func (s *Syncer) Receiver() *Receiver { return &Receiver{syncer: s} }

// Since replies with the configuration and the servers that changed since the caller's
// versions.
func (r *Receiver) Since(args SinceArgs, reply *SinceReply) error {
	s := r.syncer
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	reply.ConfigNext = s.configNext
	if s.revision.Load() > args.Revision {
		reply.Config = s.config
	}
	_, reply.ServersNext = s.servers.versions()
	reply.Servers, reply.ServersVersion = s.servers.since(args.Servers)
	return nil
}

// ObservePeer schedules a pull from another member if its versions are newer. It does
// not block.
func (s *Syncer) ObservePeer(m cluster.LiveMember) {
	if m.Revision <= s.Revision() && m.ServersVersion <= s.ServersVersion() {
		return
	}
	select {
	case s.pulls <- m:
	default: // a pull is already pending
	}
}

// pullFromPeers runs the scheduled pulls until ctx is done.
func (s *Syncer) pullFromPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.pulls:
			s.pull(ctx, m)
		}
	}
}

func (s *Syncer) pull(ctx context.Context, m cluster.LiveMember) {
	args := SinceArgs{Revision: s.Revision(), Servers: s.ServersVersion()}
	if m.Revision <= args.Revision && m.ServersVersion <= args.Servers {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var reply SinceReply
	if err := s.options.Client.Call(ctx, m.PeerAddress, methodSince, args, &reply); err != nil {
		s.count("pull_errors")
		s.options.Events.Warn("peer gave no update", "peer", m.VM, "error", err)
		return
	}
	s.count("pulls")
	s.applyConfig(reply.Config, reply.ConfigNext, m.VM)
	s.applyServers(reply.Servers, m.VM)
	s.servers.adoptVersion(reply.ServersVersion)
	s.servers.advance(reply.ServersNext)
}
