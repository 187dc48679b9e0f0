package simulator

import (
	"fmt"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/probe"
)

// pollInterval is how often an entry with waiting calls looks again.
const pollInterval = 2 * time.Millisecond

// hedgeBurst is the most second attempts saved up.
const hedgeBurst = 10

// queued is the real decision code: rank queue and balancer.
type queued struct {
	entry     *entry
	balancer  *balancer.Balancer
	scheduler *admission.Scheduler
	calls     map[*admission.Item]*call
	polling   bool
	hedges    float64 // tokens
	prober    *probe.Prober
	shared    bool // what the entry learns is told to the others
}

func newQueued(e *entry) *queued {
	b := balancer.New(balancer.Options{Entry: fmt.Sprintf("entry-%02d", e.index), Zone: zoneName(e.zone)})
	q := &queued{entry: e, balancer: b, calls: make(map[*admission.Item]*call)}
	q.scheduler = admission.NewScheduler(b)
	q.scheduler.SetRanks(e.run.service.Ranks)
	q.prober = newProber(q)
	q.probe()
	return q
}

func (q *queued) update(servers []*server) {
	var vms []fleet.VM
	for _, s := range servers {
		vms = append(vms, s.vm)
	}
	q.balancer.UpdateAt(q.entry.run.clock.time(), vms, q.entry.run.service)
	if q.entry.run.scenario.Policy == ProductShared {
		q.balancer.SetEntryOrder(q.place, q.entry.run.scenario.Entries)
	}
}

func (q *queued) start(c *call) {
	i := &admission.Item{Request: admission.Request{Rank: c.rank, Upload: c.rank == Uploads, Exclude: c.tried}}
	i.Deadline = epoch.Add(c.arrived + callerPatience)
	if c.rank == Uploads {
		i.Deadline = time.Time{}
	}
	if refusal := q.scheduler.Enqueue(i, q.entry.run.clock.time()); refusal != nil {
		q.entry.refused(c, refusal)
		return
	}
	q.calls[i] = c
	q.dispatch()
}

func (q *queued) done(a *attempt, kind balancer.ResultKind) {
	run := q.entry.run
	result := balancer.Result{
		Latency:   run.clock.now - a.sent,
		Kind:      kind,
		Report:    a.report,
		HasReport: kind != balancer.Cancelled && !run.scenario.Faults.NoReports,
		Upload:    a.call.rank == Uploads,
		Estimate:  a.place.Estimate(),
	}
	q.balancer.Done(a.place, run.clock.time(), result)
	q.scheduler.Finish(a.item, result)
	if q.shared && result.HasReport {
		run.tell(q, func(other *queued) { other.balancer.AddReport(a.server.vm.Name, run.clock.time(), a.report) })
	}
	q.dispatch()
}

func (q *queued) dispatch() {
	run := q.entry.run
	for {
		d, ok := q.scheduler.Next(run.clock.time())
		if !ok {
			break
		}
		c := q.calls[d.Item]
		delete(q.calls, d.Item)
		q.decided(c, d)
	}
	q.poll()
}

func (q *queued) decided(c *call, d admission.Decision) {
	if d.Refusal != nil {
		q.entry.refused(c, d.Refusal)
		return
	}
	a := &attempt{call: c, server: q.entry.run.byName[d.Reservation.VM.Name], item: d.Item, place: d.Reservation}
	if c.finished {
		a.sent = q.entry.run.clock.now
		cancelled := balancer.Result{Kind: balancer.Cancelled}
		q.balancer.Done(a.place, q.entry.run.clock.time(), cancelled)
		q.scheduler.Finish(a.item, cancelled)
		return
	}
	a.send()
	if q.shared {
		at := q.entry.run.clock.time()
		q.entry.run.tell(q, func(other *queued) {
			other.balancer.AddPeerCounts(a.server.vm.Name, at.Add(tellDelay), balancer.RequestCounts{Sent: 1})
		})
	}
	if c.rank == Lookups && len(c.attempts) == 1 {
		q.planHedge(c)
	}
}

func (q *queued) poll() {
	if q.polling || q.scheduler.Waiting() == 0 {
		return
	}
	q.polling = true
	q.entry.run.clock.after(pollInterval, func() {
		q.polling = false
		q.dispatch()
	})
}

// planHedge starts a second attempt when the first stays unanswered for long.
func (q *queued) planHedge(c *call) {
	run := q.entry.run
	if run.scenario.NoHedges {
		return
	}
	q.hedges = min(q.hedges+run.service.Budgets.HedgeShare, hedgeBurst)
	wait, ok := q.balancer.HedgeDelay(run.clock.time())
	if !ok {
		return
	}
	run.clock.after(wait, func() {
		if c.finished || len(c.attempts) > 1 || q.hedges < 1 {
			return
		}
		if _, ok := q.balancer.HedgeDelay(run.clock.time()); !ok {
			return
		}
		q.hedges--
		if run.measuring() {
			run.result.Hedges++
		}
		q.start(c)
	})
}
