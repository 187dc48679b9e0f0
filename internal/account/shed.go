package account

import (
	"cmp"
	"slices"
	"time"
)

const (
	// stalledHeadTime is the age of a head from which its caller is taken to have stopped.
	// youngHeadTime is the age from which it may be shed if there is nothing else to shed.
	stalledHeadTime = 500 * time.Millisecond
	youngHeadTime   = 50 * time.Millisecond
	// stalledWriteTime is the time from which a caller is taken not to read its response.
	// blockedWriteTime is that from which its connection may be shed for memory.
	stalledWriteTime = time.Second
	blockedWriteTime = 50 * time.Millisecond
	// headBatchShare is one over the part of a side's connections that are shed at once if their
	// heads have stopped.
	headBatchShare = 32
	// freeShare is one over the part of the memory that is free after shedding.
	freeShare = 16
)

// stage is what a connection is found to do. Lower stages are shed first for connections.
type stage int

const (
	stoppedHead stage = iota
	stalled           // a body that does not come, or a response that is not read
	idle
	youngHead
	active // a body that comes, or a response that is being read
	kept   // never shed
)

// stageOf returns what the connection does and since when.
func (c *Conn) stageOf(now time.Duration) (stage, time.Duration) {
	since := time.Duration(c.stateSince.Load())
	if began := time.Duration(c.writeSince.Load()); began != 0 && now-began >= blockedWriteTime {
		if now-began >= stalledWriteTime {
			return stalled, began
		}
		return active, began
	}
	switch state(c.state.Load()) {
	case stateHead:
		if now-since >= stalledHeadTime {
			return stoppedHead, since
		}
		return youngHead, since
	case stateBody:
		// If no read is in progress, the server waits for anything else than the caller.
		began := time.Duration(c.readSince.Load())
		if began != 0 && (now-began >= progressInterval || c.progress.slow(now)) {
			return stalled, since
		}
		return active, since
	case stateIdle:
		return idle, since
	default:
		return kept, since
	}
}

// victim is a connection that may be shed.
type victim struct {
	conn  *Conn
	stage stage
	since time.Duration
	size  int64
	body  Body
}

// makeRoom sheds connections of a side that is full and reports whether it did. The caller must
// not hold the account's lock.
func (a *Account) makeRoom(s *side, why reason) bool {
	now := clock()
	a.mu.Lock()
	var found []victim
	for c := range s.conns {
		v := victim{conn: c}
		v.stage, v.since = c.stageOf(now)
		if v.stage <= idle || v.stage == youngHead && now-v.since >= youngHeadTime {
			found = append(found, v)
		}
	}
	a.mu.Unlock()
	slices.SortFunc(found, func(x, y victim) int {
		return cmp.Or(cmp.Compare(x.stage, y.stage), cmp.Compare(x.since, y.since))
	})
	shed := 0
	for _, v := range found {
		if shed > 0 && (v.stage != stoppedHead || shed >= s.max/headBatchShare) {
			break
		}
		body, ok := v.conn.mark()
		if !ok {
			// It ends already.
			continue
		}
		shed++
		a.report(s, why)
		if body != nil {
			body.Evict()
		}
		v.conn.closeNow()
	}
	return shed > 0
}

// shedMemory sheds the largest holders until a part of the memory is free.
func (a *Account) shedMemory() {
	a.mu.Lock()
	if a.staying() <= a.limits.MemoryBytes {
		a.mu.Unlock()
		return
	}
	now := clock()
	var found []victim
	for _, s := range a.sides {
		for c := range s.conns {
			v := victim{conn: c}
			if v.stage, v.since = c.stageOf(now); v.stage < kept {
				v.size, _ = c.holding()
				found = append(found, v)
			}
		}
	}
	slices.SortFunc(found, func(x, y victim) int {
		return cmp.Or(cmp.Compare(x.memoryOrder(), y.memoryOrder()), cmp.Compare(y.size, x.size), cmp.Compare(x.since, y.since))
	})
	// They are marked while the lock is held, so that what they hold is not shed twice.
	var shed []victim
	for _, v := range found {
		if a.staying() <= a.limits.MemoryBytes-a.limits.MemoryBytes/freeShare {
			break
		}
		if body, ok := v.conn.mark(); ok {
			v.body = body
			shed = append(shed, v)
		}
	}
	a.mu.Unlock()
	for _, v := range shed {
		a.report(v.conn.side, reasonMemory)
		v.end()
	}
}

// staying returns the bytes that connections hold which were not shed.
func (a *Account) staying() int64 { return a.held.Load() - a.leaving.Load() }

// memoryOrder is lower for connections that are shed first for memory.
func (v victim) memoryOrder() int {
	switch v.stage {
	case stoppedHead, stalled:
		return 0
	case idle:
		return 2
	default:
		return 1
	}
}

// end closes a marked connection, or ends the reading of its body, so that its request is refused.
func (v victim) end() {
	if v.body == nil {
		v.conn.closeNow()
		return
	}
	v.body.Evict()
	v.conn.interrupt()
}

// ShedBody sheds the largest of the eligible bodies that do not come, and reports whether there was one.
func (a *Account) ShedBody(eligible func(Body) bool) bool {
	now := clock()
	var largest victim
	a.mu.Lock()
	for _, s := range a.sides {
		for c := range s.conns {
			// Few connections have a body.
			if state(c.state.Load()) != stateBody {
				continue
			}
			_, body := c.holding()
			if body == nil || !eligible(body) {
				continue
			}
			if at, _ := c.stageOf(now); at != stalled {
				continue
			}
			if size := body.Size(); size > largest.size {
				largest = victim{conn: c, size: size}
			}
		}
	}
	a.mu.Unlock()
	if largest.conn == nil {
		return false
	}
	body, ok := largest.conn.mark()
	if ok {
		largest.body = body
		a.report(largest.conn.side, reasonBodies)
		largest.end()
	}
	return true
}
