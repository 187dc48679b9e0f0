package account

import (
	"golang.org/x/sys/unix"
)

const (
	// memoryShare is the part of the soft memory limit that the account may use with processBytes.
	// The rest is for garbage that is not collected yet.
	memoryShare = 0.9
	// processBytes is the memory of a process without connections.
	processBytes = 20 << 20
	// minMemoryShare is the least part of the soft memory limit for the account.
	minMemoryShare = 0.25

	// reservedDescriptors are not used by connections; of fewer than four times as many, a quarter.
	reservedDescriptors = 200
	// outgoingShare is one over the part of the descriptors that is left for outgoing connections.
	outgoingShare = 10
	// One over the part of the accepted connections that each side may have. The callers have what is left.
	peersShare, directoryShare, operatorsShare = 8, 16, 64
	// minSide is the least number of connections of a side other than the callers'.
	minSide = 8
)

// Limits are the limits of an account. Zero means no limit.
type Limits struct {
	// MemoryBytes bounds the memory that connections and requests hold together.
	MemoryBytes int64
	// Callers, Peers, Directory and Operators bound the connections of callers, of other entries, of
	// the endpoint list, and of each address for operators and readiness checks.
	Callers, Peers, Directory, Operators int
}

// LimitsFor returns the limits of a process with a soft memory limit in bytes and a number of
// descriptors; zero means no limit of either.
func LimitsFor(softMemory int64, descriptors int) Limits {
	var l Limits
	if softMemory > 0 {
		l.MemoryBytes = max(int64(memoryShare*float64(softMemory))-processBytes, int64(minMemoryShare*float64(softMemory)))
	}
	if descriptors > 0 {
		accepted := descriptors - min(reservedDescriptors, descriptors/4) - descriptors/outgoingShare
		l.Peers = max(accepted/peersShare, minSide)
		l.Directory = max(accepted/directoryShare, minSide)
		l.Operators = max(accepted/operatorsShare, minSide)
		l.Callers = max(accepted-l.Peers-l.Directory-2*l.Operators, minSide)
	}
	return l
}

// Descriptors returns how many descriptors the process may have open, zero if that is not limited.
func Descriptors() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	if limit.Cur > maxDescriptors {
		return 0, nil
	}
	return int(limit.Cur), nil
}

// maxDescriptors is the largest limit of descriptors that is taken for one.
const maxDescriptors = 1 << 20
