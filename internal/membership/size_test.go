//go:build !race

package membership

// maxFleet bounds the entries of a test.
const maxFleet = 60
