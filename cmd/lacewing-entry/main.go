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
	gcPercent   = 400       // percent of heap growth; collects less often than the default of 100, because most objects are short-lived
	memoryLimit = 512 << 20 // bytes; soft limit, above which the collector runs as often as needed
)

func main() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	var settings entry.Settings
	daemon.Main(name, "Runs the data plane of one VM.", &settings, func(ctx context.Context) error {
		return entry.New(settings, daemon.NewLogger(name, settings.VM)).Run(ctx)
	})
}
