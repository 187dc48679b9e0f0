// Package storesync keeps the configuration, the evacuated availability zones and the list of
// backend servers in sync with the store.
//
// All are in keyed streams of the store. Each call to the store is charged for, so few
// members read it: the first two in the cluster's order of readers. Every member
// reports the versions of its data in its heartbeats, and a member that receives a
// newer version pulls the changes from its sender. If no member has read the store
// for a while, the next ones in the order read it as fallback, each a little later
// than the one before.
//
// While the store is unavailable, registrations of servers expire that live. After an outage
// all members therefore hold removals for a while. An outage is known by failed reads of any
// member, which heartbeats announce, not by a time in which nobody read.
//
// Versions are positions in the streams. Whatever source data comes from, it is applied
// only if it is newer, so a member never goes back to an older version.
//
// The store may be restored from an earlier copy of itself. A position therefore carries the
// epoch of the store, and a read from a position of an earlier epoch is refused; all
// records are read then. Configurations are ordered by the operator's revision, so an older
// one in the copy is not applied. A server's record in the copy that contradicts a later one
// of the epoch before is deferred: what a member knows stays in force, is passed on to
// members that know only the copy, and holds until the server writes again or enough time
// has passed for the store to remove a server that is gone.
//
// A member that read all servers at once knows which there are, but no removals before
// that. It sends members with an earlier version all of its records instead of the changes.
//
// Records of evacuated zones are in the stream of the configuration, and are known before the
// configuration and the servers that a member begins to serve with. What a member knows of them
// is merged by position; see docs/design/evacuation.md.
//
// A version does not say which servers a list has: members that read a restored store at
// different times, or did not know the epoch before, may reach the same version in different
// ways. Heartbeats therefore carry a hash of the servers as well.
package storesync
