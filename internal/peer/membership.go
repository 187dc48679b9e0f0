package peer

import "chestnutrouter.example/chestnutrouter/internal/fleet"

// Methods of the receiver "Membership".
const (
	// ReceiverMembership is the name to register the receiver under.
	ReceiverMembership = "Membership"
	// MethodHeartbeat takes and gives a Heartbeat.
	MethodHeartbeat = ReceiverMembership + ".Heartbeat"
	// MethodDescribe takes DescribeArgs and gives DescribeReply.
	MethodDescribe = ReceiverMembership + ".Describe"
	// MethodVMs takes VMsArgs and gives VMsReply.
	MethodVMs = ReceiverMembership + ".VMs"
)

// EntryState is the state that an entry publishes about itself; others forward it
// unchanged.
type EntryState struct {
	// Incarnation is the random id of the process.
	Incarnation string
	// Version grows with each change of the entry state.
	Version uint64
	// Generation orders the processes of one VM: the highest is the newest.
	Generation uint64
	// Epoch is the epoch of the process's tickets.
	Epoch uint32
	// Offset is the applied offset of the config stream, -1 before the first.
	Offset int64
	// State is the fingerprint of the configuration state at that offset.
	State uint64
	// Snapshot is the offset of the newest known snapshot in its stream, -1 for none.
	Snapshot int64
	// Draining is set when the process accepts no new callers.
	Draining bool
}

// DrainNotice reports that a backend server takes no new work, or takes it again.
type DrainNotice struct {
	// Server is the name of the server's VM.
	Server string
	// Sequence orders the notices of one server: the highest one is valid.
	Sequence uint32
	// Draining is true if the server takes no new work.
	Draining bool
	// Listed is true if the VM list shows the drain; load reports do not undo that.
	Listed bool
}

// Heartbeat is sent to a few peers each second; the reply is a Heartbeat too.
type Heartbeat struct {
	// Address is the sender's peer address.
	Address string
	// Row is the sender's own entry state.
	Row EntryState
	// Signs are the newest liveness counters of the sender and of others.
	Signs LivenessList
	// Rows are the entry states of others that changed, and a few of the unchanged
	// ones in rotation.
	Rows []EntryState
	// Notices are the drain notices that changed, and a few of the unchanged ones in
	// rotation.
	Notices []DrainNotice
}

// DescribeArgs asks for processes of which only the liveness counter is known.
type DescribeArgs struct {
	// IDs are the requested processes; empty requests all of them and all drain
	// notices.
	IDs []uint64
}

// Member is a process with everything that is known about it.
type Member struct {
	// Sign is the newest liveness counter.
	Sign Liveness
	// Row is the newest known entry state.
	Row EntryState
	// VM is the VM on which the process runs.
	VM fleet.VM
}

// DescribeReply is the reply to DescribeArgs.
type DescribeReply struct {
	// Members are the requested processes, as far as they are known.
	Members []Member
	// Notices are all drain notices; empty unless all processes were requested.
	Notices []DrainNotice
}

// VMsArgs asks for a VM list that is newer than the sender's.
type VMsArgs struct {
	// Hash is the hash of the sender's list; zero for none.
	Hash uint64
	// AgeMs is the age of the sender's list in milliseconds.
	AgeMs int64
}

// VMsReply is the reply to VMsArgs.
type VMsReply struct {
	// Newer is set if the receiver's list is the newer one.
	Newer bool
	// AgeMs is the age of the receiver's list in milliseconds.
	AgeMs int64
	// VMs is the receiver's list; empty if its hash equals the one in VMsArgs.
	VMs []fleet.VM
	// Hash is the hash of the receiver's list.
	Hash uint64
}
