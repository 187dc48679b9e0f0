// Package soak is the soak test with fault injection. It runs entries as separate
// processes on loopback against fakes of the users' platform, injects random faults
// that a seed determines, and checks the guarantees from what callers and backend
// servers observe. It has tests only; see docs/PROOF.md for its commands.
package soak
