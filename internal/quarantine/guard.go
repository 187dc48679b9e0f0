package quarantine

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/eventlog"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

const (
	// checkTimeout bounds one check of a server, and maxCheckTries how often it is repeated
	// without a result, with checkPause between.
	checkTimeout  = 250 * time.Millisecond
	maxCheckTries = 3
	checkPause    = 100 * time.Millisecond
	// maxChecks bounds the checks at the same time.
	maxChecks = 64
	// freshReport is the age of a server's last report from which it may have ended.
	freshReport = 250 * time.Millisecond
	// repeatTime is how long evidence of this entry is repeated in each heartbeat, as some of
	// them are lost or do not reach all entries.
	repeatTime = time.Second
	// maxReports bounds the reports in one heartbeat.
	maxReports = 40
	// announceInterval is the least mean time between two announcements of what is held, for
	// entries that have started or were cut off. Each entry announces less often the more
	// there are, so that all together do at most once per announceShare.
	announceInterval = time.Second
	announceShare    = 50 * time.Millisecond
)

// ServerCheck is what a check found out about a server's process.
type ServerCheck int

// Results of a check.
const (
	// Unknown means that there was no response, as behind a broken link.
	Unknown ServerCheck = iota
	// Running means that the process accepts connections.
	Running
	// Ended means that nobody listens at the server's address.
	Ended
)

// Options are the settings of a Guard.
type Options struct {
	// Check finds out whether a server's process has ended.
	Check func(ctx context.Context, server fleet.VM) ServerCheck
	// InUse reports whether the server is listed and not leaving: one that leaves ends without
	// a request's fault.
	InUse func(server fleet.VM) bool
	// LastReport returns when the server last reported its load to any entry.
	LastReport func(server fleet.VM) time.Time
	// View returns the view of the cluster, and Self is the name of this VM.
	View func() *cluster.View
	Self string
	// Flush sends new reports to the other entries immediately.
	Flush func()
	// Events receives the log lines, Scope the counters. Both may be nil.
	Events *eventlog.Logger
	Scope  tally.Scope
}

// Guard collects evidence against requests, exchanges it with the other entries and refuses
// requests that are held. It is safe for concurrent use. A nil Guard refuses none.
type Guard struct {
	options Options
	table   *Table

	mu          sync.Mutex // guards the fields below
	checks      map[cluster.ServerID][]suspicion
	recent      []recentEvidence
	collectedAt time.Time
	announced   int // reports announced so far, to announce others next
}

// suspicion is a request that was at a server when its connection ended.
type suspicion struct {
	request cluster.RequestID
	id      string // of the caller's attempt
	at      time.Time
}

// recentEvidence is evidence of this entry that heartbeats repeat.
type recentEvidence struct {
	Evidence
	addedAt time.Time // a check may take long, so this may be well after Evidence.At
}

// NewGuard returns a Guard without evidence.
func NewGuard(options Options) *Guard {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	return &Guard{options: options, table: NewTable(), checks: map[cluster.ServerID][]suspicion{}}
}

// Request is one call of a request. A nil Request is not tracked.
type Request struct {
	guard    *Guard
	request  *http.Request
	head     uint32
	answered atomic.Bool // a run ended with a response
	trial    bool

	identify    sync.Once
	fingerprint operation.Fingerprint
	readable    bool // the body could be read
}

// Begin begins a call. It returns a refusal if the request is held. End must be called when the
// call has ended.
func (g *Guard) Begin(r *http.Request) (*Request, *outcome.Refusal) {
	if g == nil || r.GetBody == nil && r.Body != nil && r.Body != http.NoBody {
		return nil, nil
	}
	q := &Request{guard: g, request: r, head: head(r)}
	if !g.table.MayKnow(q.head) {
		return q, nil
	}
	id, ok := q.id()
	if !ok {
		return q, nil
	}
	now := time.Now()
	verdict := g.table.Judge(id, g.mayTry(id), now)
	if verdict.Held {
		g.count("refused")
		detail := fmt.Sprintf("%d backend servers have ended while they ran this request; it is not sent on for now", verdict.Crashes)
		return nil, outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonQuarantined, detail).WithRetryAfter(verdict.RetryAfter)
	}
	q.trial = verdict.Trial
	if q.trial {
		g.count("trials")
		g.options.Events.Info("held request tried again", "request", r.Header.Get(wire.HeaderRequestID), "fingerprint", text(id), "crashes", verdict.Crashes)
	}
	return q, nil
}

