// Package soak holds the fault soak: entries as separate processes on loopback,
// with stand-ins of the users' platform, random faults by a seed, and checks of
// the promises from what callers and backend servers see. It has tests only; see
// docs/PROOF.md for its commands.
package soak
