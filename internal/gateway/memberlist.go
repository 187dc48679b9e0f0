package gateway

import (
	"context"
	"encoding/json"
	"net/netip"
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
	// memberListTimeout bounds one call to the store.
	memberListTimeout = time.Second
	// minWriteInterval is the minimum time between two writes, so that a rolling restart
	// causes few of them.
	minWriteInterval = 5 * time.Second
	// maxReadPause bounds the pause between two reads, which doubles with each read.
	maxReadPause = 8 * time.Second
)

// memberList maintains the list of cluster members in the store. Members discover each
// other there when no seed of the settings runs any more, such as after all VMs were
// lost at the same time. The first one in the cluster's order of readers writes the list, and a
// member that sees no other member reads it.
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
}

// run reads or writes the list as needed until ctx is done.
func (l *memberList) run(ctx context.Context) {
	l.readPause = memberListInterval
	cluster.RunEvery(ctx, memberListInterval, l.step)
}

func (l *memberList) step(ctx context.Context, now time.Time) {
	v := l.node.View()
	switch {
	case len(v.Live) < 2:
		l.read(ctx, now)
	case v.ReaderPosition(l.self) == 0 && now.Sub(l.lastWrite) > minWriteInterval && l.incomplete(v):
		l.lastWrite = now
		l.write(ctx, v)
	}
}

// incomplete reports whether a live member is missing from the list, or the store may have
// lost it. Stopped members may
// stay in the list, which only costs hellos without a reply.
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

func (l *memberList) write(ctx context.Context, v *cluster.View) {
	ctx, cancel := context.WithTimeout(ctx, memberListTimeout)
	defer cancel()
	epoch := l.storeEpoch()
	addresses := make([]netip.AddrPort, 0, len(v.Live))
	written := make(map[netip.AddrPort]bool, len(v.Live))
	for _, m := range v.Live {
		addresses = append(addresses, m.DatagramAddress)
		written[m.DatagramAddress] = true
	}
	value, err := json.Marshal(addresses)
	if err == nil {
		err = l.log.Put(ctx, l.stream, memberListKey, value)
	}
	if err != nil {
		l.events.Warn("writing the member list failed", "members", len(addresses), "error", err)
		return
	}
	l.written, l.epoch = written, epoch
	l.events.Info("member list written", "members", len(addresses))
}

func (l *memberList) read(ctx context.Context, now time.Time) {
	if now.Sub(l.lastRead) < l.readPause {
		return
	}
	l.lastRead = now
	l.readPause = min(2*l.readPause, maxReadPause)
	ctx, cancel := context.WithTimeout(ctx, memberListTimeout)
	defer cancel()
	page, err := l.log.Newest(ctx, l.stream)
	if err != nil {
		l.events.Warn("reading the member list failed", "error", err)
		return
	}
	for _, record := range page.Records {
		var addresses []netip.AddrPort
		if err := json.Unmarshal(record.Value, &addresses); err != nil {
			l.events.Warn("malformed member list ignored", "key", record.Key, "position", record.Position.String(), "error", err)
			continue
		}
		l.node.AddSeeds(addresses...)
		l.events.Info("member list read", "members", len(addresses), "position", record.Position.String())
	}
}
