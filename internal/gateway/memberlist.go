package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/eventlog"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

const (
	// memberListKey is the key of the record with the addresses of all members.
	memberListKey = "members"
	// memberListInterval is how often a member checks whether the record must be read
	// or written.
	memberListInterval = 500 * time.Millisecond
	// memberListCheckInterval is how often the first reader of a part of the cluster reads the
	// record, to learn of other parts.
	memberListCheckInterval = 10 * time.Second
	// memberListRetention is how long an address stays in the record while the writer does not
	// see a member there. It may belong to another part, which would add it again.
	memberListRetention = 2 * time.Minute
	// memberListTimeout bounds one call to the store.
	memberListTimeout = time.Second
	// maxWriteAttempts bounds the writes that follow one another while other parts write the record
	// between this member's read and its write.
	maxWriteAttempts = 3
	// minWriteInterval is the minimum time between two writes, so that a rolling restart
	// causes few of them.
	minWriteInterval = 5 * time.Second
	// maxReadPause bounds the pause between two reads of a member without contact to others,
	// which doubles with each read.
	maxReadPause = 8 * time.Second
)

// memberList maintains the list of cluster members in the store. Members discover each
// other there when no seed of the settings runs any more, such as after all VMs were
// lost at the same time, and parts of the cluster that have forgotten each other in a long network
// partition. The first one in the cluster's order of readers writes the list and reads it now and
// then; a member that sees no other member reads it.
type memberList struct {
	log    logservice.CompactedLog
	stream string
	node   *cluster.Node
	self   string
	events *eventlog.Logger
	// storeEpoch returns the epoch of the store. What was written in an earlier one may be
	// lost.
	storeEpoch func() int64

	written   map[netip.AddrPort]bool
	epoch     int64 // of the store when it was written
	lastWrite time.Time
	lastRead  time.Time
	readPause time.Duration
	// end is the end of the stream at the last read. A write takes effect only if the stream still
	// ends there, as it would replace what another part has written since.
	end logservice.Position
	// absentSince holds the listed addresses at which this member sees no live one, with the
	// time from which on it saw none, for memberListRetention. expired is set if others are still
	// listed.
	absentSince map[netip.AddrPort]time.Time
	expired     bool
}

// run reads or writes the list as needed until ctx is done.
func (l *memberList) run(ctx context.Context) {
	l.readPause = memberListInterval
	cluster.RunEvery(ctx, memberListInterval, l.step)
}

func (l *memberList) step(ctx context.Context, now time.Time) {
	v := l.node.View()
	if len(v.Live) < 2 {
		if now.Sub(l.lastRead) >= l.readPause {
			l.readPause = min(2*l.readPause, maxReadPause)
			l.discover(ctx, v, now)
		}
		return
	}
	l.readPause = memberListInterval
	if v.ReaderPosition(l.self) != 0 {
		return
	}
	mayWrite := now.Sub(l.lastWrite) > minWriteInterval
	writeDue := mayWrite && l.incomplete(v)
	if !writeDue && now.Sub(l.lastRead) < memberListCheckInterval {
		return
	}
	if writeDue {
		l.lastWrite = now // also if the store does not answer
	}
	for range maxWriteAttempts {
		if !l.discover(ctx, v, now) || !mayWrite || !l.expired && !l.incomplete(v) {
			return
		}
		l.lastWrite = now
		var conflict *logservice.ConflictError
		if !errors.As(l.write(ctx, v), &conflict) {
			return
		}
	}
}

// incomplete reports whether a live member is missing from the list, or the store may have
// lost it.
func (l *memberList) incomplete(v *cluster.View) bool {
	if l.storeEpoch() != l.epoch {
		return true
	}
	for _, m := range v.Live {
		if !l.written[m.DatagramAddress] {
			return true
		}
	}
	return false
}

// write writes the list: the live members, and the addresses that may belong to other parts of the
// cluster. Its error is one of logservice.CompactedLog, or that of ctx.
func (l *memberList) write(ctx context.Context, v *cluster.View) error {
	ctx, cancel := context.WithTimeout(ctx, memberListTimeout)
	defer cancel()
	epoch := l.storeEpoch()
	addresses := make([]netip.AddrPort, 0, len(v.Live)+len(l.absentSince))
	for _, m := range v.Live {
		addresses = append(addresses, m.DatagramAddress)
	}
	for address := range l.absentSince {
		addresses = append(addresses, address)
	}
	value, err := json.Marshal(addresses)
	if err == nil {
		err = l.log.Put(ctx, l.stream, memberListKey, value, l.end)
	}
	if err != nil {
		l.events.Warn("writing the member list failed", "members", len(addresses), "error", err)
		return err
	}
	l.setWritten(addresses, epoch)
	l.expired = false
	l.events.Info("member list written", "members", len(addresses), "not_seen", len(l.absentSince))
	return nil
}

func (l *memberList) setWritten(addresses []netip.AddrPort, epoch int64) {
	l.written, l.epoch = make(map[netip.AddrPort]bool, len(addresses)), epoch
	for _, address := range addresses {
		l.written[address] = true
	}
}

// discover reads the list and makes the addresses at which this member sees no live one its seeds.
// It reports whether the read succeeded.
func (l *memberList) discover(ctx context.Context, v *cluster.View, now time.Time) bool {
	l.lastRead = now
	epoch := l.storeEpoch()
	listed, end, err := l.read(ctx)
	if err != nil {
		l.events.Warn("reading the member list failed", "error", err)
		return false
	}
	l.end = end
	l.setWritten(listed, epoch)
	before := l.absentSince
	l.absentSince, l.expired = map[netip.AddrPort]time.Time{}, false
	found := 0
	for _, address := range withoutLive(listed, v) {
		since, known := before[address]
		if !known {
			since = now
			found++
		}
		if now.Sub(since) > memberListRetention {
			l.expired = true
			continue
		}
		l.absentSince[address] = since
		l.node.SuggestSeeds(now, address)
	}
	if found > 0 {
		l.events.Info("member list read", "members", len(listed), "not_seen", len(l.absentSince))
	}
	return true
}

// withoutLive returns the addresses at which the view has no live member.
func withoutLive(addresses []netip.AddrPort, v *cluster.View) []netip.AddrPort {
	live := make(map[netip.AddrPort]bool, len(v.Live))
	for _, m := range v.Live {
		live[m.DatagramAddress] = true
	}
	return slices.DeleteFunc(addresses, func(a netip.AddrPort) bool { return live[a] })
}

// read returns the addresses in the list and the end of its stream. Its error is one of
// logservice.CompactedLog, or that of ctx. What can't be decoded is logged and left out.
func (l *memberList) read(ctx context.Context) ([]netip.AddrPort, logservice.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, memberListTimeout)
	defer cancel()
	page, err := l.log.Newest(ctx, l.stream)
	if err != nil {
		return nil, 0, err
	}
	var listed []netip.AddrPort
	for _, record := range page.Records {
		if record.IsTombstone() {
			continue
		}
		var addresses []netip.AddrPort
		if err := json.Unmarshal(record.Value, &addresses); err != nil {
			l.events.Warn("malformed member list ignored", "key", record.Key, "position", record.Position.String(), "error", err)
			continue
		}
		listed = append(listed, addresses...)
	}
	return listed, page.Next, nil
}
