package seat

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

const (
	// guardTime is how long the VM list must have shown a holder's VM as gone, and
	// its process must have been silent, before its seat is claimed.
	guardTime = 30 * time.Second
	// claimInterval is the time between two looks at the seats.
	claimInterval = time.Second
	// pauseTime is the time between two looks from which this process counts as
	// paused: what it saw before says nothing about the time between.
	pauseTime = 5 * time.Second
	// foldTime is how long an appended claim may take to show in the table.
	foldTime = 5 * time.Second
	// spareTime is how long a seat has to be free before an entry takes a second one.
	spareTime = 60 * time.Second
)

// Options set a Claimer up.
type Options struct {
	// Incarnation and VM name this entry process.
	Incarnation, VM string
	// Log takes the claims.
	Log logservice.Log
	// Listed reports whether the newest known VM list has a VM; known is false
	// before the first list.
	Listed func(vm string) (listed, known bool)
	// Encode returns the log record of a claim.
	Encode func(Claim) (json.RawMessage, error)
	// State returns the table in force and the number of seats that the tree
	// declares; zero where no tree is in force.
	State func() (table Table, seats int)
	// Live returns the incarnations of the entries that gave a sign lately.
	Live func() []string
}

// Claimer claims seats for one entry: a free one, one whose VM has left, and
// spare ones for as long as other entries do not need them. It never takes a seat
// because time ran out: the VM list has to say that the VM is gone.
type Claimer struct {
	opts     Options
	now      func() time.Time
	absences absences
	freeFrom map[int]time.Time
	looked   time.Time // at the seats
	waiting  time.Time // no further claim before this time
	leaving  atomic.Bool
}

// NewClaimer returns a claimer that does nothing until Run is called.
func NewClaimer(opts Options) *Claimer {
	return &Claimer{
		opts:     opts,
		now:      time.Now,
		absences: newAbsences(),
		freeFrom: make(map[int]time.Time),
	}
}

// Run looks at the seats until ctx ends. In an outage of the log it changes
// nothing.
func (c *Claimer) Run(ctx context.Context) {
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.step(ctx)
		}
	}
}

// ReleaseAll releases all seats of this entry and ends the claiming. Call it when no
// more calls are admitted. A release that the log does not take costs only time:
// the seat is claimed once the VM list shows the VM as gone.
func (c *Claimer) ReleaseAll(ctx context.Context) error {
	c.leaving.Store(true)
	table, seats := c.opts.State()
	for _, seat := range heldOf(table, c.opts.Incarnation, seats) {
		if err := c.append(ctx, Claim{Seat: seat, Previous: c.opts.Incarnation}); err != nil {
			return err
		}
	}
	return nil
}

func (c *Claimer) step(ctx context.Context) {
	table, seats := c.opts.State()
	if seats == 0 || c.leaving.Load() {
		return
	}
	c.observe(table, seats)
	if c.now().Before(c.waiting) {
		return
	}
	claim, ok := c.decide(table, seats)
	if !ok {
		return
	}
	c.waiting = c.now().Add(foldTime)
	// Whether or not the answer comes, the table tells whether the claim holds.
	_ = c.append(ctx, claim)
}

func (c *Claimer) append(ctx context.Context, claim Claim) error {
	data, err := c.opts.Encode(claim)
	if err != nil {
		return err
	}
	_, err = c.opts.Log.Append(ctx, logservice.StreamConfig, data)
	return err
}

// observe notes since when VMs are gone, processes silent and seats free.
func (c *Claimer) observe(table Table, seats int) {
	now := c.now()
	if now.Sub(c.looked) > pauseTime {
		c.absences = newAbsences()
		clear(c.freeFrom)
	}
	c.looked = now
	c.absences.noteSilent(now, table, c.opts.Live())
	c.absences.noteGone(now, table, c.opts.Listed)
	for seat := range seats {
		if _, held := table.Holder(seat); held {
			delete(c.freeFrom, seat)
			continue
		}
		if _, known := c.freeFrom[seat]; !known {
			c.freeFrom[seat] = now
		}
	}
}

// decide returns the claim to append now.
func (c *Claimer) decide(table Table, seats int) (Claim, bool) {
	open := c.open(table, seats)
	held := len(heldOf(table, c.opts.Incarnation, seats))
	if held == 0 {
		return c.pick(open, table)
	}
	live := max(1, len(c.opts.Live()))
	seatless := c.seatless(table, seats)
	if seatless > 0 && len(open) == 0 && held > max(1, seats/live) {
		return c.release(table, seats), true
	}
	if len(open) > seatless && held < (seats+live-1)/live {
		return c.pick(c.spare(open), table)
	}
	return Claim{}, false
}

// heldOf returns the seats of an incarnation that the tree still declares.
func heldOf(table Table, incarnation string, seats int) []int {
	held := table.HeldBy(incarnation)
	declared, _ := slices.BinarySearch(held, seats)
	return held[:declared]
}

// open returns the seats that nobody can be using.
func (c *Claimer) open(table Table, seats int) []int {
	var open []int
	for seat := range seats {
		h, held := table.Holder(seat)
		if !held || c.departed(h) {
			open = append(open, seat)
		}
	}
	return open
}

// departed reports whether a holder's VM has left, or its process was replaced
// by this one on the same VM, and nothing was heard of it for the guard time.
func (c *Claimer) departed(h Holder) bool {
	now := c.now()
	if h.Incarnation == c.opts.Incarnation || !c.absences.silentFor(h.Incarnation, now, guardTime) {
		return false
	}
	return h.VM == c.opts.VM || c.absences.goneFor(h.VM, now, guardTime)
}

// spare returns the open seats that have stayed open long enough.
func (c *Claimer) spare(open []int) []int {
	var spare []int
	for _, seat := range open {
		if from, free := c.freeFrom[seat]; free && c.now().Sub(from) >= spareTime {
			spare = append(spare, seat)
		}
	}
	return spare
}

// seatless returns how many live entries hold no seat.
func (c *Claimer) seatless(table Table, seats int) int {
	count := 0
	for _, incarnation := range c.opts.Live() {
		if len(heldOf(table, incarnation, seats)) == 0 {
			count++
		}
	}
	return count
}

// pick claims one of the seats at random, so that entries that start together
// rarely claim the same one.
func (c *Claimer) pick(seats []int, table Table) (Claim, bool) {
	if len(seats) == 0 {
		return Claim{}, false
	}
	seat := seats[rand.IntN(len(seats))]
	h, _ := table.Holder(seat)
	return Claim{Seat: seat, Incarnation: c.opts.Incarnation, VM: c.opts.VM, Previous: h.Incarnation}, true
}

func (c *Claimer) release(table Table, seats int) Claim {
	held := heldOf(table, c.opts.Incarnation, seats)
	return Claim{Seat: held[len(held)-1], Previous: c.opts.Incarnation}
}