// mayTry reports whether this entry is the one that tries the request after its hold.
func (g *Guard) mayTry(id cluster.RequestID) bool {
	owner, ok := g.options.View().Owner(string(id.Fingerprint[:]), "")
	return ok && owner.VM == g.options.Self
}

// head returns a hash of the request's target.
func head(r *http.Request) uint32 {
	h := xxhash.New()
	for _, field := range []string{r.Header.Get(wire.HeaderCaller), r.Method, r.Host, r.URL.EscapedPath(), r.URL.RawQuery} {
		// A hash does not fail to write.
		_, _ = h.WriteString(field)
		_, _ = h.WriteString("\x00")
	}
	return uint32(h.Sum64())
}

// id returns the identity of the request. It returns false if the body can't be read.
func (q *Request) id() (cluster.RequestID, bool) {
	q.identify.Do(func() {
		body := io.ReadCloser(http.NoBody)
		if q.request.GetBody != nil {
			var err error
			if body, err = q.request.GetBody(); err != nil {
				return
			}
		}
		defer body.Close()
		fingerprint, err := operation.ReadFingerprint(q.request, body)
		if err != nil {
			return
		}
		q.readable = true
		q.fingerprint = fingerprint.Scoped(q.request.Header.Get(wire.HeaderCaller))
	})
	return cluster.RequestID{Head: q.head, Fingerprint: q.fingerprint}, q.readable
}

// Suspect reports whether a server has ended under the request. Such a request is sent to one
// server at a time.
func (q *Request) Suspect() bool { return q.SuspectBeside(fleet.VM{}) }

// SuspectBeside reports whether a server other than that one, which may just have ended, has ended
// under the request. It is not sent again within its call then.
func (q *Request) SuspectBeside(server fleet.VM) bool {
	if q == nil || !q.guard.table.MayKnow(q.head) {
		return false
	}
	id, ok := q.id()
	return ok && q.guard.table.CrashesBeside(id, cluster.ServerIDOf(server), time.Now()) > 0
}

// ConnectionEnded reports that the connection to a server that may have begun to run the request
// ended without a response.
func (q *Request) ConnectionEnded(server fleet.VM) {
	if q != nil && q.guard.options.InUse(server) {
		q.investigate(server)
	}
}

// NoResponse reports that there was no response until the deadline, or until the caller left. The
// server is checked only if it has not reported its load lately.
func (q *Request) NoResponse(server fleet.VM) {
	if q == nil || q.answered.Load() || time.Since(q.guard.options.LastReport(server)) < freshReport {
		return
	}
	q.ConnectionEnded(server)
}

// Answered reports that a run of the request ended with a response.
func (q *Request) Answered() {
	if q == nil {
		return
	}
	q.answered.Store(true)
	g := q.guard
	if !g.table.MayKnow(q.head) {
		return
	}
	if id, ok := q.id(); ok {
		now := time.Now()
		if g.add(Evidence{Request: id, Cleared: true, At: now}, now) {
			g.count("cleared")
			g.options.Events.Info("request cleared", "request", q.request.Header.Get(wire.HeaderRequestID), "fingerprint", text(id))
		}
	}
}

// End ends the call.
func (q *Request) End() {
	if q == nil || !q.trial {
		return
	}
	if id, ok := q.id(); ok {
		q.guard.table.EndTrial(id, time.Now())
	}
}

// investigate checks in the background whether the server has ended, and adds evidence if so.
func (q *Request) investigate(server fleet.VM) {
	id, ok := q.id()
	if !ok {
		return
	}
	g := q.guard
	s := suspicion{request: id, id: q.request.Header.Get(wire.HeaderRequestID), at: time.Now()}
	key := cluster.ServerIDOf(server)
	g.mu.Lock()
	defer g.mu.Unlock()
	if waiting, running := g.checks[key]; running {
		g.checks[key] = append(waiting, s)
		return
	}
	if len(g.checks) >= maxChecks {
		g.count("checks_skipped")
		return
	}
	g.checks[key] = []suspicion{s}
	go g.check(server, key)
}

