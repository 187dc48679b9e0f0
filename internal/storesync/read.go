package storesync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/steady"
)

const (
	// pollInterval is how often a member checks whether a read is due.
	pollInterval = 50 * time.Millisecond
	// startPollInterval is how often a member checks after its start whether it has to
	// read the configuration.
	startPollInterval = 10 * time.Millisecond
	// readInterval is how often the first of the store's readers (see
	// cluster.View.ReaderPosition) reads the server records: about a quarter of the 2 s
	// after which a leaving server must get no more requests.
	readInterval = 450 * time.Millisecond
	// secondReadInterval is the same for the second reader, which covers the case that
	// the first one does not reach the store.
	secondReadInterval = time.Second
	// activeReaders is the number of members that read continuously.
	activeReaders = 2
	// fallbackAfter is the age of the newest successful reads of any member (see
	// Syncer.StoreReadAge) above which the next members in the order read too. A reader's
	// read of the configuration ends every half of configWait.
	fallbackAfter = 1000 * time.Millisecond
	// sparseFallbackDelay is added to it if heartbeats of other availability zones, which
	// name that age, may be 600 ms old.
	sparseFallbackDelay = 300 * time.Millisecond
	// fallbackStep is the additional delay per position in the order of readers up to
	// quickFallbacks, lateFallbackStep that of later positions. If as many members lose the
	// store at the same time, a configuration still is in force in time at the others.
	fallbackStep     = 50 * time.Millisecond
	quickFallbacks   = 12
	lateFallbackStep = 150 * time.Millisecond
	// maxFallbackDelay bounds the sum of these delays in large clusters.
	maxFallbackDelay = 3 * time.Second
	// maxBackoff bounds the doubling of the interval after failed reads.
	maxBackoff = 3 * time.Second
	// configWait is the long-poll duration of a configuration read. A record that is
	// appended just as a read begins may be returned only when the wait is over, so the
	// wait is well below the 2 s in which a configuration must take effect.
	configWait = 1200 * time.Millisecond
	// configRetryPause is the minimum pause after a failed read of the configuration;
	// up to as much again is added at random.
	configRetryPause = 300 * time.Millisecond
)

const (
	// discoveryWait is how long members discover each other on a first start before
	// they read the store. Without this wait all of them would read it.
	discoveryWait = 500 * time.Millisecond
	// firstPeerWait is how long after a first start a member that is not an active
	// reader waits for a peer with configuration and servers before it reads the store.
	firstPeerWait = 3 * time.Second
	// restartDiscoveryWait and restartPeerWait are the same after a restart, in a cluster
	// that turns out to be large by then. In a small one every member reads the store at
	// once: all may have restarted, and few calls are saved.
	restartDiscoveryWait = 100 * time.Millisecond
	restartPeerWait      = 1500 * time.Millisecond
	// maxDirectReaders is the number of members up to which all read the store after a
	// restart.
	maxDirectReaders = 40
)

// startReadDue reports whether a member without any configuration or servers must read
// the store now, instead of waiting for an update from a peer.
func (s *Syncer) startReadDue(now time.Time) bool {
	elapsed := now.Sub(s.started)
	discovery, peerWait := restartDiscoveryWait, restartPeerWait
	if s.options.Bootstrap {
		discovery, peerWait = discoveryWait, firstPeerWait
	}
	live := s.options.View().Live
	switch {
	case elapsed < discovery:
		return false
	case elapsed >= peerWait || !s.options.Bootstrap && len(live) <= maxDirectReaders:
		return true
	default:
		return s.readerPosition() < activeReaders
	}
}

