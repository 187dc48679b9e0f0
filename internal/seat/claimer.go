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
	// takeoverDelay is how long a holder's VM must have been missing from the VM list,
	// and its process must have been silent, before its seat is claimed.
	takeoverDelay = 30 * time.Second
	// claimInterval is the time between two checks of the seats.
	claimInterval = time.Second
	// pauseThreshold is the time between two checks above which this process counts
	// as paused. The absences that it recorded before are then discarded, because
	// they prove nothing about the time of the pause.
	pauseThreshold = 5 * time.Second
	// claimApplyTimeout is how long to wait for an appended claim to appear in the
	// table before another claim is made.
	claimApplyTimeout = 5 * time.Second
	// spareSeatDelay is how long a seat must have been free before an entry that
	// already holds one claims it.
	spareSeatDelay = 60 * time.Second
)

// Options configures a Claimer.
type Options struct {
	// Incarnation and VM identify this entry process and its VM.
	Incarnation, VM string
	// Log is the log to which claims are appended.
	Log logservice.Log
	// Listed reports whether the newest known VM list contains a VM. known is false
	// before the first list.
	Listed func(vm string) (listed, known bool)
	// Encode returns the log record of a claim.
	Encode func(Claim) (json.RawMessage, error)
	// State returns the active table and the number of seats that the tree declares,
	// or zero seats if no tree is active.
	State func() (table Table, seats int)
	// Live returns the incarnations of the entries with a recent heartbeat.
	Live func() []string
}

// Claimer claims seats for one entry: a free seat, a seat whose holder's VM is gone,
// and spare seats while no other entry needs them. It never takes over a seat
// because of a timeout alone: the holder's VM must be missing from the VM list, or
// this process must have replaced the holder on the same VM.
type Claimer struct {
	opts         Options
	now          func() time.Time
	absences     absenceTracker
	freeSince    map[int]time.Time
	lastObserved time.Time // time of the last check of the seats
	nextClaimAt  time.Time // earliest time of the next claim
	shuttingDown atomic.Bool
}

// NewClaimer returns a claimer that does nothing until Run is called.
func NewClaimer(opts Options) *Claimer {
	return &Claimer{
		opts:      opts,
		now:       time.Now,
		absences:  newAbsenceTracker(),
		freeSince: make(map[int]time.Time),
	}
}

// Run checks the seats every claimInterval until ctx ends. During an outage of the
// log no seat changes.
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

// ReleaseAll releases all seats of this entry and stops claiming. Call it when no
// more calls are admitted. It stops at the first error and returns it. A seat that
// is not released only causes a delay: another entry claims it once the VM is missing
// from the VM list.
func (c *Claimer) ReleaseAll(ctx context.Context) error {
	c.shuttingDown.Store(true)
	table, seats := c.opts.State()
	for _, seat := range declaredSeatsOf(table, c.opts.Incarnation, seats) {
		if err := c.append(ctx, Claim{Seat: seat, Previous: c.opts.Incarnation}); err != nil {
			return err
		}
	}
	return nil
}

func (c *Claimer) step(ctx context.Context) {
	table, seats := c.opts.State()
	if seats == 0 || c.shuttingDown.Load() {
		return
	}
	c.observe(table, seats)
	if c.now().Before(c.nextClaimAt) {
		return
	}
	claim, ok := c.nextClaim(table, seats)
	if !ok {
		return
	}
	c.nextClaimAt = c.now().Add(claimApplyTimeout)
	// The error is ignored: the table shows whether the claim was accepted, even if
	// the reply was lost.
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

// observe records since when VMs are gone, processes silent and seats free.
func (c *Claimer) observe(table Table, seats int) {
	now := c.now()
	if now.Sub(c.lastObserved) > pauseThreshold {
		c.absences = newAbsenceTracker()
		clear(c.freeSince)
	}
	c.lastObserved = now
	c.absences.updateSilent(now, table, c.opts.Live())
	c.absences.updateGone(now, table, c.opts.Listed)
	for seat := range seats {
		if _, held := table.Holder(seat); held {
			delete(c.freeSince, seat)
			continue
		}
		if _, known := c.freeSince[seat]; !known {
			c.freeSince[seat] = now
		}
	}
}

// nextClaim returns the claim to append now, if any.
func (c *Claimer) nextClaim(table Table, seats int) (Claim, bool) {
	claimable := c.claimableSeats(table, seats)
	held := len(declaredSeatsOf(table, c.opts.Incarnation, seats))
	if held == 0 {
		return c.claimRandom(claimable, table)
	}
	live := max(1, len(c.opts.Live()))
	seatless := c.countSeatless(table, seats)
	if seatless > 0 && len(claimable) == 0 && held > max(1, seats/live) {
		return c.releaseLast(table, seats), true
	}
	if len(claimable) > seatless && held < (seats+live-1)/live {
		return c.claimRandom(c.spareSeats(claimable), table)
	}
	return Claim{}, false
}

// declaredSeatsOf returns the seats of an incarnation whose numbers are within the
// number of seats that the tree declares.
func declaredSeatsOf(table Table, incarnation string, seats int) []int {
	held := table.HeldBy(incarnation)
	declared, _ := slices.BinarySearch(held, seats)
	return held[:declared]
}

// claimableSeats returns the seats that are free or whose holder has departed.
func (c *Claimer) claimableSeats(table Table, seats int) []int {
	var claimable []int
	for seat := range seats {
		h, held := table.Holder(seat)
		if !held || c.hasDeparted(h) {
			claimable = append(claimable, seat)
		}
	}
	return claimable
}

// hasDeparted reports whether a holder's process has been silent for takeoverDelay
// and cannot return: its VM has been gone for as long, or this process has replaced
// it on the same VM.
func (c *Claimer) hasDeparted(h Holder) bool {
	now := c.now()
	if h.Incarnation == c.opts.Incarnation || !c.absences.silentFor(h.Incarnation, now, takeoverDelay) {
		return false
	}
	return h.VM == c.opts.VM || c.absences.goneFor(h.VM, now, takeoverDelay)
}

// spareSeats returns the seats that have been free for spareSeatDelay.
func (c *Claimer) spareSeats(claimable []int) []int {
	var spare []int
	for _, seat := range claimable {
		if since, free := c.freeSince[seat]; free && c.now().Sub(since) >= spareSeatDelay {
			spare = append(spare, seat)
		}
	}
	return spare
}

// countSeatless returns the number of live entries without a seat.
func (c *Claimer) countSeatless(table Table, seats int) int {
	count := 0
	for _, incarnation := range c.opts.Live() {
		if len(declaredSeatsOf(table, incarnation, seats)) == 0 {
			count++
		}
	}
	return count
}

// claimRandom returns a claim of one of the seats. The choice is random, so that
// entries that start at the same time rarely claim the same seat.
func (c *Claimer) claimRandom(seats []int, table Table) (Claim, bool) {
	if len(seats) == 0 {
		return Claim{}, false
	}
	seat := seats[rand.IntN(len(seats))]
	h, _ := table.Holder(seat)
	return Claim{Seat: seat, Incarnation: c.opts.Incarnation, VM: c.opts.VM, Previous: h.Incarnation}, true
}

func (c *Claimer) releaseLast(table Table, seats int) Claim {
	held := declaredSeatsOf(table, c.opts.Incarnation, seats)
	return Claim{Seat: held[len(held)-1], Previous: c.opts.Incarnation}
}
