package daemon

import (
	"runtime/debug"

	"chestnutrouter.example/chestnutrouter/internal/settings"
)

// GCPercent lets the heap grow to five times the live memory before a
// collection. An entry's live memory is small and each call leaves much garbage.
const GCPercent = 400

// setMemory trades memory for processor time, up to the limit of the settings.
// Beyond it the collector runs more often; it is no hard limit.
func setMemory(s *settings.Settings) {
	debug.SetGCPercent(GCPercent)
	debug.SetMemoryLimit(s.MemoryLimit())
}
