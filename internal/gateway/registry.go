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
	// registryKey is the record with the addresses of all members.
	registryKey = "members"
	// registryInterval is how often a member looks whether the record is to be
	// read or written.
	registryInterval = 500 * time.Millisecond
	// registryTimeout bounds one call.
	registryTimeout = time.Second
	// writePause is the least time between two writes, so that a rolling restart
	// costs few of them.
	writePause = 5 * time.Second
	// longestReadPause bounds the doubling of the pause between two reads.
	longestReadPause = 8 * time.Second
)

// registry is the store's list of members. They find each other there when no
// seed of the settings is left, such as after every VM was lost at once. The
// first reader of the mesh keeps it; a member that hears no other reads it.
type registry struct {
	log    logservice.CompactedLog
	stream string
	node   *cluster.Node
	self   string
	events *eventlog.Logger

	written   map[netip.AddrPort]bool
	lastWrite time.Time
	lastRead  time.Time
	readPause time.Duration
}

// run keeps the list until ctx ends.
func (r *registry) run(ctx context.Context) {
	r.readPause = registryInterval
	cluster.RunEvery(ctx, registryInterval, r.step)
}

func (r *registry) step(ctx context.Context, now time.Time) {
	v := r.node.View()
	switch {
	case len(v.Live) < 2:
		r.read(ctx, now)
	case v.ReaderPosition(r.self) == 0 && now.Sub(r.lastWrite) > writePause && r.incomplete(v):
		r.lastWrite = now
		r.write(ctx, v)
	}
}

// incomplete reports whether the list lacks a live member. Those that are gone
// may stay in it; they are greeted in vain.
func (r *registry) incomplete(v *cluster.View) bool {
	for _, m := range v.Live {
		if !r.written[m.DatagramAddress] {
			return true
		}
	}
	return false
}

func (r *registry) write(ctx context.Context, v *cluster.View) {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	addresses := make([]netip.AddrPort, 0, len(v.Live))
	written := make(map[netip.AddrPort]bool, len(v.Live))
	for _, m := range v.Live {
		addresses = append(addresses, m.DatagramAddress)
		written[m.DatagramAddress] = true
	}
	value, err := json.Marshal(addresses)
	if err == nil {
		err = r.log.Put(ctx, r.stream, registryKey, value)
	}
	if err != nil {
		r.events.Warn("member list not written", "members", len(addresses), "error", err)
		return
	}
	r.written = written
	r.events.Info("member list written", "members", len(addresses))
}

func (r *registry) read(ctx context.Context, now time.Time) {
	if now.Sub(r.lastRead) < r.readPause {
		return
	}
	r.lastRead = now
	r.readPause = min(2*r.readPause, longestReadPause)
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	page, err := r.log.Newest(ctx, r.stream)
	if err != nil {
		r.events.Warn("member list not read", "error", err)
		return
	}
	for _, record := range page.Records {
		var addresses []netip.AddrPort
		if err := json.Unmarshal(record.Value, &addresses); err != nil {
			r.events.Warn("member list ignored", "key", record.Key, "offset", record.Offset, "error", err)
			continue
		}
		r.node.AddSeeds(addresses...)
		r.events.Info("member list read", "members", len(addresses), "offset", record.Offset)
	}
}
