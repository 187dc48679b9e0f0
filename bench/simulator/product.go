package simulator

import (
	"fmt"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/probe"
)

// pollInterval is how often an entry with waiting calls runs the scheduler again.
const pollInterval = 2 * time.Millisecond

// maxHedgeTokens bounds the hedges that an entry can save up.
const maxHedgeTokens = 10

// productDispatcher runs the decision code of the product: rank queue and balancer.
type productDispatcher struct {
	entry         *entry
	balancer      *balancer.Balancer
	scheduler     *admission.Scheduler
	calls         map[*admission.Item]*call
	pollScheduled bool
	hedgeTokens   float64
	prober        *probe.Prober
	sharesReports bool // broadcasts load reports and sends to the other entries
}

func newProductDispatcher(e *entry) *productDispatcher {
	b := balancer.New(balancer.Options{Entry: fmt.Sprintf("entry-%02d", e.index), Zone: zoneName(e.zone)})
	q := &productDispatcher{entry: e, balancer: b, calls: make(map[*admission.Item]*call)}
	q.scheduler = admission.NewScheduler(b)
	q.scheduler.SetRanks(e.run.service.Ranks)
	q.prober = newProber(q)
	q.probeLoop()
	return q
}

func (q *productDispatcher) update(servers []*server) {
	var vms []fleet.VM
	for _, s := range servers {
		vms = append(vms, s.vm)
	}
	q.balancer.UpdateAt(q.entry.run.clock.time(), vms, q.entry.run.service)
	if q.entry.run.scenario.Policy == ProductShared {
		q.balancer.SetEntryOrder(q.staggerPosition, q.entry.run.scenario.Entries)
	}
}

func (q *productDispatcher) submit(c *call) {
	i := &admission.Item{Request: admission.Request{Rank: c.rank, Upload: c.rank == Uploads, Exclude: c.tried}}
	i.Deadline = epoch.Add(c.arrived + callerTimeout)
	if c.rank == Uploads {
		i.Deadline = time.Time{}
	}
	if refusal := q.scheduler.Enqueue(i, q.entry.run.clock.time()); refusal != nil {
		q.entry.handleRefusal(c, refusal)
		return
	}
	q.calls[i] = c
	q.dispatch()
}

func (q *productDispatcher) done(a *attempt, kind balancer.ResultKind) {
	run := q.entry.run
	result := balancer.Result{
		Latency:   run.clock.now - a.sent,
		Kind:      kind,
		Report:    a.report,
		HasReport: kind != balancer.Cancelled && !run.scenario.Faults.NoReports,
		Upload:    a.call.rank == Uploads,
		Estimate:  a.reservation.Estimate(),
	}
	q.balancer.Done(a.reservation, run.clock.time(), result)
	q.scheduler.Finish(a.item, result)
	if q.sharesReports && result.HasReport {
		run.broadcast(q, func(other *productDispatcher) { other.balancer.AddReport(a.server.vm.Name, run.clock.time(), a.report) })
	}
	q.dispatch()
}

func (q *productDispatcher) dispatch() {
	run := q.entry.run
	for {
		d, ok := q.scheduler.Next(run.clock.time())
		if !ok {
			break
		}
		c := q.calls[d.Item]
		delete(q.calls, d.Item)
		q.handleDecision(c, d)
	}
	q.schedulePoll()
}

func (q *productDispatcher) handleDecision(c *call, d admission.Decision) {
	if d.Refusal != nil {
		q.entry.handleRefusal(c, d.Refusal)
		return
	}
	a := &attempt{call: c, server: q.entry.run.byName[d.Reservation.VM.Name], item: d.Item, reservation: d.Reservation}
	if c.finished {
		a.sent = q.entry.run.clock.now
		cancelled := balancer.Result{Kind: balancer.Cancelled}
		q.balancer.Done(a.reservation, q.entry.run.clock.time(), cancelled)
		q.scheduler.Finish(a.item, cancelled)
		return
	}
	a.send()
	if q.sharesReports {
		at := q.entry.run.clock.time()
		q.entry.run.broadcast(q, func(other *productDispatcher) {
			other.balancer.AddPeerCounts(a.server.vm.Name, at.Add(gossipDelay), balancer.RequestCounts{Sent: 1})
		})
	}
	if c.rank == Lookups && len(c.attempts) == 1 {
		q.scheduleHedge(c)
	}
}

func (q *productDispatcher) schedulePoll() {
	if q.pollScheduled || q.scheduler.Waiting() == 0 {
		return
	}
	q.pollScheduled = true
	q.entry.run.clock.after(pollInterval, func() {
		q.pollScheduled = false
		q.dispatch()
	})
}

// scheduleHedge starts a second attempt when the first gets no response within the
// hedge delay.
func (q *productDispatcher) scheduleHedge(c *call) {
	run := q.entry.run
	if run.scenario.NoHedges {
		return
	}
	q.hedgeTokens = min(q.hedgeTokens+run.service.Budgets.HedgeShare, maxHedgeTokens)
	delay, ok := q.balancer.HedgeDelay(run.clock.time())
	if !ok {
		return
	}
	run.clock.after(delay, func() {
		if c.finished || len(c.attempts) > 1 || q.hedgeTokens < 1 {
			return
		}
		if _, ok := q.balancer.HedgeDelay(run.clock.time()); !ok {
			return
		}
		q.hedgeTokens--
		if run.inMeasuredTime() {
			run.result.Hedges++
		}
		q.submit(c)
	})
}