// followServers reads the servers whenever a read is due, until ctx is done.
func (s *Syncer) followServers(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	failures := 0
	var last time.Time
	for s.hasNoServers() && !s.startReadDue(time.Now()) && ctx.Err() == nil {
		sleep(ctx, startPollInterval)
	}
	for {
		now := time.Now()
		s.applyDeferred(now)
		if s.readDue(now, last, failures) {
			last = now
			failures = s.readAll(ctx, failures)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// applyDeferred applies the records that were deferred until now.
func (s *Syncer) applyDeferred(now time.Time) {
	var records []logservice.KeyedRecord
	for _, held := range s.deferred.due(now) {
		if r, ok := s.servers.rebase(held); ok {
			records = append(records, r)
		}
	}
	if len(records) > 0 {
		s.applyServers(records, "deferred")
	}
}

// readDue reports whether this member must read the store now. It takes the time of its
// last read and the number of failed reads since the last success.
func (s *Syncer) readDue(now, last time.Time, failures int) bool {
	if s.hasNoServers() && !s.startReadDue(now) {
		return false
	}
	position := s.readerPosition()
	interval := readInterval
	if position == 1 {
		interval = secondReadInterval
	}
	if now.Sub(last) < min(interval<<min(failures, maxDoublings), maxBackoff) {
		return false
	}
	if position < activeReaders {
		return true
	}
	if s.hasNoServers() {
		return true
	}
	limit := fallbackAfter + fallbackDelay(position)
	if s.options.View().IsSparse() {
		limit += sparseFallbackDelay
	}
	return s.newestReadAge(now) > limit
}

// fallbackDelay returns how much longer than the first one a member waits before it reads the
// store as a fallback.
func fallbackDelay(position int) time.Duration {
	quick := min(position, quickFallbacks)
	delay := time.Duration(quick)*fallbackStep + time.Duration(position-quick)*lateFallbackStep
	return min(delay, maxFallbackDelay)
}

// hasNoServers reports whether this member has received servers neither from the store
// nor from a peer.
func (s *Syncer) hasNoServers() bool { return s.lastContact.Load() == 0 && s.ServersVersion() == 0 }

// maxDoublings bounds the shift that computes the backoff.
const maxDoublings = 4

// readerPosition returns this member's position in the order of readers, 0 for the
// first.
func (s *Syncer) readerPosition() int { return s.options.View().ReaderPosition(s.options.Self) }

// newestReadAge returns the lowest StoreReadAge of any live member.
func (s *Syncer) newestReadAge(now time.Time) time.Duration {
	newest := s.StoreReadAge(now)
	for _, m := range s.options.View().Live {
		if m.VM != s.options.Self {
			newest = min(newest, m.StoreReadAge+now.Sub(m.LastSeen))
		}
	}
	return newest
}

// readAll reads the servers, and as a fallback reader also the configuration. It
// returns the new number of consecutive failures.
func (s *Syncer) readAll(ctx context.Context, failures int) int {
	if !s.readServers(ctx) {
		return failures + 1
	}
	switch {
	case s.readerPosition() >= activeReaders:
		s.readConfig(ctx, 0)
	case failures > 0:
		// The read in progress may wait for a response that was lost with the path to the
		// store.
		s.configReads.restart()
	}
	return 0
}

// readServers reads the changed servers, or all of them if this is the first read or
// the store no longer retains the changes. It reports whether the read succeeded.
func (s *Syncer) readServers(ctx context.Context) bool {
	_, next := s.servers.versions()
	if next > 0 {
		s.count("reads_servers")
		page, err := s.options.Log.ReadKeyed(ctx, s.options.ServersStream, next, 0)
		if err == nil {
			s.onStoreResponse(page.Next.Epoch())
			s.logUnreadable(s.options.ServersStream, page)
			s.applyServers(s.deferRemovals(page.Records), "store")
			s.servers.advance(page.Next)
			return true
		}
		if !isRefused(err) {
			s.serversReadFailed("read servers", err)
			return false
		}
		s.logRefusedPosition(s.options.ServersStream, next, err)
	}
	return s.readAllServers(ctx)
}

func (s *Syncer) readAllServers(ctx context.Context) bool {
	s.count("reads_servers_newest")
	page, err := s.options.Log.Newest(ctx, s.options.ServersStream)
	if err != nil {
		s.serversReadFailed("read all servers", err)
		return false
	}
	s.onStoreResponse(page.Next.Epoch())
	s.logUnreadable(s.options.ServersStream, page)
	s.applyMu.Lock()
	result := s.servers.reset(page, s.options.DecodeServer)
	if result.restored {
		s.deferred.onStoreReturn(time.Now())
	}
	for _, r := range result.contradicted {
		s.deferred.hold(r, time.Now().Add(revivalGrace))
		s.options.Events.Info("server record of a restored store deferred", "server", r.Key, "position", r.Position.String())
	}
	for _, err := range result.errs {
		s.count("server_unreadable")
		s.options.Events.Warn("server record ignored", "source", "newest", "error", err)
	}
	if result.changed {
		s.options.OnServers(s.servers.servers())
	}
	s.applyMu.Unlock()
	s.options.Events.Info("servers read", "records", len(page.Records), "missing", len(result.missing),
		"contradicted", len(result.contradicted), "restored", result.restored, "next", page.Next.String())
	s.applyServers(s.deferRemovals(result.missing), "newest")
	return true
}

// onStoreResponse records a successful read, and the end of an outage if there was one.
func (s *Syncer) onStoreResponse(epoch int64) {
	now := time.Now()
	if old := s.epoch.Swap(epoch); old != epoch && s.lastContact.Load() != 0 {
		s.options.Events.Warn("store epoch changed", "from", old, "to", epoch)
	}
	// A member without servers has none to remove.
	if !s.hasNoServers() && s.outages.endsOutage(now, s.lastServersRead()) {
		s.onOutageEnd(now, s.options.Self)
	}
	s.markContact(now)
}

// deferRemovals returns the records without the removals that it defers: those of live
// servers whose registrations may have expired only because of an outage.
func (s *Syncer) deferRemovals(records []logservice.KeyedRecord) []logservice.KeyedRecord {
	now := time.Now()
	remaining := records[:0:0]
	for _, r := range records {
		if r.IsTombstone() && s.servers.isLive(r.Key) && s.deferred.holdRemoval(now, r) {
			s.count("removals_held")
			s.options.Events.Info("server removal held", "server", r.Key, "position", r.Position.String())
			continue
		}
		remaining = append(remaining, r)
	}
	return remaining
}

// followConfig reads the configuration once at the start, unless a peer has it, and then
// follows its changes while this member is an active reader.
func (s *Syncer) followConfig(ctx context.Context) {
	for s.Revision() == 0 && ctx.Err() == nil {
		if s.startReadDue(time.Now()) {
			s.readConfig(ctx, 0)
			break
		}
		sleep(ctx, startPollInterval)
	}
	refusedBefore := false
	for ctx.Err() == nil {
		if position := s.readerPosition(); position < activeReaders {
			readCtx, restarted := s.configReads.begin(ctx)
			wait, following := s.configReadTimes(position, time.Now())
			ok, refused := s.readConfig(readCtx, wait)
			again := refused && refusedBefore
			refusedBefore = refused
			// A read without a wait at the store must not be repeated without a pause.
			if (ok || restarted()) && !again {
				if ok {
					sleep(ctx, time.Until(following))
				}
				continue
			}
		}
		sleep(ctx, configRetryPause+rand.N(configRetryPause))
	}
}

// staggeredWait returns the wait of a reader's next read of the configuration. The waits of
// both readers end at different times of a common period, so that one of them begins a
// read at least every half of configWait. The time of day only sets these times; if it
// differs between VMs, they are less even.
func staggeredWait(position int, now time.Time) time.Duration {
	const minWait = configWait / 24
	phase := time.Duration(now.UnixNano()) + time.Duration(position)*configWait/activeReaders
	wait := configWait - phase%configWait
	if wait < minWait {
		wait += configWait
	}
	return wait
}

// readConfig reads and applies the configuration. It reports whether the read succeeded, which it
// did not if lacksConfig, and whether the store first refused the position to continue from.
func (s *Syncer) readConfig(ctx context.Context, wait time.Duration) (ok, refused bool) {
	s.applyMu.Lock()
	next, known := s.configNext, s.configRead
	s.applyMu.Unlock()
	sent := s.proof.now()
	page, refused, err := s.readConfigPage(ctx, next, known, wait)
	if err != nil {
		if ctx.Err() == nil {
			s.storeFailed("read configuration", err)
		}
		return false, refused
	}
	s.lastConfigRead.Store(steady.Nanos(time.Now()))
	s.logUnreadable(s.options.ConfigStream, page.KeyedPage)
	s.applyEvacuations(page, "store")
	if s.lacksConfig(ctx, &page) {
		// The position stays, also for members that get it from this one.
		s.applyConfig(page.Records, next, "store")
		return false, refused
	}
	s.applyConfig(page.Records, page.Next, "store")
	if isComplete(page.KeyedPage, next, known, refused) {
		s.proof.observeRead(sent)
	}
	s.applyMu.Lock()
	s.configNext, s.configRead = max(s.configNext, page.Next), true
	s.applyMu.Unlock()
	return true, refused
}

// readConfigPage reads the records from next on. If next is not known or refused, it reads the
// newest record, and all retained ones if that one can't be read, or if the store was restored
// since: the newest record may not have the highest revision then.
func (s *Syncer) readConfigPage(ctx context.Context, next logservice.Position, known bool, wait time.Duration) (page configPage, refused bool, err error) {
	if known {
		s.count("reads_config")
		page.KeyedPage, err = s.options.Log.ReadKeyed(ctx, s.options.ConfigStream, next, wait)
		if !isRefused(err) {
			return page, false, err
		}
		s.logRefusedPosition(s.options.ConfigStream, next, err)
		refused = true
		if epoch := presentEpoch(err); epoch > next.Epoch() {
			history, complete, historyErr := s.readConfigHistory(ctx, epoch)
			// A record of the history that can't be read may be the newest one of its key.
			if historyErr == nil && complete && history.Unreadable == 0 {
				return configPage{KeyedPage: history, newest: newestInHistory(history)}, true, nil
			}
		}
	}
	s.count("reads_config_newest")
	newest, err := s.options.Log.Newest(ctx, s.options.ConfigStream)
	page = configPage{KeyedPage: newest, newest: &newest}
	epoch := page.Next.Epoch()
	restored := epoch > 0 && (!known || epoch > next.Epoch())
	if err != nil || !restored && s.isReadable(page.Records) {
		return page, refused, err
	}
	history, _, err := s.readConfigHistory(ctx, epoch)
	if err != nil {
		// The newest record is applied, and the next read is refused and tries again.
		s.storeFailed("read the history of the configuration", err)
		page.Next = next
		return page, refused, nil
	}
	page.Records = append(page.Records, history.Records...)
	page.Next = max(page.Next, history.Next)
	return page, refused, nil
}

// isReadable reports whether the revision of each configuration among the records can be read.
func (s *Syncer) isReadable(records []logservice.KeyedRecord) bool {
	for _, r := range records {
		if r.IsTombstone() || r.Key != s.options.ConfigKey {
			continue
		}
		if _, err := s.options.DecodeRevision(r.Value); err != nil {
			return false
		}
	}
	return true
}

// maxHistoryReads bounds the reads of readConfigHistory. One returns about a megabyte.
const maxHistoryReads = 16

// readConfigHistory reads all records of the configuration's stream that the store retains in
// an epoch. It reports whether these are all that there were.
func (s *Syncer) readConfigHistory(ctx context.Context, epoch int64) (history logservice.KeyedPage, complete bool, err error) {
	from, err := logservice.NewPosition(epoch, 0)
	if err != nil {
		return logservice.KeyedPage{}, false, err
	}
	complete = true
	for range maxHistoryReads {
		s.count("reads_config_history")
		page, err := s.options.Log.ReadKeyed(ctx, s.options.ConfigStream, from, 0)
		var expired *logservice.ExpiredError
		switch {
		case errors.As(err, &expired) && complete && expired.Oldest > 0:
			complete = false
			if from, err = logservice.NewPosition(epoch, expired.Oldest); err != nil {
				return logservice.KeyedPage{}, false, err
			}
			continue
		case err != nil:
			return logservice.KeyedPage{}, false, err
		}
		history.Records = append(history.Records, page.Records...)
		history.Unreadable += page.Unreadable
		history.Next, history.End = page.Next, page.End
		if page.Next >= page.End {
			break
		}
		from = page.Next
	}
	return history, complete, nil
}

// presentEpoch returns the epoch of the store that refused a position.
func presentEpoch(refusal error) int64 {
	var expired *logservice.ExpiredError
	var epoch *logservice.EpochError
	switch {
	case errors.As(refusal, &expired):
		return expired.Epoch
	case errors.As(refusal, &epoch):
		return epoch.Epoch
	default:
		return 0
	}
}

// logRefusedPosition logs that the store does not have the records from a position on, so
// that all are read instead.
func (s *Syncer) logRefusedPosition(stream string, from logservice.Position, err error) {
	s.count("positions_refused")
	s.options.Events.Warn("position refused by the store", "stream", stream, "position", from.String(), "error", err)
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
