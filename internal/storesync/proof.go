package storesync

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/freshness"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// ProofOptions ask for the proof that the active configuration was the newest one not long ago.
type ProofOptions struct {
	// Bound is the age up to which a proof counts; zero asks for none.
	Bound time.Duration
	// Current is the age up to which a proof also tells that there is no newer configuration that
	// must be in force by now.
	Current time.Duration
	// Query sends a question to another member and returns its answer.
	Query func(ctx context.Context, to cluster.LiveMember, question []byte) ([]byte, error)
	// Clock returns the time since the VM's boot, including the time for which it was
	// suspended.
	Clock func() time.Duration
}

const (
	// proofPoll bounds the time until a member notices that it must ask for evidence.
	proofPoll = 50 * time.Millisecond
	// proofPeriodShare is the part of the bound in which each reader reads the configuration
	// once, and proofWaitShare the part of that period for which the read waits at the store.
	// A read proves only what was so when it was sent, so a shorter wait makes the evidence
	// younger for the same number of calls.
	proofPeriodShare = 0.24
	proofWaitShare   = 0.25
	// refetchShare is the least time, in bounds, between two fetches of the configuration of a
	// member that has another one of the same revision.
	refetchShare = 0.1
)

// roleShare is the time, in bounds, after which a member finds its role and the helpers anew.
const roleShare = 0.1

// configProof is what a member knows about how recently its configuration was the newest one. A nil
// *configProof needs no proof.
type configProof struct {
	options ProofOptions
	tracker *freshness.Tracker
	active  atomic.Pointer[activeConfig]

	mu      sync.Mutex // guards the fields below; a leaf
	planner *freshness.Planner

	fetching  atomic.Bool
	lastFetch atomic.Int64 // time of the clock in nanoseconds

	// The fields below are used by followProof alone: what it logged last, and the role and the
	// helpers of the time roleAt.
	logged, wasProven bool
	role              freshness.Role
	helpers           map[string]bool
	roleAt            time.Duration
}

// activeConfig is the active configuration as far as its proof goes.
type activeConfig struct {
	version freshness.Version
	// needed is set if the configuration requires keys.
	needed bool
}

func newConfigProof(o ProofOptions) *configProof {
	if o.Bound <= 0 {
		return nil
	}
	p := &configProof{options: o, tracker: freshness.NewTracker(o.Bound, o.Clock), planner: freshness.NewPlanner(o.Bound, rand.IntN)}
	p.active.Store(&activeConfig{})
	return p
}

// isNeeded reports whether the active configuration needs a proof.
func (p *configProof) isNeeded() bool { return p != nil && p.active.Load().needed }

// digest returns that of the active configuration, zero if no proof is asked for.
func (p *configProof) digest() uint64 {
	if p == nil {
		return 0
	}
	return p.active.Load().version.Digest
}

// now returns the time of the clock, zero if no proof is asked for.
func (p *configProof) now() time.Duration {
	if p == nil {
		return 0
	}
	return p.tracker.Now()
}

// readDue is freshness.Planner.ReadDue.
func (p *configProof) readDue(age time.Duration, position, entries int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planner.ReadDue(age, position, entries)
}

// isCutOff is freshness.Planner.IsCutOff.
func (p *configProof) isCutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planner.IsCutOff()
}

// share returns a part of the bound.
func (p *configProof) share(s float64) time.Duration {
	return time.Duration(s * float64(p.options.Bound))
}

// poll returns the time between two checks of the age of the evidence.
func (p *configProof) poll() time.Duration { return min(proofPoll, p.options.Bound/100) }

// versionOf returns the version of a tree.
func versionOf(t *tree.Tree) freshness.Version {
	return freshness.Version{Revision: t.Revision, Digest: t.Digest}
}

// setActive records that the tree becomes active.
func (p *configProof) setActive(t *tree.Tree) {
	if p != nil {
		p.active.Store(&activeConfig{version: versionOf(t), needed: t.KeysRequired})
	}
}

// observeNewer records that another member named a revision.
func (p *configProof) observeNewer(revision int64) {
	if p != nil {
		p.tracker.ObserveNewer(revision)
	}
}

// evidence returns the youngest evidence for the active configuration.
func (p *configProof) evidence() (freshness.Evidence, bool) {
	if p == nil {
		return freshness.Evidence{}, false
	}
	return p.tracker.Newest(p.active.Load().version)
}

// observe adds the evidence of another member, which answered a question that was sent at a
// moment of the clock. The member's evidence was of that age after the question was sent, so its
// moment is no earlier than the one that is recorded.
func (p *configProof) observe(e freshness.Evidence, sent time.Duration) {
	if p != nil && e.Version.Revision > 0 && e.Age >= 0 {
		p.tracker.Observe(e.Version, sent-e.Age)
	}
}

// observeRead adds the evidence of a read of the configuration that was sent at a moment of the
// clock and is applied now: nothing newer than the active configuration existed then.
func (p *configProof) observeRead(sent time.Duration) {
	if p == nil {
		return
	}
	if active := p.active.Load(); active.version.Revision > 0 {
		p.tracker.Observe(active.version, sent)
	}
}

