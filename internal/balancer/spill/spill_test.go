package spill

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	step = 100 * time.Millisecond
	// occupancy is how long a request holds a slot: 220 ms at full speed, twice as long on
	// average with servers that are slowed fivefold for a quarter of the time.
	occupancy = 440 * time.Millisecond
	// reportDelay is the time until entries know the load of another zone.
	reportDelay = 200 * time.Millisecond
	// usableSlots of a server's four are below its knee.
	usableSlots = 3
)

// region is a model of availability zones whose entries decide by delayed reports. Requests begin
// at the rate of the demand and hold a slot for the occupancy.
type region struct {
	servers []float64
	demand  []float64 // requests per second of each zone's callers
	busy    []float64
	history [][]float64
	entries []Controller // one for each zone, as all entries of a zone see the same
	shares  []float64
	rng     *rand.Rand
	now     time.Time
}

func newRegion(servers, demand []float64) *region {
	r := &region{servers: servers, demand: demand, rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1, 0)}
	r.busy, r.shares = make([]float64, len(servers)), make([]float64, len(servers))
	r.entries = make([]Controller, len(servers))
	for i := range r.busy {
		r.busy[i] = demand[i] * occupancy.Seconds()
	}
	return r
}

// zoneAt returns the load of the zone as reported some steps ago. The reports vary by chance.
func (r *region) zoneAt(i, ago int) Zone {
	busy := r.history[max(len(r.history)-1-ago, 0)][i]
	return Zone{Slots: usableSlots * r.servers[i], Busy: max(busy+r.rng.NormFloat64()*math.Sqrt(busy), 0)}
}

// run plays the time and returns the least and the greatest share of each zone in its second half.
func (r *region) run(length time.Duration) (least, most []float64) {
	least, most = make([]float64, len(r.busy)), make([]float64, len(r.busy))
	for i := range least {
		least[i] = 1
	}
	for n := range int(length / step) {
		r.now = r.now.Add(step)
		r.history = append(r.history, append([]float64(nil), r.busy...))
		flows := make([]float64, len(r.busy))
		for i := range r.entries {
			var others []Zone
			var indexes []int
			for j := range r.busy {
				if j != i {
					others, indexes = append(others, r.zoneAt(j, int(reportDelay/step))), append(indexes, j)
				}
			}
			d := r.entries[i].Update(r.now, r.zoneAt(i, 0), others)
			r.shares[i] = d.Share
			flows[i] += r.demand[i] * (1 - d.Share)
			for k, j := range indexes {
				flows[j] += r.demand[i] * d.Share * d.Parts[k]
			}
			if n >= int(length/step)/2 {
				least[i], most[i] = min(least[i], d.Share), max(most[i], d.Share)
			}
		}
		for i, flow := range flows {
			r.busy[i] += float64(step) / float64(occupancy) * (flow*occupancy.Seconds() - r.busy[i])
		}
	}
	return least, most
}

// load returns the requests per slot below the knee.
func (r *region) load(i int) float64 { return r.busy[i] / (usableSlots * r.servers[i]) }

// A calm cluster sends nothing to other zones.
func TestCalmZonesKeepTheirRequests(t *testing.T) {
	r := newRegion([]float64{43, 38, 45}, []float64{140, 130, 145})
	if _, most := r.run(30 * time.Second); most[0]+most[1]+most[2] > 0 {
		t.Errorf("shares of up to %.2f leave calm zones, want none", most)
	}
}

// Load: a zone has lost half of its servers and has 1.3 requests per slot. It must send so many to
// the others that it falls to about the high load, soon and without a swing, and nothing
// may come back.
func TestZoneThatLostServersSendsTheRest(t *testing.T) {
	r := newRegion([]float64{43, 38, 45}, []float64{190, 140, 160})
	r.run(10 * time.Second)
	r.servers[0] = 21
	r.run(4 * time.Second)
	if load := r.load(0); load > highLoad+0.15 {
		t.Errorf("load %.2f four seconds after the loss, want about %.2f", load, highLoad)
	}
	least, most := r.run(20 * time.Second)
	if most[0]-least[0] > 0.1 || least[0] < 0.15 {
		t.Errorf("the share varies between %.2f and %.2f, want a steady one above 0.15", least[0], most[0])
	}
	if most[1]+most[2] > 0 {
		t.Errorf("shares of up to %.2f leave the other zones, want none", most[1:])
	}
}

