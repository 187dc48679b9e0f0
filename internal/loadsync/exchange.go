package loadsync

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/cluster"
)

// Sent notes that this member sends a request to the server. The others are told
// at once where they are likely to want the same place before the next beat.
func (o *Syncer) Sent(server string, contended bool) {
	o.mu.Lock()
	if t := o.byName[server]; t != nil {
		s := o.stage(t.id)
		s.outcome.Sent++
		s.sent = time.Now()
	}
	o.mu.Unlock()
	if contended {
		o.options.Flush()
	}
}

// Ended notes what came of a request of this member.
// The others are told at once where it frees a place of a full server.
func (o *Syncer) Ended(server string, r balancer.Result, freed bool, now time.Time) {
	o.noteEnd(server, r, now)
	if freed {
		o.options.Flush()
	}
}

func (o *Syncer) noteEnd(server string, r balancer.Result, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.byName[server]
	if t == nil {
		return
	}
	s := o.stage(t.id)
	switch r.Kind {
	case balancer.OK:
		s.outcome.Completed++
	case balancer.Error, balancer.DialFailed:
		s.outcome.Failed++
	}
	if r.HasReport {
		o.noteReport(t.id, r.Report, now)
	}
}

// Collect moves what is staged into a beat.
func (o *Syncer) Collect(b *cluster.Heartbeat, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, s := range o.staged {
		if !s.at.IsZero() {
			s.report.Age = now.Sub(s.at)
			b.Reports = append(b.Reports, s.report)
			s.at = time.Time{}
		}
		if s.outcome != (cluster.RequestCounts{Server: id}) {
			if s.outcome.Sent > 0 {
				s.outcome.SentAge = now.Sub(s.sent)
			}
			b.RequestCounts = append(b.RequestCounts, s.outcome)
			s.outcome = cluster.RequestCounts{Server: id}
		}
	}
}

// Receive takes in what another member's beat carries.
func (o *Syncer) Receive(b *cluster.Heartbeat, now time.Time) {
	for _, r := range b.Reports {
		t := o.target(r.Server)
		if t == nil {
			continue
		}
		at := now.Add(-r.Age)
		t.balancer.AddReport(t.vm.Name, at, balancer.Report{
			InFlight: r.InFlight, Queue: r.Queue, Slowdown: r.Slowdown, Draining: r.Draining,
		})
		o.heardReport(t.id, at)
	}
	for _, out := range b.RequestCounts {
		if t := o.target(out.Server); t != nil {
			t.balancer.AddPeerCounts(t.vm.Name, now.Add(-out.SentAge), balancer.RequestCounts{
				Sent: out.Sent, Completed: out.Completed, Failed: out.Failed,
			})
		}
	}
}

// heardReport spares a probe where another member has just had an answer.
func (o *Syncer) heardReport(id cluster.ServerID, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.stage(id)
	if at.After(s.reported) {
		s.reported = at
	}
}

func (o *Syncer) target(id cluster.ServerID) *target {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.targets[id]
}
