// Package cluster implements cluster membership of the entries by UDP heartbeats.
//
// Each member sends a small heartbeat to all others at a short interval. The
// heartbeat shows that the member is alive, carries the versions of its
// configuration and of its list of backend servers, and reports what the member
// observed about backend servers since its last heartbeat. Members exchange the
// records of other members by hellos (see hello.go), so one known address is enough to
// join. A member is silent when no heartbeat of it has arrived within the liveness
// timeout.
//
// Nothing is elected: work is assigned by rendezvous hashing over the members that
// each member sees live. While views differ, two members may do the same work,
// which does no harm.
//
// Node.View returns an immutable value from an atomic pointer. Node.mu guards the
// member table; no other lock is acquired while it is held.
package cluster
