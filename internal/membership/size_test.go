//go:build !race

package membership

// largestFleet is the most entries that a test runs.
const largestFleet = 60
