// Command standin-platform stands in for the platform in tests.
package main

import (
	"context"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/standin"
)

func main() {
	var settings standin.PlatformSettings
	daemon.Main("standin-platform", "Stands in for the platform's store and list of VMs.", &settings, func(ctx context.Context) error {
		if err := daemon.ServeHTTP(ctx, settings.Listen, standin.NewPlatform(settings.VMs).Handler()); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
}
