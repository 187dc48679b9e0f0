// Package spill decides which share of the requests of an availability zone leaves it for backend
// servers of other zones. It is a pure function of the loads that it is given and of its own
// earlier decisions; it knows no network and no clock.
//
// All entries of a zone see the same load reports. So a decision is a share that each entry
// applies to its requests at random, not a choice that all of them make at once, and it
// follows smoothed loads slowly enough that its own effect is seen before the next step.
package spill

import (
	"math"
	"time"
)

const (
	// smoothing is the time constant of the loads: requests that last some 100 ms begin and end
	// in it, and the speed of servers changes.
	smoothing = 500 * time.Millisecond
	// adjustment is the time in which the share moves to what the loads ask for. It is longer than
	// the time after which a change of the share shows in the loads, which are smoothed, so that
	// the share does not overshoot.
	adjustment = 1500 * time.Millisecond
	// highLoad is the load from which a zone's own servers are too few: above it few of them that
	// are not slowed have a free slot below their knee.
	highLoad = 0.9
	// minGap is how much busier than all zones together a zone stays. Equally loaded zones differ
	// by less, as requests and slow servers are spread by chance.
	minGap = 0.1
	// noServersLoad is the load of a zone without usable servers.
	noServersLoad = 100
	// minStay is the least part of the requests that is taken to stay in a step of the share.
	minStay = 0.1
	// minShare is the least share that is used: less would open connections for single requests.
	minShare = 0.01
)

// Zone is the load of one availability zone's servers.
type Zone struct {
	// Slots is the number of requests that the servers run at once below their knees.
	Slots float64
	// Busy is the number of requests that run or wait there.
	Busy float64
}

// Decision is what a zone sends to others.
type Decision struct {
	// Share is the part of the zone's requests that leaves it, 0 to 1.
	Share float64
	// Parts are the parts of Share for each of the other zones, in their order; their sum is 1 if
	// Share is positive.
	Parts []float64
	// OwnLoad is the smoothed load of the own zone: requests divided by slots.
	OwnLoad float64
	// Loads are the smoothed loads of the other zones.
	Loads []float64
}

// Controller holds the state of the decisions of one entry for one service. It is not safe for
// concurrent use.
type Controller struct {
	own    load
	others []load
	share  float64
	at     time.Time
}

// load is a smoothed number of requests at a zone's servers.
type load struct {
	slots, busy float64
}

// update moves the requests towards the newest number. The slots count at once, as
// servers that are gone or new are known for certain.
func (l *load) update(z Zone, weight float64) {
	l.slots = z.Slots
	l.busy += weight * (z.Busy - l.busy)
}

func (l *load) value() float64 {
	if l.slots <= 0 {
		return noServersLoad
	}
	return l.busy / l.slots
}

// Update returns the decision at that time. The other zones must be in the same order in each
// call; a change of their number starts anew.
func (c *Controller) Update(now time.Time, own Zone, others []Zone) Decision {
	elapsed := now.Sub(c.at)
	if c.at.IsZero() || len(others) != len(c.others) {
		*c = Controller{others: make([]load, len(others))}
		elapsed = time.Hour // takes the first loads as they are
	}
	c.at = now
	weight := 1 - math.Exp(-float64(elapsed)/float64(smoothing))
	c.own.update(own, weight)
	for i := range others {
		c.others[i].update(others[i], weight)
	}
	c.adjust(elapsed)
	return c.decision()
}

// adjust moves the share towards the one at which the own load falls to the target.
func (c *Controller) adjust(elapsed time.Duration) {
	room, slots, busy := 0.0, c.own.slots, c.own.busy
	for i := range c.others {
		room += c.others[i].slots
		slots += c.others[i].slots
		busy += c.others[i].busy
	}
	switch {
	case room <= 0:
		c.share = 0
		return
	case c.own.slots <= 0:
		c.share = 1
		return
	}
	// Below the target nothing needs to leave. A zone never sends others so much that they
	// are busier than it is.
	target := max(highLoad, busy/slots+minGap)
	step := max(1-c.share, minStay) * (1 - target/max(c.own.value(), target/2))
	c.share += min(float64(elapsed)/float64(adjustment), 1) * step
	c.share = min(max(c.share, 0), 1)
}

// decision divides the share among the zones by their room below the own load.
func (c *Controller) decision() Decision {
	d := Decision{OwnLoad: c.own.value(), Parts: make([]float64, len(c.others)), Loads: make([]float64, len(c.others))}
	total := 0.0
	for i := range c.others {
		other := &c.others[i]
		d.Loads[i] = other.value()
		if gap := d.OwnLoad - d.Loads[i]; other.slots > 0 && gap > 0 {
			if c.own.slots <= 0 { // all must leave: by slots that are free, or by slots
				gap = max(1-d.Loads[i], minGap)
			}
			d.Parts[i] = other.slots * gap
			total += d.Parts[i]
		}
	}
	if total <= 0 || c.share < minShare {
		clear(d.Parts)
		return d
	}
	d.Share = c.share
	for i := range d.Parts {
		d.Parts[i] /= total
	}
	return d
}
