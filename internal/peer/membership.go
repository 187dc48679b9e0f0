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

// EntryState is what one entry tells about itself; others pass it on unchanged.
type EntryState struct {
	// Incarnation is the random id of the process.
	Incarnation string
	// Version grows with each change of the row.
	Version uint64
	// Generation orders the processes of one VM: the highest is the newest.
	Generation uint64
	// Epoch is the epoch of the process's tickets.
	Epoch uint32
	// Offset is the applied offset of the config stream, -1 before the first.
	Offset int64
	// State is the fingerprint of the state at that offset.
	State uint64
	// Snapshot is the place of the newest known snapshot in its stream, -1 for none.
	Snapshot int64
	// Draining is set when the process takes no new callers.
	Draining bool
}

// DrainNotice tells that a VM takes no new work, or does again.
type DrainNotice struct {
	// Server is the VM's name.
	Server string
	// Sequence orders the notices of one server: the highest holds.
	Sequence uint32
	// Draining is true where the server takes no new work.
	Draining bool
	// Listed is true where the VM list says so; load reports do not undo that.
	Listed bool
}

// Heartbeat is sent to a few peers each second; its answer is a Heartbeat too.
type Heartbeat struct {
	// Address is the sender's peer address.
	Address string
	// Row is the sender's own row.
	Row EntryState
	// Signs are the newest signs of life of the sender and of others.
	Signs LivenessList
	// Rows of other entries are those that changed and a few older ones in turn.
	Rows []EntryState
	// Notices are those that changed and a few older ones in turn.
	Notices []DrainNotice
}

// DescribeArgs asks for processes that are known by a sign only.
type DescribeArgs struct {
	// IDs are the asked processes; empty asks for all, and the notices.
	IDs []uint64
}

// Member is a process with all that is known of it.
type Member struct {
	// Sign is the newest sign of life.
	Sign Liveness
	// Row is the newest known row.
	Row EntryState
	// VM is where the process runs.
	VM fleet.VM
}

// DescribeReply answers DescribeArgs.
type DescribeReply struct {
	// Members are the asked processes, as far as they are known.
	Members []Member
	// Notices are all notices, where all processes were asked for.
	Notices []DrainNotice
}

// VMsArgs asks for a VM list that is newer than one's own.
type VMsArgs struct {
	// Hash is that of one's own list; zero for none.
	Hash uint64
	// AgeMs is the age of one's own list in milliseconds.
	AgeMs int64
}

// VMsReply answers VMsArgs.
type VMsReply struct {
	// Newer is set where the receiver's list is the newer one.
	Newer bool
	// AgeMs is the age of the receiver's list in milliseconds.
	AgeMs int64
	// VMs is the list; empty where it has the asked hash.
	VMs []fleet.VM
	// Hash is that of the list.
	Hash uint64
}
