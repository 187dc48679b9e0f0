//go:build !race

package loadsync

const raceEnabled = false
