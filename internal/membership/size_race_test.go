//go:build race

package membership

// largestFleet is the most entries that a test runs under the race detector,
// whose own runtime fails now and then on the goroutines of a larger fleet.
const largestFleet = 19
