// Package fleet holds the facts about VMs that several parts share: names,
// addresses, availability zones and states.
package fleet

// State is the state of a VM in the platform's VM list.
type State string

const (
	// Live marks a VM that takes new work.
	Live State = "live"
	// Leaving marks a VM that finishes its work and takes no new work.
	Leaving State = "leaving"
)

// EntryService is the service name under which entry VMs stand in the VM list.
const EntryService = "chestnutrouter"

// VM is one row of the platform's VM list.
type VM struct {
	// Name is unique among all VMs that ever lived.
	Name string `json:"name"`
	// Address is the IP number and port on which the VM serves its callers.
	Address string `json:"address"`
	// PeerAddress is the IP number and port of net/rpc; only entries have one.
	PeerAddress string `json:"peer_address,omitempty"`
	// StatusAddress is the IP number and port of the status page; only entries have one.
	StatusAddress string `json:"status_address,omitempty"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Service is "member/service", or EntryService for entries.
	Service string `json:"service"`
	// State is Live or Leaving.
	State State `json:"state"`
	// Incarnation sets the starts of a VM under one name apart; zero where the
	// platform does not tell it.
	Incarnation int64 `json:"incarnation,omitempty"`
	// Slots is how many requests the VM runs at a time; zero where only the
	// service tells it.
	Slots int `json:"slots,omitempty"`
	// WarmUntil is when a VM that has just started is as quick as the others, in
	// Unix milliseconds; zero where it is already.
	WarmUntil int64 `json:"warm_until,omitempty"`
}
