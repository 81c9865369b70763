// Command lacewing-entry runs the data plane of one VM.
package main

import (
	"context"
	"runtime/debug"
	"syscall"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/entry"
)

const name = "lacewing-entry"

const (
	gcPercent = 400 // percent of heap growth; collects less often than the default of 100, because most objects are short-lived
	// defaultMemoryMB is the memory of the process if the settings do not set it.
	defaultMemoryMB = 512
)

func main() {
	debug.SetGCPercent(gcPercent)
	var settings entry.Settings
	daemon.Main(name, "Runs the data plane of one VM.", &settings, func(ctx context.Context) error {
		if settings.MemoryMB == 0 {
			settings.MemoryMB = defaultMemoryMB
		}
		if settings.MaxFDs == 0 {
			settings.MaxFDs = descriptorLimit()
		}
		debug.SetMemoryLimit(int64(settings.MemoryMB * daemon.HeapShare * (1 << 20))) // above it the collector runs as often as needed
		return entry.New(settings, daemon.NewLogger(name, settings.VM)).Run(ctx)
	})
}

// descriptorLimit returns how many descriptors the process may open; 0 if it cannot be read.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, maxDescriptors))
}

// maxDescriptors bounds what is read where the process has no limit.
const maxDescriptors = 1 << 20
