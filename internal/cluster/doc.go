// Package cluster keeps the open set of entries that know each other by datagrams.
//
// Each member sends a small beat to all others at a short interval. It shows that
// the member lives, how new its configuration and its list of backend servers
// are, and carries what it learned of backend servers since its last beat. A
// member that hears one it does not know asks who that is, and tells it of all
// others, so one known address is enough to join. Nothing is elected: duties are
// dealt by rendezvous hashing over the members that each one sees, and a duty
// that two of them do for a while does no harm.
//
// Node.View is an immutable value behind an atomic pointer. Node.mu guards the
// table; no other lock is taken under it.
package cluster
