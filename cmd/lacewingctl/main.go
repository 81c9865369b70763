// Command lacewingctl lets operators configure and inspect the proxy fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"lacewingmount.dev/ctl"
	"lacewingmount.dev/daemon"
)

func main() {
	var cli struct {
		ctl.CLI
		Version kong.VersionFlag `help:"Print the version and exit."`
	}
	parsed := kong.Parse(&cli, kong.Name("lacewingctl"),
		kong.Description("Configures and inspects the proxy fleet."),
		kong.Vars{"version": "lacewingctl " + daemon.Version})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.FatalIfErrorf(parsed.Run(&ctl.Env{Context: ctx, Out: os.Stdout}))
}
