package admission

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// limitedPicker is a Picker that knows the request limits of servers.
type limitedPicker interface {
	LimitWait(now time.Time, exclude []string, ahead int) (balancer.LimitWait, bool)
}

var _ limitedPicker = (*balancer.Balancer)(nil)

// maxLimitRetryAfter bounds the Retry-After of a request that the servers' limits leave no
// room for: by then the servers may need their limits no longer.
const maxLimitRetryAfter = 2 * time.Second

// checkServerLimits refuses an item if no server wants it within its target: each names a request
// limit of which this entry's share is used up, asked for a pause or is leaving. Waiting would
// not help, but another entry may have a share left.
func (s *Scheduler) checkServerLimits(rq *rankQueue, item *Item, now time.Time) *outcome.Refusal {
	servers, ok := s.servers.(limitedPicker)
	if !ok {
		return nil
	}
	limit, ok := servers.LimitWait(now, item.Exclude, s.Waiting())
	if !ok {
		return nil
	}
	serviceTime := rq.nominalServiceTime(&item.Request, now)
	slack := deadlineLeft(item, now) - serviceTime
	if untilTarget := time.Duration((1-targetMargin)*float64(rq.targetOf(&item.Request))) - serviceTime; untilTarget > 0 {
		slack = min(slack, untilTarget)
	}
	if limit.Wait <= slack {
		return nil
	}
	retryAfter := min(limit.Wait-max(slack, 0), limit.Interval, maxLimitRetryAfter)
	return refuseBusy(outcome.ReasonServerLimit, "each backend server limits its requests, asked for a pause or is leaving", retryAfter)
}
