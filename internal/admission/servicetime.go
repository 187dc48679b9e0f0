package admission

import (
	"math"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
)

const (
	// initialServiceTimeShare is the nominal service time before the first
	// sample, as a part of the target.
	initialServiceTimeShare = 0.35
	// serviceTimeWeight is the least weight of the newest sample in the nominal
	// service time. The first samples have equal weights.
	serviceTimeWeight = 0.05
	// maxServiceTimeFactor bounds one sample, as a factor of the nominal
	// service time or its initial value, whichever is longer.
	maxServiceTimeFactor = 2
	// fullSpeedStretch is the stretch up to which a response is a sample of the
	// nominal service time.
	fullSpeedStretch = 1.05
	// doubtHalfLife is the time in which an estimate that turned a request away
	// loses half of what it exceeds the initial value by, if no sample confirms it.
	doubtHalfLife = 500 * time.Millisecond
	// maxServiceClasses bounds the classes of a rank that have an estimate of
	// their own.
	maxServiceClasses = 16
)

// serviceClass groups the requests of a rank whose service times are estimated
// together. Routes of one rank may differ in what they ask of the servers, and
// their targets tell them apart.
type serviceClass struct {
	target time.Duration
	upload bool
}

// serviceTime is the estimate of a class's nominal service time.
type serviceTime struct {
	mean    time.Duration
	samples int
	// doubtSince is when the estimate first turned a request away since the last
	// sample, zero if it has not. No sample can come while all are turned away,
	// so such an estimate must not last.
	doubtSince time.Time
}

// at returns the estimate at that time for requests with the target.
func (s *serviceTime) at(now time.Time, target time.Duration) time.Duration {
	initial := time.Duration(initialServiceTimeShare * float64(target))
	if s.samples == 0 {
		return initial
	}
	if s.doubtSince.IsZero() || s.mean <= initial {
		return s.mean
	}
	halfLives := float64(now.Sub(s.doubtSince)) / float64(doubtHalfLife)
	return initial + time.Duration(float64(s.mean-initial)*math.Exp2(-max(halfLives, 0)))
}

// update adds a sample. A mean in doubt is replaced by its current value first.
func (s *serviceTime) update(now time.Time, target, latency time.Duration) {
	s.mean = s.at(now, target)
	s.doubtSince = time.Time{}
	initial := time.Duration(initialServiceTimeShare * float64(target))
	sample := min(latency, maxServiceTimeFactor*max(s.mean, initial))
	s.samples++
	weight := max(1/float64(s.samples), serviceTimeWeight)
	s.mean += time.Duration(weight * float64(sample-s.mean))
}

// doubt records that the estimate turned a request away.
func (s *serviceTime) doubt(now time.Time) {
	if s.doubtSince.IsZero() {
		s.doubtSince = now
	}
}

// targetOf returns the target of the request's route, or the rank's if it has none.
func (rq *rankQueue) targetOf(r *Request) time.Duration {
	if r.Target > 0 {
		return r.Target
	}
	return rq.rank.Target
}

// estimate returns the estimate of the class. Beyond maxServiceClasses, classes
// share one.
func (rq *rankQueue) estimate(class serviceClass) *serviceTime {
	e := rq.serviceTimes[class]
	if e != nil {
		return e
	}
	if rq.serviceTimes == nil {
		rq.serviceTimes = map[serviceClass]*serviceTime{}
	}
	if len(rq.serviceTimes) >= maxServiceClasses {
		class = serviceClass{}
		if e := rq.serviceTimes[class]; e != nil {
			return e
		}
	}
	e = &serviceTime{}
	rq.serviceTimes[class] = e
	return e
}

func (rq *rankQueue) estimateOf(r *Request) *serviceTime {
	return rq.estimate(serviceClass{target: rq.targetOf(r), upload: r.Upload})
}

// nominalServiceTime returns the nominal service time of the request's class.
func (rq *rankQueue) nominalServiceTime(r *Request, now time.Time) time.Duration {
	return rq.estimateOf(r).at(now, rq.targetOf(r))
}

// ServiceTime returns the nominal service time of the request's class, zero before its first
// sample.
func (q *Queue) ServiceTime(r Request) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	rq := q.scheduler.queue(r.Rank)
	if rq == nil || rq.estimateOf(&r).samples == 0 {
		return 0
	}
	return rq.nominalServiceTime(&r, time.Now())
}

// updateServiceTime updates the nominal service time by the latency of a
// request that began at a server at full speed.
func (rq *rankQueue) updateServiceTime(r *Request, result balancer.Result, now time.Time) {
	if result.Kind != balancer.OK || result.Estimate.Stretch <= 0 || result.Estimate.Stretch > fullSpeedStretch {
		return
	}
	rq.estimateOf(r).update(now, rq.targetOf(r), result.Latency)
}
