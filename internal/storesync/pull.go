package storesync

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/freshness"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/steady"
)

const (
	// ReceiverName is the name to register the receiver under.
	ReceiverName = "Feed"
	methodSince  = ReceiverName + ".Since"
	// pullTimeout bounds one call to another member. A chunk of each of the transfers that
	// a member serves at the same time passes its link well within it.
	pullTimeout = 800 * time.Millisecond
	// chunkBytes is the part of an encoded update that one call returns.
	chunkBytes = 64 << 10
	// minChunkBytes bounds the calls for an update: a smaller chunk must be the last one.
	minChunkBytes = 16 << 10
	// largeUpdateBytes is the size of an encoded update above which it counts as a large
	// transfer.
	largeUpdateBytes = 4 << 10
	// maxTransfers bounds the large transfers that a member serves at the same time.
	// Others ask another member: each that has received the update serves it as well.
	maxTransfers = 3
	// transferTimeout is how long a transfer is in progress after its last chunk if it is
	// not complete.
	transferTimeout = 400 * time.Millisecond
	// busyPause is the pause before another member is asked after one was busy.
	busyPause = 20 * time.Millisecond
	// maxPullTries bounds the members that are asked after one heartbeat with a newer
	// version.
	maxPullTries = 3
	// maxFetchRestarts bounds how often a fetch starts again because the member has applied
	// something newer meanwhile.
	maxFetchRestarts = 4
	// behindTime is how long after a heartbeat with a newer revision this member is
	// known to be behind. Other heartbeats extend it.
	behindTime = 2 * time.Second
)

// SinceArgs requests the changes since the caller's versions.
type SinceArgs struct {
	// Caller is the name of the caller's VM.
	Caller string
	// Revision is the revision of the caller's configuration.
	Revision int64
	// Digest is that of the caller's configuration, zero if it needs no proof: the member may have
	// another one of the same revision.
	Digest uint64
	// Servers is the version of the caller's list of backend servers.
	Servers int64
	// Offset is the number of bytes of the encoded update that the caller has already, and
	// Update their id, zero for the first chunk.
	Offset int
	Update uint64
}

// SinceReply holds a chunk of the changes since the caller's versions.
type SinceReply struct {
	// Busy is set if the update is large and the member already serves others; Chunk is
	// then empty.
	Busy bool
	// Update identifies the encoded update. If it is not the requested one, the caller
	// must start again.
	Update uint64
	// Size is the size of the encoded update in bytes, and Chunk the part at the offset.
	Size  int
	Chunk []byte
	// Evidence is about the member's configuration, the zero value if it has none.
	Evidence freshness.Evidence
}

// Receiver serves the RPCs of other members.
type Receiver struct {
	syncer *Syncer

	mu        sync.Mutex           // guards the fields below; taken before Syncer.applyMu
	transfers map[string]time.Time // time of the last chunk, by caller
	last      encodedUpdate
}

// encodedUpdate is an update in encoded form, with the versions that it leads from and to.
type encodedUpdate struct {
	id                uint64 // hash of data
	fromRevision      int64
	fromDigest        uint64
	fromServers       int64
	revision, servers int64
	digest            uint64
	evacuations       evacuationVersion
	data              []byte
}

// Receiver returns the net/rpc receiver to register under ReceiverName.
func (s *Syncer) Receiver() *Receiver {
	return &Receiver{syncer: s, transfers: map[string]time.Time{}}
}

// Since replies with the configuration and the servers that changed since the caller's
// versions, one chunk a call.
func (r *Receiver) Since(args SinceArgs, reply *SinceReply) error {
	reply.Evidence, _ = r.syncer.proof.evidence()
	r.mu.Lock()
	defer r.mu.Unlock()
	u, err := r.encoded(args)
	if err != nil {
		return err
	}
	reply.Update, reply.Size = u.id, len(u.data)
	if args.Offset < 0 || args.Offset > len(u.data) || args.Offset > 0 && args.Update != u.id {
		return nil // the caller starts again
	}
	end := min(args.Offset+chunkBytes, len(u.data))
	if len(u.data) > largeUpdateBytes && !r.admitTransfer(args.Caller, end == len(u.data), time.Now()) {
		r.syncer.count("pulls_refused")
		reply.Busy = true
		return nil
	}
	reply.Chunk = u.data[args.Offset:end]
	return nil
}

// admitTransfer reports whether the caller may have a chunk of a large update, and records
// it. r.mu must be held.
func (r *Receiver) admitTransfer(caller string, last bool, now time.Time) bool {
	for other, at := range r.transfers {
		if now.Sub(at) > transferTimeout {
			delete(r.transfers, other)
		}
	}
	if _, begun := r.transfers[caller]; !begun && len(r.transfers) >= maxTransfers {
		return false
	}
	r.transfers[caller] = now
	if last {
		// The last chunk still has to pass the link.
		r.transfers[caller] = now.Add(lastChunkTime - transferTimeout)
	}
	return true
}