// check checks a server, and adds evidence against all requests that wait for the result.
func (g *Guard) check(server fleet.VM, key cluster.ServerID) {
	result := Unknown
	for try := 0; try < maxCheckTries && result == Unknown; try++ {
		if try > 0 {
			time.Sleep(checkPause)
		}
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		result = g.options.Check(ctx, server)
		cancel()
	}
	g.mu.Lock()
	suspicions := g.checks[key]
	delete(g.checks, key)
	g.mu.Unlock()
	g.count(map[ServerCheck]string{Unknown: "checks_unknown", Running: "checks_running", Ended: "checks_ended"}[result])
	if result != Ended || !g.options.InUse(server) {
		return
	}
	now := time.Now()
	added := false
	for _, s := range suspicions {
		if !g.add(Evidence{Request: s.request, Server: key, At: s.at}, now) {
			continue
		}
		added = true
		crashes := g.table.Crashes(s.request, now)
		g.options.Events.Warn("server ended under a request", "server", server.Name, "request", s.id,
			"fingerprint", text(s.request), "crashes", crashes, "held", crashes >= heldAfter)
	}
	if added {
		g.options.Flush()
	}
}

// add adds evidence of this entry.
func (g *Guard) add(e Evidence, now time.Time) bool {
	if !g.table.Add(e, now) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.recent) >= maxReports {
		g.recent = g.recent[1:]
	}
	g.recent = append(g.recent, recentEvidence{e, now})
	return true
}

// Collect adds reports to a heartbeat: evidence of this entry that is new, and now and then what
// is held.
func (g *Guard) Collect(hb *cluster.Heartbeat, now time.Time) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.recent) > 0 && now.Sub(g.recent[0].addedAt) > repeatTime {
		g.recent = g.recent[1:]
	}
	reports := make([]Evidence, 0, len(g.recent))
	for _, r := range g.recent {
		reports = append(reports, r.Evidence)
	}
	// The times are random and without memory, so that entries that start together do not
	// announce together.
	elapsed := now.Sub(g.collectedAt)
	g.collectedAt = now
	if interval := max(announceInterval, time.Duration(len(g.options.View().Live))*announceShare); rand.N(interval) < elapsed {
		reports = append(reports, g.someHeld(now, maxReports-len(reports))...)
	}
	for _, e := range reports {
		hb.CrashReports = append(hb.CrashReports, cluster.CrashReport{Request: e.Request, Server: e.Server, Cleared: e.Cleared, Age: now.Sub(e.At)})
	}
}

// someHeld returns up to that much of the evidence against held requests, all in turn. g.mu must
// be held.
func (g *Guard) someHeld(now time.Time, count int) []Evidence {
	held := g.table.Held(now)
	if len(held) <= count {
		return held
	}
	begin := g.announced % len(held)
	g.announced += count
	return append(held[begin:], held[:begin]...)[:count]
}

// Receive adds the reports in another entry's heartbeat.
func (g *Guard) Receive(hb *cluster.Heartbeat, now time.Time) {
	if g == nil {
		return
	}
	for _, r := range hb.CrashReports {
		e := Evidence{Request: r.Request, Server: r.Server, Cleared: r.Cleared, At: now.Add(-r.Age)}
		if !g.table.Add(e, now) {
			continue
		}
		g.count("reports")
		crashes := g.table.Crashes(r.Request, now)
		if r.Cleared || crashes >= heldAfter {
			g.options.Events.Info("evidence from another entry", "fingerprint", text(r.Request), "cleared", r.Cleared, "crashes", crashes,
				"held", crashes >= heldAfter, "age_ms", r.Age.Milliseconds())
		}
	}
}

// text returns the fingerprint as it is logged.
func text(id cluster.RequestID) string { return hex.EncodeToString(id.Fingerprint[:]) }

func (g *Guard) count(name string) { g.options.Scope.Counter("quarantine_" + name).Inc(1) }
