package storesync

import (
	"bytes"
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/eventlog"
	"chestnutrouter.example/chestnutrouter/internal/freshness"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// The store loses revision 3 and the operator writes another revision 3, without a key. No member
// may stay proven with the lost one, and all must get the other one, also those that do not read
// the store.
func TestRevisionWrittenAgainAfterARestore(t *testing.T) {
	play(t, 12, func(t *testing.T, w *proofWorld) {
		w.write()
		w.write()
		w.pass(2 * time.Second)
		w.log.restore(3) // of four records
		w.pass(2 * time.Second)
		late := w.start() // knows only the copy at first
		w.pass(3 * time.Second)
		if got := late.Revision(); got != 3 {
			t.Errorf("a member that started after the restore has revision %d, want 3 from the others", got)
		}
		w.log.put("config", "+3")
		rewritten := time.Now()
		digest := xxhash.Sum64String("+3")
		w.pass(proofBound+time.Second, func() {
			for _, m := range w.live() {
				if tree := m.tree.Load(); tree.Digest != digest && m.IsProven(tree) && time.Since(rewritten) > proofBound {
					t.Fatalf("%s is proven with the lost revision", m.name)
				}
			}
		})
		for _, m := range w.live() {
			if tree := m.tree.Load(); tree.Digest != digest || !m.IsProven(tree) {
				t.Errorf("%s: digest %x, proven %v, want the configuration that was written again", m.name, tree.Digest, m.IsProven(tree))
			}
		}
	})
}

// newProofSyncer returns a syncer that needs proof, with a clock that the test sets.
func newProofSyncer(now *time.Duration) *testSyncer {
	s := newTestSyncer()
	s.proof = newConfigProof(ProofOptions{Bound: proofBound, Current: proofBound / 2, Clock: func() time.Duration { return *now }})
	return s
}

// slowLog is a log whose reads take a while, by the clock of a test.
type slowLog struct {
	logservice.CompactedLog
	now  *time.Duration
	took time.Duration
	// cut makes pages end before the newest record.
	cut bool
}

func (l *slowLog) Newest(ctx context.Context, stream string) (logservice.KeyedPage, error) {
	*l.now += l.took
	return l.CompactedLog.Newest(ctx, stream)
}

func (l *slowLog) ReadKeyed(ctx context.Context, stream string, from logservice.Position, wait time.Duration) (logservice.KeyedPage, error) {
	*l.now += l.took
	page, err := l.CompactedLog.ReadKeyed(ctx, stream, from, wait)
	if l.cut {
		page.End = page.Next.Next()
	}
	return page, err
}

// A read that waited at the store proves what was so when it was sent. A failed read and a page that
// does not reach the end prove nothing.
func TestEvidenceOfAReadBeginsWhenItWasSent(t *testing.T) {
	now := time.Hour
	s := newProofSyncer(&now)
	log := &slowLog{CompactedLog: s.log, now: &now, took: time.Second}
	s.options.Log = log
	s.log.put("config", "1")
	for range 2 {
		s.readConfig(t.Context(), configWait)
		if e, ok := s.proof.evidence(); !ok || e.Age != time.Second || e.Version.Revision != 1 {
			t.Errorf("got evidence %+v, %v, want revision 1 of age 1 s", e, ok)
		}
	}
	log.cut = true
	s.readConfig(t.Context(), configWait)
	s.log.down = true
	s.readConfig(t.Context(), configWait)
	if e, _ := s.proof.evidence(); e.Age != 3*time.Second {
		t.Errorf("evidence of age %v after a cut page and a failed read, want 3 s", e.Age)
	}
}

// A configuration that can't be used leaves the active one in force, and proven: it counts as not
// written.
func TestUnusableConfigurationIsNoNewerOne(t *testing.T) {
	now := time.Hour
	s := newProofSyncer(&now)
	s.log.put("config", "1")
	s.readConfig(t.Context(), 0)
	s.log.put("config", "unreadable")
	now += proofBound
	s.readConfig(t.Context(), 0)
	if e, ok := s.proof.evidence(); !ok || e.Age != 0 || s.Revision() != 1 {
		t.Errorf("got evidence %+v, %v at revision %d, want it of age 0 at revision 1", e, ok, s.Revision())
	}
}

// The reply to a pull carries the evidence, which is as old as the member says, from the time at
// which the pull was sent.
func TestPullCarriesEvidence(t *testing.T) {
	now, far := time.Hour, time.Minute
	source := newProofSyncer(&far)
	source.log.put("config", "4")
	source.log.put("a", "live 1")
	source.readConfig(t.Context(), 0)
	source.readServers(t.Context())
	far += 2 * time.Second
	s := newProofSyncer(&now)
	s.options.Client = clientFunc(func(args SinceArgs, reply *SinceReply) error {
		now += time.Second
		return source.Receiver().Since(args, reply)
	})
	s.pull(t.Context(), cluster.LiveMember{Status: cluster.Status{Revision: 4}})
	if e, ok := s.proof.evidence(); !ok || e.Age != 3*time.Second || e.Version.Revision != 4 {
		t.Errorf("got evidence %+v, %v, want revision 4 of age 3 s", e, ok)
	}
}

// clientFunc is a peer.Client that calls a function.
type clientFunc func(args SinceArgs, reply *SinceReply) error

// Call implements peer.Client.
func (f clientFunc) Call(_ context.Context, _, _ string, args, reply any) error {
	return f(args.(SinceArgs), reply.(*SinceReply))
}

// Malformed answers and those of members without evidence leave everything as it is.
func TestAnswersWithoutEvidence(t *testing.T) {
	now := time.Hour
	s := newProofSyncer(&now)
	if answer := s.AnswerProofQuery(nil); answer != nil {
		t.Errorf("answered %x without evidence", answer)
	}
	s.proof.observe(freshness.Evidence{}, now)
	s.proof.observe(freshness.Evidence{Version: freshness.Version{Revision: 1}, Age: -time.Second}, now)
	if _, ok := s.proof.evidence(); ok {
		t.Error("an answer without evidence is some")
	}
	none := newTestSyncer()
	if tree, err := decodeTree([]byte("1")); err != nil || !none.IsProven(tree) || !none.IsCurrent(tree) || none.AnswerProofQuery(nil) != nil {
		t.Error("a member without a bound must need no proof and give none")
	}
}

// Each loss of the proof is logged once, with what an operator needs to find the cause.
func TestLossOfProofIsLogged(t *testing.T) {
	now := time.Hour
	s := newProofSyncer(&now)
	var out bytes.Buffer
	s.options.Events = eventlog.New(&out, log.InfoLevel)
	s.log.put("config", "3")
	s.readConfig(t.Context(), 0)
	s.logProof()
	now += 2 * proofBound
	s.logProof()
	s.logProof()
	s.options.Events.Close() // writes what is queued
	text := out.String()
	for _, want := range []string{`"configuration proven"`, `"configuration unproven"`, `"revision":3`, `"age_ms":10000`, `"bound_ms":5000`} {
		if !strings.Contains(text, want) {
			t.Errorf("no %s in the log:\n%s", want, text)
		}
	}
	if n := strings.Count(text, `"configuration unproven"`); n != 1 {
		t.Errorf("%d lines about one loss, want 1", n)
	}
}

// A member that lacks a configuration because it was written again fetches it. The position in the
// update is also behind records of evacuations, which must be applied: it would never read them.
func TestFetchOfAnotherConfigurationBringsEvacuations(t *testing.T) {
	now := time.Hour
	log := &fakeLog{}
	newSyncer := func() *evacuationSyncer {
		s := newEvacuationSyncer(log)
		s.proof = newConfigProof(ProofOptions{Bound: proofBound, Current: proofBound / 2, Clock: func() time.Duration { return now }})
		return s
	}
	source, s := newSyncer(), newSyncer()
	log.put("config", "3")
	s.read(t, "the lost configuration")
	log.put("config", "+3")
	log.put("evacuate/a", "{}")
	source.read(t, "the other member", "a")
	s.options.Client = receiverClient{source.Receiver()}
	e, _ := source.proof.evidence()
	s.fetchIfOther(t.Context(), cluster.LiveMember{}, e)
	if string(s.config.Value) != "+3" {
		t.Fatalf("configuration %q after the fetch", s.config.Value)
	}
	s.read(t, "after the fetch", "a")
}

// A reader has the configuration that a restored store lost, and pulls servers from a member that has
// read the other one written again in the same revision. The position in the update is behind that
// configuration, so the reader must get it with the update: it would never read it itself, and take its
// own for proven.
func TestPullBringsTheRevisionWrittenAgain(t *testing.T) {
	now := time.Hour
	source, s := newProofSyncer(&now), newProofSyncer(&now)
	s.log, s.options.Log = source.log, source.log
	source.log.put("config", "3")
	s.readConfig(t.Context(), 0)
	source.log.put("config", "+3")
	source.readConfig(t.Context(), 0)
	source.log.put("a", "live 1")
	source.readServers(t.Context())
	s.options.Client = receiverClient{source.Receiver()}
	s.Syncer.pull(t.Context(), cluster.LiveMember{Status: cluster.Status{Revision: 3, ServersVersion: source.ServersVersion()}})
	now += time.Second
	s.readConfig(t.Context(), 0)
	if e, ok := s.proof.evidence(); string(s.config.Value) != "+3" {
		t.Errorf("configuration %q with evidence %+v, %v, want the one that was written again", s.config.Value, e, ok)
	}
}

// The age in a malformed answer or update may be any number. Added to the time that has passed since,
// it must not become negative: the configuration would stay proven for years.
func TestEvidenceOfImpossibleAgeProvesNothing(t *testing.T) {
	now := time.Hour
	s := newProofSyncer(&now)
	s.log.put("config", "1")
	s.readConfig(t.Context(), 0)
	active := &tree.Tree{Revision: 1, Digest: xxhash.Sum64String("1")}
	now += 2 * proofBound
	answer := freshness.Evidence{Version: versionOf(active), Age: math.MaxInt64}.Encode()
	if e, ok := freshness.Decode(answer); ok {
		s.proof.observe(e, now)
	}
	other := newProofSyncer(&now) // without evidence of its own
	other.proof.observe(freshness.Evidence{Version: versionOf(active), Age: math.MaxInt64}, now)
	now += time.Second
	if s.IsProven(active) || other.IsProven(active) {
		t.Errorf("proven by evidence of an impossible age: %v at a member with older evidence, %v at one without", s.IsProven(active), other.IsProven(active))
	}
}
