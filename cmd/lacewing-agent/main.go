// Command lacewing-agent runs the control plane of one VM.
package main

import (
	"context"

	"lacewingmount.dev/agent"
	"lacewingmount.dev/daemon"
	"lacewingmount.dev/metastore"
)

const name = "lacewing-agent"

func main() {
	var settings agent.Settings
	daemon.Main(name, "Runs the control plane of one VM.", &settings, func(ctx context.Context) error {
		client := metastore.NewHTTPClient(settings.Platform)
		return agent.New(settings, daemon.NewLogger(name, settings.VM), client, client).Run(ctx)
	})
}
