// Package fleet defines the VM data that several packages share: names, addresses,
// availability zones and states.
package fleet

// State is the state of a VM in the platform's VM list.
type State string

const (
	// Live marks a VM that takes new work.
	Live State = "live"
	// Leaving marks a VM that finishes its work and takes no new work.
	Leaving State = "leaving"
	// Evacuated marks a live VM whose availability zone is evacuated: it gets only liveness
	// checks until the zone is taken back.
	Evacuated State = "evacuated"
)

// EntryService is the service name of entry VMs in the VM list.
const EntryService = "chestnutrouter"

// VM is one record of the platform's VM list.
type VM struct {
	// Name is unique among all VMs that ever lived.
	Name string `json:"name"`
	// Address is the IP address and port on which the VM serves its callers.
	Address string `json:"address"`
	// PeerAddress is the IP address and port of net/rpc; only entries have one.
	PeerAddress string `json:"peer_address,omitempty"`
	// StatusAddress is the IP address and port of the status page; only entries have one.
	StatusAddress string `json:"status_address,omitempty"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Service is "member/service", or EntryService for entries.
	Service string `json:"service"`
	// State is Live or Leaving.
	State State `json:"state"`
	// Incarnation distinguishes successive starts of a VM under one name; zero if
	// the platform does not report it.
	Incarnation int64 `json:"incarnation,omitempty"`
	// Sequence grows with each record that the process writes about itself; zero if the
	// platform does not report it.
	Sequence int64 `json:"-"`
	// Slots is how many requests the VM runs concurrently; zero if only the
	// service's configuration defines it.
	Slots int `json:"slots,omitempty"`
	// StartedAt is when the process started by the VM's own clock, in Unix milliseconds; zero
	// if the platform does not report it.
	StartedAt int64 `json:"-"`
	// WarmUntil is when a VM that has just started reaches full speed, in Unix
	// milliseconds; zero if it already has.
	WarmUntil int64 `json:"warm_until,omitempty"`
}