// isComplete reports whether a page holds all there was from a position on. A read that could not
// fetch the history after a refused position returns that position as the next one. A page that
// reaches beyond the end, if that is known, is not one of the stream as it is now.
func isComplete(page logservice.KeyedPage, from logservice.Position, known, refused bool) bool {
	if (refused || !known) && page.Next == from {
		return false
	}
	return page.End == 0 || page.Next == page.End
}

// lacksConfig reports whether the newest configuration may be among the records of a page that can't
// be read, so that the page proves nothing. If the page does not hold the newest record of each key,
// these are read, and added to the page.
func (s *Syncer) lacksConfig(ctx context.Context, page *configPage) bool {
	if s.proof == nil || page.Unreadable == 0 {
		return false
	}
	newest := page.newest
	if newest == nil {
		all, _, err := s.readConfigPage(ctx, 0, false, 0)
		if err != nil {
			if ctx.Err() == nil {
				s.storeFailed("read newest configuration", err)
			}
			return true
		}
		if all.Next.Epoch() != page.Next.Epoch() || all.Next < page.Next {
			return true // the store was restored meanwhile, so the next read is refused
		}
		page.Records = append(page.Records, all.Records...)
		newest = all.newest
	}
	isConfig := func(r logservice.KeyedRecord) bool { return r.Key == s.options.ConfigKey }
	if newest.Unreadable == 0 || slices.ContainsFunc(newest.Records, isConfig) {
		return false
	}
	s.count("config_missing")
	s.options.Events.Warn("newest configuration may be among the records that can't be read", "records", newest.Unreadable, "next", page.Next.String())
	return true
}

// IsProven reports whether the tree is proven to have been the newest one within the bound, or
// needs no proof.
func (s *Syncer) IsProven(t *tree.Tree) bool {
	return s.proof == nil || s.proof.tracker.IsProven(versionOf(t))
}

// IsCurrent reports whether the tree is proven to have been the newest one within
// ProofOptions.Current, or needs no proof.
func (s *Syncer) IsCurrent(t *tree.Tree) bool {
	if s.proof == nil {
		return true
	}
	e, ok := s.proof.tracker.Newest(versionOf(t))
	return ok && e.Age <= s.proof.options.Current
}

// AnswerProofQuery answers another member's question for evidence, with nil if there is none. It
// does not block.
func (s *Syncer) AnswerProofQuery([]byte) []byte {
	e, ok := s.proof.evidence()
	if !ok {
		return nil
	}
	s.count("proof_answers")
	return e.Encode()
}

// isRewritten reports whether a configuration has the revision of the active one and other
// content, and is later in the store: the operator has written the revision again after a restore
// lost it. Without a proof, the one that was applied first stays. s.applyMu must be held.
func (s *Syncer) isRewritten(t *tree.Tree, r logservice.KeyedRecord) bool {
	return s.proof != nil && t.Revision == s.revision.Load() && versionOf(t) != s.proof.active.Load().version &&
		r.Position > s.config.Position
}

// configReadTimes returns how long a reader's next read of the configuration waits at the store,
// and when the read after it begins at the earliest, the zero time for at once.
func (s *Syncer) configReadTimes(position int, now time.Time) (wait time.Duration, next time.Time) {
	if !s.proof.isNeeded() {
		return staggeredWait(position, now), time.Time{}
	}
	period := min(configWait, time.Duration(proofPeriodShare*float64(s.proof.options.Bound)))
	phase := (time.Duration(now.UnixNano()) + time.Duration(position)*period/activeReaders) % period
	return time.Duration(proofWaitShare * float64(period)), now.Add(period - phase)
}

