//go:build !race

package storesync

const raceEnabled = false
