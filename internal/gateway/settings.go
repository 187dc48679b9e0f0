// Package gateway runs an entry on a platform that keeps everything that lasts in
// its own store: callers, backend servers and operators are reached through an
// Adapter, and the entries know each other by the mesh.
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
	// CallerAddress, ReadyAddress and DirectoryAddress are the addresses of the
	// callers' requests, of the platform's readiness checks and of the address
	// answer. One that is empty is not served.
	CallerAddress, ReadyAddress, DirectoryAddress string
	// PeerAddress is the address of the calls between entries, DatagramAddress that of
	// their beats.
	PeerAddress     string
	DatagramAddress netip.AddrPort
	// MetricsAddress is the address of the metrics page; empty serves none.
	MetricsAddress string
	// Bootstrap says that the whole system starts for the first time.
	Bootstrap bool
	// Seeds are datagram addresses of other entries, some of which may be gone.
	Seeds []netip.AddrPort
	// MemoryBytes is the most memory that the process may take.
	MemoryBytes int64
	// Cores is how many processors the process may use, CPUQuota its part of them
	// all in cores.
	Cores    int
	CPUQuota float64
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// AddressTTL is how long callers keep the address answer.
	AddressTTL time.Duration
	// Log receives the log lines; nil stands for standard output.
	Log io.Writer
	// Retry is the budget of second attempts over all entries.
	Retry RetryBudget
}

// RetryBudget bounds the second attempts of a service over all entries.
type RetryBudget struct {
	// Ratio is the part of the service's calls.
	Ratio float64
	// Slack is what may come on top in any window.
	Slack float64
}

const (
	// retryMargin is the part of the budget that is spent: the entries count what
	// they send, the servers what arrives, in windows that are not the same.
	retryMargin = 0.75
	// leastBurst lets a single failure be retried, mostBurst bounds the second
	// attempts at once of one entry.
	leastBurst, mostBurst = 1.0, 2.0
)

// share is the part of a call that each call of this entry earns.
func (b RetryBudget) share() float64 { return b.Ratio * retryMargin }

// burst is this entry's part of the slack.
func (b RetryBudget) burst(entries int) float64 {
	return min(max(b.Slack*retryMargin/float64(max(entries, 1)), leastBurst), mostBurst)
}
