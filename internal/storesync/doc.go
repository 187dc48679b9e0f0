// Package storesync keeps the newest configuration and list of backend servers.
//
// They lie in two keyed streams of the store. A call to the store has a price, so
// few members read it: the first two readers of the mesh. Every member tells the
// version of what it has with its beats, and one that hears of a newer version
// asks that member for what has changed. When no member has read the store for a
// while, the next ones in order stand in, each a little later than the one before.
//
// Versions are offsets of the streams, so whatever way a state comes it is put in
// force only if it is newer: a member never goes back.
package storesync
