// Package storesync keeps the configuration and the list of backend servers in sync
// with the store.
//
// Both are in keyed streams of the store. Each call to the store is charged for, so few
// members read it: the first two in the cluster's order of readers. Every member
// reports the versions of its data in its heartbeats, and a member that receives a
// newer version pulls the changes from its sender. If no member has read the store
// for a while, the next ones in the order read it as fallback, each a little later
// than the one before.
//
// Versions are offsets of the streams. Whatever source data comes from, it is applied
// only if it is newer, so a member never goes back to an older version.
package storesync
