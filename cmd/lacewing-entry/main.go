// Command lacewing-entry runs the data plane of one VM.
package main

import (
	"context"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/entry"
)

const name = "lacewing-entry"

func main() {
	var settings entry.Settings
	daemon.Main(name, "Runs the data plane of one VM.", &settings, func(ctx context.Context) error {
		return entry.New(settings, daemon.NewLogger(name, settings.VM)).Run(ctx)
	})
}
