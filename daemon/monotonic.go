package daemon

import (
	"time"

	"golang.org/x/sys/unix"
)

// Monotonic returns the time since an arbitrary moment of the VM's past. It never
// goes back, no operator or time server sets it, and it counts the time that the
// VM was suspended. It must be compared only with other results of the same process.
func Monotonic() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // every supported kernel has this clock
	}
	return time.Unix(now.Unix())
}
