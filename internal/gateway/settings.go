// Package gateway runs an entry on a platform that provides a store for all persistent
// data. An Adapter implements the protocols of the platform's callers, backend
// servers and store, and package cluster keeps track of the other entries.
package gateway

import (
	"io"
	"net/netip"
	"time"
)

// Settings are the static settings of one entry.
type Settings struct {
	// VM is this VM's name, Zone its availability zone.
	VM, Zone string
	// CallerAddress, ReadyAddress and DirectoryAddress are the listen addresses for
	// callers' requests, for the platform's readiness checks and for the endpoint list.
	// An empty address is not served.
	CallerAddress, ReadyAddress, DirectoryAddress string
	// PeerAddress is the listen address for RPCs between entries, DatagramAddress that
	// for their heartbeats.
	PeerAddress     string
	DatagramAddress netip.AddrPort
	// MetricsAddress is the listen address of the metrics page. If it is empty, the page
	// is not served.
	MetricsAddress string
	// Bootstrap is set if the whole system starts for the first time.
	Bootstrap bool
	// Seeds are datagram addresses of other entries. Some of these may no longer run.
	Seeds []netip.AddrPort
	// MemoryBytes is the memory limit of the process, zero for none.
	MemoryBytes int64
	// Descriptors is how many descriptors the process may have open, zero if only the limit of the
	// operating system holds.
	Descriptors int
	// Cores is the number of processors that the process may use, zero for all.
	// CPUQuota is its CPU quota in cores.
	Cores    int
	CPUQuota float64
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// AddressTTL is how long callers may cache the endpoint list.
	AddressTTL time.Duration
	// Log receives the log lines. If it is nil, they go to standard output.
	Log io.Writer
	// Retry bounds the second attempts over all entries.
	Retry RetryBudget
	// StrictRevocation asks for proof, before a key is accepted, that the configuration was the
	// newest one within RevocationBound.
	StrictRevocation bool
	// RevocationBound is the time after a configuration without a key was acknowledged by the
	// store from which on the key must not be accepted. It is above zero if StrictRevocation is
	// set.
	RevocationBound time.Duration
	// ConfigBound is the time in which a new configuration must be in force.
	ConfigBound time.Duration
	// AllowanceWindow is the span of time for which the allowances of tenants hold; zero if they
	// are rates with a burst.
	AllowanceWindow time.Duration
}

// RetryBudget bounds the second attempts of a service over all entries.
type RetryBudget struct {
	// Ratio is the maximum ratio of second attempts to the service's calls.
	Ratio float64
	// Slack is the number of second attempts allowed in addition in any window.
	Slack float64
}

const (
	// retryMargin is the part of the budget that is used. The rest is a margin, because
	// entries count the requests that they send and servers those that arrive, in
	// windows that are not aligned.
	retryMargin = 0.75
	// minRetryBurst lets a single failure be retried. maxRetryBurst bounds the second
	// attempts that one entry may send in a burst.
	minRetryBurst, maxRetryBurst = 1.0, 2.0
)

// share returns the second attempts that each call of this entry adds to its budget.
func (b RetryBudget) share() float64 { return b.Ratio * retryMargin }

// burst returns this entry's share of the slack.
func (b RetryBudget) burst(entries int) float64 {
	return min(max(b.Slack*retryMargin/float64(max(entries, 1)), minRetryBurst), maxRetryBurst)
}

// minOutsideBytes is the least memory of the process that is left outside of the soft limit of the Go
// runtime: the program's own pages, and what is allocated while garbage is being collected.
const minOutsideBytes = 28 << 20

// softMemoryLimit returns the soft memory limit of the Go runtime in bytes, zero for none.
func (s *Settings) softMemoryLimit() int64 {
	soft := int64(memoryLimitShare * float64(s.MemoryBytes))
	return max(min(soft, s.MemoryBytes-minOutsideBytes), soft/2)
}
