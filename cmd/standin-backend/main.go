// Command standin-backend simulates any number of backend servers for tests.
package main

import (
	"context"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/standin"
)

func main() {
	var settings standin.BackendSettings
	daemon.Main("standin-backend", "Simulates backend servers for tests.", &settings, func(ctx context.Context) error {
		backends := map[string]*standin.Backend{}
		for _, server := range settings.Servers {
			backends[server.Name] = standin.NewBackend(server.Name)
			if err := daemon.ServeHTTP(ctx, server.Listen, backends[server.Name]); err != nil {
				return err
			}
		}
		if err := daemon.ServeHTTP(ctx, settings.Admin, standin.BackendAdmin(backends)); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
}
