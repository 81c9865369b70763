package daemon

import (
	"time"

	"golang.org/x/sys/unix"
)

// Monotonic returns the current time of a monotonic clock, which counts from an
// arbitrary start. It never goes back, is not changed when the wall clock is set, and
// includes the time during which the VM was suspended. Compare it only with other
// results in the same process.
func Monotonic() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // every supported kernel has CLOCK_BOOTTIME
	}
	return time.Unix(now.Unix())
}
