//go:build race

package membership

// maxFleet bounds the entries of a test under the race detector, whose runtime
// occasionally fails with the number of goroutines of a larger fleet.
const maxFleet = 19
