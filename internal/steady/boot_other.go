//go:build !linux

package steady

import "time"

// SinceBoot returns the time since the start of the process. Only Linux has a clock that
// includes the time for which the VM was suspended.
func SinceBoot() time.Duration { return time.Since(epoch) }
