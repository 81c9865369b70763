// Command lacewing-entry runs the data plane of one VM.
package main

import (
	"context"
	"runtime/debug"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/entry"
)

const name = "lacewing-entry"

const (
	gcPercent   = 400       // collects less often: most of the heap is short-lived
	memoryLimit = 512 << 20 // bytes; collects as often as needed beyond
)

func main() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	var settings entry.Settings
	daemon.Main(name, "Runs the data plane of one VM.", &settings, func(ctx context.Context) error {
		return entry.New(settings, daemon.NewLogger(name, settings.VM)).Run(ctx)
	})
}
