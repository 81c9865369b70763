// Command standin-platform simulates the platform's store and list of VMs for tests.
package main

import (
	"context"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/standin"
)

func main() {
	var settings standin.PlatformSettings
	daemon.Main("standin-platform", "Simulates the platform's store and list of VMs for tests.", &settings, func(ctx context.Context) error {
		if err := daemon.ServeHTTP(ctx, settings.Listen, standin.NewPlatform(settings.VMs).Handler()); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
}
