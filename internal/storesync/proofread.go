package storesync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// urgentReadShare is the time, in bounds, between two reads of a member that loses its proof
	// unless it reads the store soon, and idleReadShare the longest one after it has lost it.
	urgentReadShare = 0.04
	idleReadShare   = 0.2
	// maxOpenReads bounds such reads that wait for a response. The store's client waits 800 ms,
	// which are four reads of the standard bound.
	maxOpenReads = 4
)

// readWhileUnproven reads the configuration from the store while neither the readers nor other
// members keep the evidence young, until ctx is done.
func (s *Syncer) readWhileUnproven(ctx context.Context) {
	var failures atomic.Int64
	read := func() {
		s.count("proof_reads")
		if ok, _ := s.readConfig(ctx, 0); ok {
			failures.Store(0)
		} else {
			failures.Add(1)
		}
	}
	var group sync.WaitGroup
	defer group.Wait()
	open := make(chan struct{}, maxOpenReads)
	for ctx.Err() == nil {
		age := s.proofAge()
		due, urgent := s.ownReadDue(age)
		if !due {
			sleep(ctx, s.proof.poll())
			continue
		}
		if urgent && age <= s.proof.options.Bound {
			// A read that was lost with the path to the store must not hold up the next one.
			select {
			case open <- struct{}{}:
				group.Go(func() {
					defer func() { <-open }()
					read()
				})
			default:
			}
			sleep(ctx, s.proof.share(urgentReadShare))
			continue
		}
		read()
		pause := min(readInterval<<min(failures.Load(), maxDoublings), maxBackoff)
		if urgent {
			pause = min(pause, s.proof.share(idleReadShare))
		}
		sleep(ctx, pause/2+rand.N(pause/2))
	}
}

// ownReadDue reports whether this member must read the configuration besides the reads of the
// readers, as its evidence has that age, and whether its next read must not be delayed by failed
// ones: it is a reader, or no other member can be asked.
func (s *Syncer) ownReadDue(age time.Duration) (due, urgent bool) {
	if !s.proof.isNeeded() || !s.proof.readDue(age, 0, 1) {
		return false, false // without the pass over all members that finds the position
	}
	position, live := s.readerPosition(), len(s.options.View().Live)
	return s.proof.readDue(age, position, live), position < activeReaders || s.proof.isCutOff()
}
