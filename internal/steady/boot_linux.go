package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM's boot, including the time for which it was suspended.
// The monotonic clock, which time.Time uses, does not advance then.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that Go supports has the clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