// followProof keeps the proof young until ctx is done, while one is needed.
func (s *Syncer) followProof(ctx context.Context) {
	p := s.proof
	if p == nil {
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	// A read that the store does not answer must not hold up the questions.
	group.Go(func() { s.readWhileUnproven(ctx) })
	ticker := time.NewTicker(p.poll())
	defer ticker.Stop()
	for {
		if p.isNeeded() {
			age := s.proofAge()
			s.logProof()
			s.askIfDue(ctx, &group, age)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// proofAge returns the age of the youngest evidence, more than the bound if there is none.
func (s *Syncer) proofAge() time.Duration {
	e, ok := s.proof.evidence()
	if !ok {
		return 2 * s.proof.options.Bound
	}
	return e.Age
}

// askIfDue asks another member if the evidence has that age.
func (s *Syncer) askIfDue(ctx context.Context, group *sync.WaitGroup, age time.Duration) {
	p := s.proof
	m, ok := s.chooseToAsk(age)
	if !ok {
		return
	}
	s.count("proof_queries")
	group.Go(func() {
		queryCtx, cancel := context.WithTimeout(ctx, p.planner.Timeout())
		defer cancel()
		sent := p.tracker.Now()
		answer, err := p.options.Query(queryCtx, m, nil)
		e, decoded := freshness.Decode(answer)
		if err != nil || !decoded {
			if ctx.Err() == nil {
				s.count("proof_silent")
			}
			p.mu.Lock()
			p.planner.Silent(p.tracker.Now(), m.VM)
			p.mu.Unlock()
			return
		}
		before := s.proofAge() - (p.tracker.Now() - sent)
		p.observe(e, sent)
		p.mu.Lock()
		p.planner.Answered(m.VM, sent-e.Age, true, e.Age < before)
		p.mu.Unlock()
		s.fetchIfOther(ctx, m, e)
	})
}

// chooseToAsk returns the member to ask now, or false if none is due.
func (s *Syncer) chooseToAsk(age time.Duration) (cluster.LiveMember, bool) {
	p := s.proof
	s.updateRole()
	p.mu.Lock()
	due := p.planner.Due(p.tracker.Now(), age, p.role)
	p.mu.Unlock()
	if !due {
		return cluster.LiveMember{}, false
	}
	live := s.options.View().Live
	now := time.Now()
	others := make([]freshness.Member, 0, len(live))
	indexes := make(map[string]int, len(live))
	for i := range live {
		if live[i].VM != s.options.Self {
			others = append(others, proofMemberOf(&live[i], now))
			indexes[live[i].VM] = i
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner.Forget(others)
	chosen, ok := p.planner.Choose(p.tracker.Now(), p.role, others, p.helpers)
	if !ok {
		return cluster.LiveMember{}, false
	}
	return live[indexes[chosen.VM]], true
}

// updateRole finds the helpers and the role of this member anew if that was done some time ago.
func (s *Syncer) updateRole() {
	p := s.proof
	now := p.tracker.Now()
	if p.helpers != nil && now-p.roleAt < time.Duration(roleShare*float64(p.options.Bound)) {
		return
	}
	live := s.options.View().Live
	entries := make([]freshness.Member, len(live))
	for i := range live {
		entries[i] = proofMemberOf(&live[i], time.Now())
	}
	p.helpers, p.roleAt = freshness.Helpers(entries), now
	switch {
	case s.readerPosition() < activeReaders:
		p.role = freshness.Reader
	case p.helpers[s.options.Self]:
		p.role = freshness.Helper
	default:
		p.role = freshness.Other
	}
}

// proofMemberOf returns a member as it can be asked.
func proofMemberOf(m *cluster.LiveMember, now time.Time) freshness.Member {
	return freshness.Member{
		VM: m.VM, ReadAge: m.StoreReadAge + max(now.Sub(m.LastSeen), 0),
		Weight: m.Weight, Hash: xxhash.Sum64String(m.VM),
	}
}

// fetchIfOther fetches the configuration of a member whose evidence does not count here, as it is
// about a newer configuration or about another one of the same revision.
func (s *Syncer) fetchIfOther(ctx context.Context, m cluster.LiveMember, e freshness.Evidence) {
	p := s.proof
	if p.active.Load().version.Includes(e.Version) {
		return
	}
	if e.Version.Revision > s.Revision() {
		m.Revision = max(m.Revision, e.Version.Revision)
		s.observeNewer(m.Revision)
		s.schedulePull(m)
		return
	}
	now := int64(p.tracker.Now())
	if now-p.lastFetch.Load() < int64(refetchShare*float64(p.options.Bound)) || !p.fetching.CompareAndSwap(false, true) {
		return
	}
	defer p.fetching.Store(false)
	p.lastFetch.Store(now)
	s.count("configs_differ")
	args := SinceArgs{Caller: s.options.Self, Revision: e.Version.Revision - 1, Servers: s.ServersVersion()}
	data, err := s.fetch(ctx, m, args)
	if err == nil {
		var u *update
		if u, err = decodeUpdate(data); err == nil {
			s.applyPeerEvacuations(u, m.VM)
			s.applyConfig([]logservice.KeyedRecord{u.Config}, u.configNext(), m.VM)
		}
	}
	if err != nil && ctx.Err() == nil {
		s.options.Events.Warn("peer gave no update", "peer", m.VM, "error", err)
	}
}

// logProof logs when the active configuration is no longer proven, and when it is again.
func (s *Syncer) logProof() {
	p := s.proof
	active := p.active.Load()
	e, known := p.tracker.Newest(active.version)
	proven := known && p.tracker.Within(e)
	if p.logged && proven == p.wasProven {
		return
	}
	p.logged, p.wasProven = true, proven
	fields := []any{
		"revision", active.version.Revision, "evidence_revision", e.Version.Revision, "known", known, "age_ms", e.Age.Milliseconds(),
		"bound_ms", p.options.Bound.Milliseconds(), "store_read_age_ms", s.StoreReadAge(time.Now()).Milliseconds(),
	}
	if proven {
		s.options.Events.Info("configuration proven", fields...)
		return
	}
	s.count("proofs_lost")
	s.options.Events.Warn("configuration unproven", fields...)
}