// lastChunkTime is how long a transfer counts as in progress after its last chunk was read.
const lastChunkTime = 60 * time.Millisecond

// encoded returns the encoded update since the caller's versions. The members of a cluster
// mostly ask for the same one, so the last large one is kept. r.mu must be held.
func (r *Receiver) encoded(args SinceArgs) (*encodedUpdate, error) {
	s := r.syncer
	last := r.last
	if last.data != nil && last.fromRevision == args.Revision && last.fromDigest == args.Digest && last.fromServers == args.Servers &&
		last.revision == s.Revision() && last.digest == s.proof.digest() && last.servers == s.ServersVersion() && last.evacuations == s.evacuations.currentVersion() {
		return &last, nil
	}
	revision, digest := s.Revision(), s.proof.digest() // of the update or an earlier one
	u := s.updateSince(args)
	data, err := u.encode()
	if err != nil {
		return nil, err
	}
	next := encodedUpdate{
		id: xxhash.Sum64(data), data: data,
		fromRevision: args.Revision, fromDigest: args.Digest, fromServers: args.Servers,
		revision: revision, digest: digest, servers: int64(u.ServersVersion), evacuations: u.Evacuations.version(),
	}
	if len(data) > largeUpdateBytes {
		r.last = next
	}
	return &next, nil
}

func (s *Syncer) updateSince(args SinceArgs) *update {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	u := &update{ConfigNext: s.configNext, Evacuations: s.evacuations.state()}
	rewritten := s.revision.Load() == args.Revision && args.Digest != 0 && args.Digest != s.proof.digest()
	if s.revision.Load() > args.Revision || rewritten && s.proof != nil {
		u.Config = s.config
	}
	if !s.deferred.pending() {
		_, u.ServersNext = s.servers.versions()
	}
	changes := s.servers.since(logservice.Position(args.Servers))
	u.Servers, u.ServersVersion, u.ServersComplete = changes.records, changes.version, changes.complete
	u.RemovedNumbers = s.servers.removedNumbers(u.Servers)
	return u
}

// ObservePeer evaluates the heartbeat of another member: what it knows of the store, and its
// versions. If these are newer, it schedules a pull. It does not block.
func (s *Syncer) ObservePeer(m cluster.LiveMember) {
	now := time.Now()
	if s.outages.observePeer(now, now.Add(-m.StoreReadAge), m.StoreFailing, s.lastServersRead()) {
		s.onOutageEnd(now, m.VM)
	}
	s.observeNewer(m.Revision)
	if s.lacks(m) {
		s.schedulePull(m)
	}
}

// observeNewer records the revision that another member has, if it is newer than the active one.
func (s *Syncer) observeNewer(revision int64) {
	if revision > s.Revision() {
		s.newerSeenAt.Store(steady.Nanos(time.Now()))
		s.proof.observeNewer(revision)
	}
}

// schedulePull schedules a pull from the member. It does not block.
func (s *Syncer) schedulePull(m cluster.LiveMember) {
	select {
	case s.pulls <- m:
	default: // a pull is already pending
	}
}

// lacks reports whether the member has newer data than this one, or other servers or evacuated
// zones in the same version.
func (s *Syncer) lacks(m cluster.LiveMember) bool {
	return m.Revision > s.Revision() || m.ServersVersion > s.ServersVersion() || s.differs(m) || s.lacksEvacuations(m)
}

// differs reports whether the member has other servers in the same version of the list, as far
// as it has sent a hash. That is so where one of them read a restored store and the other one
// knows later records of the epoch before. Both then pull all servers of the other one.
func (s *Syncer) differs(m cluster.LiveMember) bool {
	version, hash := s.ServersVersionAndHash()
	return version > 0 && m.ServersVersion == version && m.ServersHash != 0 && m.ServersHash != hash
}

const (
	// minComparePause and maxComparePause bound the pause between two pulls of all servers
	// because they differ, which doubles while they go on to.
	minComparePause = 100 * time.Millisecond
	maxComparePause = 10 * time.Second
)

// comparison bounds the pulls of all servers.
type comparison struct {
	mu    sync.Mutex // guards the fields below
	last  time.Time
	pause time.Duration
}

// due reports whether all servers must be pulled now, and counts it.
func (c *comparison) due(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.last) < c.pause {
		return false
	}
	if now.Sub(c.last) > 2*maxComparePause {
		c.pause = 0
	}
	c.last, c.pause = now, min(max(2*c.pause, minComparePause), maxComparePause)
	return true
}

