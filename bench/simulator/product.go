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

func (d *productDispatcher) update(servers []*server) {
	var vms []fleet.VM
	for _, s := range servers {
		vms = append(vms, s.vm)
	}
	d.balancer.UpdateAt(d.entry.run.clock.time(), vms, d.entry.run.service)
	if d.entry.run.scenario.Policy == ProductShared {
		d.balancer.SetEntryOrder(d.staggerPosition, d.entry.run.scenario.Entries)
		d.balancer.SetZoneRank(d.zoneRank())
	}
}

func (d *productDispatcher) submit(c *call) {
	i := &admission.Item{Request: admission.Request{Rank: c.rank, Upload: c.rank == Uploads, Exclude: c.tried}}
	i.Deadline = epoch.Add(c.arrived + callerTimeout)
	if c.rank == Uploads {
		i.Deadline = time.Time{}
	}
	if refusal := d.scheduler.Enqueue(i, d.entry.run.clock.time()); refusal != nil {
		d.entry.handleRefusal(c, refusal)
		return
	}
	d.calls[i] = c
	d.dispatch()
}

func (d *productDispatcher) done(a *attempt, kind balancer.ResultKind) {
	run := d.entry.run
	result := balancer.Result{
		Latency:   run.clock.now - a.sent,
		Kind:      kind,
		Report:    a.report,
		HasReport: kind != balancer.Cancelled && !run.scenario.Faults.NoReports,
		Upload:    a.call.rank == Uploads,
		Estimate:  a.reservation.Estimate(),
	}
	d.balancer.Done(a.reservation, run.clock.time(), result)
	d.scheduler.Finish(a.item, result, run.clock.time())
	if d.sharesReports && result.HasReport {
		at := run.clock.time()
		run.broadcast(d, d.entry.zone, func(other *productDispatcher) {
			other.balancer.AddReport(a.server.vm.Name, at.Add(gossipDelay), a.report)
		})
	}
	d.dispatch()
}

func (d *productDispatcher) dispatch() {
	run := d.entry.run
	for {
		decision, ok := d.scheduler.Next(run.clock.time())
		if !ok {
			break
		}
		c := d.calls[decision.Item]
		delete(d.calls, decision.Item)
		d.handleDecision(c, decision)
	}
	d.schedulePoll()
}

func (d *productDispatcher) handleDecision(c *call, decision admission.Decision) {
	if decision.Refusal != nil {
		d.entry.handleRefusal(c, decision.Refusal)
		return
	}
	a := &attempt{call: c, server: d.entry.run.byName[decision.Reservation.VM.Name], item: decision.Item, reservation: decision.Reservation}
	if c.finished {
		a.sent = d.entry.run.clock.now
		cancelled := balancer.Result{Kind: balancer.Cancelled}
		d.balancer.Done(a.reservation, d.entry.run.clock.time(), cancelled)
		d.scheduler.Finish(a.item, cancelled, d.entry.run.clock.time())
		return
	}
	a.send()
	if d.sharesReports {
		at := d.entry.run.clock.time()
		d.entry.run.broadcast(d, d.entry.zone, func(other *productDispatcher) {
			other.balancer.AddPeerCounts(a.server.vm.Name, at.Add(gossipDelay), balancer.RequestCounts{Sent: 1})
		})
	}
	if c.rank == Lookups && len(c.attempts) == 1 {
		d.scheduleHedge(c)
	}
}

func (d *productDispatcher) schedulePoll() {
	if d.pollScheduled || d.scheduler.Waiting() == 0 {
		return
	}
	d.pollScheduled = true
	d.entry.run.clock.after(pollInterval, func() {
		d.pollScheduled = false
		d.dispatch()
	})
}

// scheduleHedge starts a second attempt when the first gets no response within the
// hedge delay.
func (d *productDispatcher) scheduleHedge(c *call) {
	run := d.entry.run
	if run.scenario.NoHedges {
		return
	}
	d.hedgeTokens = min(d.hedgeTokens+run.service.Budgets.HedgeShare, maxHedgeTokens)
	delay, ok := d.balancer.HedgeDelay(run.clock.time())
	if !ok {
		return
	}
	run.clock.after(delay, func() {
		if c.finished || len(c.attempts) > 1 || d.hedgeTokens < 1 {
			return
		}
		if _, ok := d.balancer.HedgeDelay(run.clock.time()); !ok {
			return
		}
		d.hedgeTokens--
		if run.inMeasuredTime() {
			run.result.Hedges++
		}
		d.submit(c)
	})
}
