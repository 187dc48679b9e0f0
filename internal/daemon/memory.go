package daemon

import (
	"runtime/debug"

	"chestnutrouter.example/chestnutrouter/internal/settings"
)

// GCPercent lets the heap grow to five times the live heap before a garbage
// collection. An entry's live heap is small and each call leaves much garbage.
const GCPercent = 400

// programBytes is the memory of the program's own pages, which are not in the Go runtime's limit.
const programBytes = 16 << 20

// softMemoryLimit returns the soft memory limit of the Go runtime in bytes.
func softMemoryLimit(s *settings.Settings) int64 { return s.MemoryLimit() - programBytes }

// configureGC trades memory for CPU time, up to the limit of the settings. Near the
// limit the garbage collector runs more often; it is a soft limit.
func configureGC(s *settings.Settings) {
	debug.SetGCPercent(GCPercent)
	debug.SetMemoryLimit(softMemoryLimit(s))
}
