package storesync

import (
	"context"
	"math/rand/v2"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

const (
	// lookInterval is how often a member looks whether a read is due.
	lookInterval = 50 * time.Millisecond
	// readInterval is how often the first reader reads the servers: a quarter of
	// the 2 s in which a leaving server must get no more work.
	readInterval = 450 * time.Millisecond
	// secondInterval is the same for the second reader, which is there in case
	// that the first one does not reach the store.
	secondInterval = time.Second
	// readers is how many members read all the time.
	readers = 2
	// standInAfter is the age of the newest contact of any member from which the
	// next ones in order read too: two reads of a reader failed.
	standInAfter = 1000 * time.Millisecond
	// standInStep is how much later each further one in order stands in.
	standInStep = 150 * time.Millisecond
	// mostStandIn bounds that delay in large fleets.
	mostStandIn = 3 * time.Second
	// longestBackoff bounds the doubling of the interval after failed reads.
	longestBackoff = 3 * time.Second
	// configWait is the wait of a read of the configuration. A record that is
	// appended just as a read begins has been seen to come only when the wait is
	// over, so the wait is well below the 2 s in which it must be in force.
	configWait = 1200 * time.Millisecond
	// configPause is the pause after a failed read of the configuration.
	configPause = 300 * time.Millisecond
)

const (
	// meetTime is how long members of a first start look for each other before
	// the store is read: without it all would read it.
	meetTime = 500 * time.Millisecond
	// alonePatience is how long one that is no reader then waits for a peer that
	// has configuration and servers.
	alonePatience = 3 * time.Second
)

// followServers reads the servers whenever it is this member's turn.
func (f *Syncer) followServers(ctx context.Context) {
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	failures := 0
	var last time.Time
	for {
		now := time.Now()
		f.putLapsed(now)
		if f.readDue(now, last, failures) {
			last = now
			failures = f.readAll(ctx, failures)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// putLapsed removes the servers whose removal was held back for long enough.
func (f *Syncer) putLapsed(now time.Time) {
	var records []logservice.KeyedRecord
	for _, held := range f.lapses.due(now) {
		if r, ok := f.servers.current(held); ok {
			records = append(records, r)
		}
	}
	if len(records) > 0 {
		f.putServers(records, "lapse")
	}
}

// readDue reports whether this member is to read the store now.
func (f *Syncer) readDue(now, last time.Time, failures int) bool {
	if f.options.Bootstrap && now.Sub(f.started) < meetTime {
		return false
	}
	rank := f.rank()
	interval := readInterval
	if rank == 1 {
		interval = secondInterval
	}
	if now.Sub(last) < min(interval<<min(failures, maxDoublings), longestBackoff) {
		return false
	}
	if rank < readers {
		return true
	}
	if f.knowsNothing() {
		return !f.options.Bootstrap || now.Sub(f.started) >= alonePatience
	}
	patience := standInAfter + min(time.Duration(rank)*standInStep, mostStandIn)
	return f.newestContact(now) > patience
}

// knowsNothing reports whether neither the store nor a peer has told any server.
func (f *Syncer) knowsNothing() bool { return f.contact.Load() == 0 && f.ServersVersion() == 0 }

// maxDoublings keeps the backoff's shift in range.
const maxDoublings = 4

// rank is this member's place in the order of readers.
func (f *Syncer) rank() int { return f.options.View().ReaderPosition(f.options.Self) }

// newestContact is the least age of a contact that any live member had.
func (f *Syncer) newestContact(now time.Time) time.Duration {
	newest := f.StoreReadAge(now)
	for _, m := range f.options.View().Live {
		if m.VM != f.options.Self {
			newest = min(newest, m.StoreReadAge+now.Sub(m.LastSeen))
		}
	}
	return newest
}

// readAll reads the servers, and the configuration too where no reader does. It
// returns the failures in a row.
func (f *Syncer) readAll(ctx context.Context, failures int) int {
	if !f.readServers(ctx) {
		return failures + 1
	}
	if f.rank() >= readers {
		f.readConfig(ctx, 0)
	}
	return 0
}

// readServers reads what has changed, or all where this is the first read or the
// changes are no longer kept. It reports whether the store answered.
func (f *Syncer) readServers(ctx context.Context) bool {
	_, next := f.servers.versions()
	if next > 0 {
		f.count("reads_servers")
		page, err := f.options.Log.ReadKeyed(ctx, f.options.ServersStream, next, 0)
		if err == nil {
			f.storeAnswered()
			f.putServers(f.withoutLapses(page.Records), "store")
			f.servers.advance(page.Next)
			return true
		}
		if !expired(err) {
			f.failed("read servers", err)
			return false
		}
	}
	return f.readAllServers(ctx)
}

func (f *Syncer) readAllServers(ctx context.Context) bool {
	f.count("reads_servers_newest")
	page, err := f.options.Log.Newest(ctx, f.options.ServersStream)
	if err != nil {
		f.failed("read all servers", err)
		return false
	}
	f.storeAnswered()
	f.apply.Lock()
	changed, missing, errs := f.servers.reset(page, f.options.DecodeServer)
	for _, err := range errs {
		f.count("server_unreadable")
		f.options.Events.Warn("server record ignored", "source", "newest", "error", err)
	}
	if changed {
		f.options.OnServers(f.servers.servers())
	}
	f.apply.Unlock()
	f.options.Events.Info("servers read", "records", len(page.Records), "missing", len(missing), "next", page.Next)
	f.putServers(f.withoutLapses(missing), "newest")
	return true
}

// storeAnswered notes the contact, and the end of an outage before it.
func (f *Syncer) storeAnswered() {
	now := time.Now()
	if f.contact.Load() != 0 {
		f.lapses.returned(now, f.StoreReadAge(now))
	}
	f.touched(now)
}

// withoutLapses holds back the removals that may be lapses.
func (f *Syncer) withoutLapses(records []logservice.KeyedRecord) []logservice.KeyedRecord {
	now := time.Now()
	kept := records[:0:0]
	for _, r := range records {
		if r.IsTombstone() && f.servers.live(r.Key) && f.lapses.hold(now, r) {
			f.count("removals_held")
			f.options.Events.Info("server removal held", "server", r.Key, "offset", r.Offset)
			continue
		}
		kept = append(kept, r)
	}
	return kept
}

// followConfig waits for changes of the configuration while this member is a reader.
func (f *Syncer) followConfig(ctx context.Context) {
	if f.options.Bootstrap {
		sleep(ctx, meetTime)
	} else {
		f.readConfig(ctx, 0)
	}
	for ctx.Err() == nil {
		if f.rank() < readers && f.readConfig(ctx, configWait) {
			continue
		}
		sleep(ctx, configPause+rand.N(configPause))
	}
}

// readConfig reads the configuration and reports whether the store answered.
func (f *Syncer) readConfig(ctx context.Context, wait time.Duration) bool {
	f.apply.Lock()
	next, known := f.configNext, f.configRead
	f.apply.Unlock()
	page, err := f.readConfigPage(ctx, next, known, wait)
	if err != nil {
		if ctx.Err() == nil {
			f.failed("read configuration", err)
		}
		return false
	}
	for _, r := range page.Records {
		f.putConfig(r, page.Next, "store")
	}
	f.apply.Lock()
	f.configNext, f.configRead = max(f.configNext, page.Next), true
	f.apply.Unlock()
	return true
}

// readConfigPage reads what comes after next, or the newest where next is not
// known or no longer kept.
func (f *Syncer) readConfigPage(ctx context.Context, next int64, known bool, wait time.Duration) (logservice.KeyedPage, error) {
	if known {
		f.count("reads_config")
		page, err := f.options.Log.ReadKeyed(ctx, f.options.ConfigStream, next, wait)
		if !expired(err) {
			return page, err
		}
	}
	f.count("reads_config_newest")
	return f.options.Log.Newest(ctx, f.options.ConfigStream)
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