// Load: 60% of a zone's callers moved to another one, which has 1.2 requests per slot then.
func TestZoneWithMoreCallersSendsTheRest(t *testing.T) {
	r := newRegion([]float64{43, 38, 45}, []float64{180, 180, 180})
	r.run(10 * time.Second)
	r.demand = []float64{72, 288, 180}
	r.run(5 * time.Second)
	least, most := r.run(20 * time.Second)
	if load := r.load(1); load > highLoad+0.15 {
		t.Errorf("load %.2f in the zone with more callers, want about %.2f", load, highLoad)
	}
	if most[1]-least[1] > 0.1 || least[1] < 0.05 || most[0]+most[2] > 0 {
		t.Errorf("shares between %.2f and %.2f, want a steady one of the second zone alone", least, most)
	}
}

// Load: unequal zones of entries and servers, demand 255, 327 and 231 against 43, 38 and 45
// servers. Only the second zone has more than its servers take.
func TestUnequalZones(t *testing.T) {
	r := newRegion([]float64{43, 38, 45}, []float64{255, 327, 231})
	r.run(10 * time.Second)
	least, most := r.run(20 * time.Second)
	if least[1] < 0.1 || most[1]-least[1] > 0.1 {
		t.Errorf("shares between %.2f and %.2f, want a steady one of the second zone", least, most)
	}
	if most[0] > 0.05 || most[2] > 0 {
		t.Errorf("shares of up to %.2f, want almost none from the first and the third zone", most)
	}
	for i := range 3 {
		if load := r.load(i); load > 1.1 {
			t.Errorf("zone %d has load %.2f, want all below 1.1", i, load)
		}
	}
}

// Load: an evacuated zone has no servers. All of its requests leave, divided by the room of the
// others, and all come back after the end of the evacuation.
func TestEvacuatedZone(t *testing.T) {
	r := newRegion([]float64{43, 38, 45}, []float64{140, 130, 145})
	r.run(5 * time.Second)
	r.servers[0] = 0
	r.run(time.Second)
	if r.shares[0] != 1 {
		t.Errorf("share %.2f of an evacuated zone, want all", r.shares[0])
	}
	r.run(10 * time.Second)
	if a, b := r.load(1), r.load(2); math.Abs(a-b) > 0.15 {
		t.Errorf("loads %.2f and %.2f of the other zones, want about the same", a, b)
	}
	r.servers[0] = 43
	r.run(20 * time.Second)
	if r.shares[0] > 0 {
		t.Errorf("share %.2f after the evacuation, want none", r.shares[0])
	}
}

// Load: two equal zones above the high load. Neither has room for the other, so nothing may
// go to and fro.
func TestEqualZonesDoNotSwing(t *testing.T) {
	for _, demand := range []float64{280, 310, 400} {
		r := newRegion([]float64{43, 43}, []float64{demand, demand})
		if _, most := r.run(40 * time.Second); most[0] > 0.05 || most[1] > 0.05 {
			t.Errorf("shares of up to %.2f between equal zones at load %.2f, want at most 0.05", most, r.load(0))
		}
	}
}

// The first decision of an entry that has just started takes the loads as they are.
func TestFirstDecision(t *testing.T) {
	var c Controller
	d := c.Update(time.Unix(1, 0), Zone{Slots: 30, Busy: 15}, []Zone{{Slots: 30, Busy: 6}})
	if d.Share != 0 || d.OwnLoad != 0.5 || d.Loads[0] != 0.2 {
		t.Errorf("%+v, want loads 0.5 and 0.2 and no share", d)
	}
	if d := c.Update(time.Unix(2, 0), Zone{Slots: 30, Busy: 15}, nil); d.Share != 0 {
		t.Errorf("share %.2f without another zone, want none", d.Share)
	}
}
