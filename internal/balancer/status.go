package balancer

import (
	"math"
	"time"
)

// ServerState is whether an entry sends new requests to a backend server, and if not, why.
type ServerState string

// States of a backend server, as an entry sees it.
const (
	// StateReady takes requests.
	StateReady ServerState = "ready"
	// StateSlow takes requests that can meet their target there: it reports that it is
	// slowed to less than half of its speed.
	StateSlow ServerState = "slow"
	// StateFull has no free slot.
	StateFull ServerState = "full"
	// StateLimited names a request limit, and this entry's share of it is used up.
	StateLimited ServerState = "limited"
	// StateCold is warming up and takes no more than its limit for that.
	StateCold ServerState = "cold"
	// StatePaused asked this entry to send nothing for a while.
	StatePaused ServerState = "paused"
	// StateDraining accepts no new requests, by its own report or a failed health check.
	StateDraining ServerState = "draining"
	// StateEjected failed too many requests.
	StateEjected ServerState = "ejected"
	// StateEvacuated is in an availability zone that the operator evacuates.
	StateEvacuated ServerState = "evacuated"
	// StateProbation gets one request at a time after an ejection.
	StateProbation ServerState = "probation"
)

// slowSpeed is the speed below which a server counts as slow in its status.
const slowSpeed = 0.5

// ServerStatus is how one entry sees and uses a backend server.
type ServerStatus struct {
	// Server is the server's name, Address where it listens and Zone its availability
	// zone.
	Server  string `json:"server"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// State is whether the entry sends it new requests.
	State ServerState `json:"state"`
	// Preferred is set if the entry tries this server before others.
	Preferred bool `json:"preferred,omitempty"`
	// Sent is the number of requests that the entry has sent to it, InFlight how many of
	// them are in progress.
	Sent     uint64 `json:"sent"`
	InFlight int    `json:"in_flight"`
	// OtherRequests estimates the requests of other entries in progress there.
	OtherRequests float64 `json:"other_requests"`
	// SlowdownPercent is the reported service time in percent of the nominal one, zero if
	// it is not known. ReportAgeMs is the age of the last load report in milliseconds, -1
	// if there is none.
	SlowdownPercent int   `json:"slowdown_percent,omitempty"`
	ReportAgeMs     int64 `json:"report_age_ms"`
	// RequestLimit is the number of requests a second that the server takes from all
	// entries together, absent if it names no limit. LimitAgeMs is the age of the last
	// response that named it, in milliseconds.
	RequestLimit *float64 `json:"request_limit,omitempty"`
	LimitAgeMs   int64    `json:"limit_age_ms,omitempty"`
	// WarmUpLeftMs is how long the server still is cold, in milliseconds, zero if it is not.
	WarmUpLeftMs int64 `json:"warm_up_left_ms,omitempty"`
}

// Status returns the status of each server.
func (b *Balancer) Status(now time.Time) []ServerStatus {
	s := b.snapshot.Load()
	p := b.pickParams(s, now, math.Inf(1))
	preferred := make(map[*backend]bool, len(s.preferred))
	for _, be := range s.preferred[:min(p.preferred, len(s.preferred))] {
		preferred[be] = true
	}
	statuses := make([]ServerStatus, 0, len(s.byName))
	for _, be := range s.backends {
		status := be.status(&p)
		status.Preferred = preferred[be]
		statuses = append(statuses, status)
	}
	for _, be := range s.evacuated {
		status := be.status(&p)
		status.State = StateEvacuated
		statuses = append(statuses, status)
	}
	return statuses
}

func (be *backend) status(p *pickParams) ServerStatus {
	status := ServerStatus{
		Server: be.vm.Name, Address: be.vm.Address, Zone: be.vm.Zone,
		State: be.state(p), Sent: be.sent.Load(), InFlight: be.inFlight(),
		OtherRequests: math.Round(10*be.report.peerRequestsAt(p)) / 10,
		ReportAgeMs:   -1,
	}
	if at := be.report.receivedAt.Load(); at != 0 {
		status.ReportAgeMs = max(p.now-at, 0) / int64(time.Millisecond)
	}
	if speed := be.speed.current.value(); speed > 0 {
		status.SlowdownPercent = int(math.Round(100 / speed))
	}
	if limit := be.requestLimit.named.Load(); limit != nil && !limit.hasEnded() {
		status.RequestLimit = &limit.perSecond
		status.LimitAgeMs = max(p.now-limit.observedAt, 0) / int64(time.Millisecond)
	}
	status.WarmUpLeftMs = be.requestLimit.warmUp.left(p.now).Milliseconds()
	return status
}

func (be *backend) state(p *pickParams) ServerState {
	reservationMask := be.reserved.Load()
	switch {
	case be.report.draining.Load() || be.notices.leavingSince.Load() != 0:
		return StateDraining
	case be.notices.blocks(p.now):
		return StatePaused
	case be.health.ejectedUntil.Load() > p.now:
		return StateEjected
	case be.health.halfOpen.Load():
		return StateProbation
	case be.requestLimit.warmUp.left(p.now) > 0:
		return StateCold
	case be.requestLimit.blocks(p):
		return StateLimited
	case be.slotsTaken(reservationMask, p):
		return StateFull
	case be.speed.known() && be.speed.expected(p.now-be.report.receivedAt.Load()) < slowSpeed:
		return StateSlow
	default:
		return StateReady
	}
}