// IsBehind reports whether another member announced a newer configuration than the active
// one within the last behindTime.
func (s *Syncer) IsBehind() bool {
	at := s.newerSeenAt.Load()
	return at != 0 && at > s.appliedAt.Load() && time.Since(steady.Time(at)) < behindTime
}

// pullFromPeers runs the scheduled pulls until ctx is done.
func (s *Syncer) pullFromPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.pulls:
			s.pullFromAny(ctx, m)
		}
	}
}

// pullFromAny pulls from the member, or from others with newer versions if it is busy.
func (s *Syncer) pullFromAny(ctx context.Context, m cluster.LiveMember) {
	for range maxPullTries {
		if s.pull(ctx, m) {
			return
		}
		sleep(ctx, busyPause)
		other, ok := s.otherSource(m)
		if !ok {
			return
		}
		m = other
	}
}

// otherSource returns a random live member with newer versions, other than the one that
// was asked last. Members of this availability zone are preferred.
func (s *Syncer) otherSource(last cluster.LiveMember) (cluster.LiveMember, bool) {
	var local, remote []cluster.LiveMember
	for _, m := range s.options.View().Live {
		if m.VM == last.VM || m.VM == s.options.Self || !s.lacks(m) {
			continue
		}
		if m.Zone == s.options.Zone {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return cluster.LiveMember{}, false
	}
	return local[rand.IntN(len(local))], true
}

// pull fetches and applies the changes that a member announced. It returns false if the
// member was busy.
func (s *Syncer) pull(ctx context.Context, m cluster.LiveMember) bool {
	if !s.lacks(m) || s.comparesTooSoon(m) {
		return true
	}
	args := SinceArgs{Caller: s.options.Self, Revision: s.Revision(), Digest: s.proof.digest(), Servers: s.ServersVersion()}
	if s.differs(m) {
		if !s.comparison.due(time.Now()) {
			return true
		}
		args.Servers = 0
		s.count("servers_differ")
		s.options.Events.Info("other servers in the same version", "peer", m.VM, "version", logservice.Position(m.ServersVersion).String())
	}
	data, err := s.fetch(ctx, m, args)
	var busy *busyError
	if errors.As(err, &busy) {
		s.count("pulls_busy")
		return false
	}
	var u *update
	if err == nil {
		u, err = decodeUpdate(data)
	}
	if err != nil {
		s.count("pull_errors")
		s.options.Events.Warn("peer gave no update", "peer", m.VM, "error", err)
		return true
	}
	s.count("pulls")
	s.applyUpdate(u, m.VM)
	return true
}

// busyError reports that a member already serves as many large updates as it may.
type busyError struct{ vm string }

func (e *busyError) Error() string { return e.vm + " already serves other members" }

// fetch fetches an encoded update, chunk by chunk.
func (s *Syncer) fetch(ctx context.Context, m cluster.LiveMember, args SinceArgs) ([]byte, error) {
	var data []byte
	for restarts := 0; restarts <= maxFetchRestarts; {
		var reply SinceReply
		callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		args.Offset = len(data)
		sent := s.proof.now()
		err := s.options.Client.Call(callCtx, m.PeerAddress, methodSince, args, &reply)
		cancel()
		if err == nil {
			s.proof.observe(reply.Evidence, sent)
		}
		switch {
		case err != nil:
			return nil, err
		case reply.Busy:
			return nil, &busyError{m.VM}
		case len(data) > 0 && reply.Update != args.Update:
			// The member has applied something newer meanwhile.
			data, args.Update = nil, 0
			restarts++
			continue
		case reply.Size > maxUpdateBytes || len(data)+len(reply.Chunk) > reply.Size ||
			len(reply.Chunk) < min(minChunkBytes, reply.Size-len(data)):
			return nil, &UpdateError{Cause: fmt.Sprintf("chunk of %d bytes at %d of %d", len(reply.Chunk), len(data), reply.Size)}
		}
		args.Update = reply.Update
		data = append(data, reply.Chunk...)
		if len(data) >= reply.Size {
			return data, nil
		}
	}
	return nil, &UpdateError{Cause: "it changed too often while it was fetched"}
}

func (s *Syncer) applyUpdate(u *update, source string) {
	s.applyPeerEvacuations(u, source)
	s.applyConfig([]logservice.KeyedRecord{u.Config}, u.configNext(), source)
	s.applyPeerServers(u, source)
	s.servers.adoptNumbers(u.RemovedNumbers)
	s.servers.adoptVersion(u.ServersVersion)
	s.servers.advanceFromPeer(u.ServersNext)
}
