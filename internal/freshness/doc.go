// Package freshness tracks how recently what an entry knows was proven to be the newest.
//
// Evidence says that at some moment nothing newer than a version existed. The moment is that at
// which a read of the source was sent, or a query to another entry, less the age that the other
// entry answers with: what arrives later says nothing about the time in between. A one-way message
// is no evidence, as it may have been on its way for any time.
//
// Tracker keeps the evidence and its age, Planner decides when to ask which member for younger
// evidence. Both are pure: the clock and the random numbers are the caller's, and nothing here
// sends anything. The clock must not stand still while the VM is suspended.
package freshness
