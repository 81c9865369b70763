// Command lacewing-load sends a reproducible load, generated from a seed, and
// prints a report. It exits with status 0 only if every response was complete and correct.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/load"
)

// cli holds the command-line flags.
type cli struct {
	daemon.Flags
	JSON string `help:"File to write the report to in JSON." placeholder:"FILE"`
}

func main() {
	var flags cli
	parsed := kong.Parse(&flags, kong.Name("lacewing-load"),
		kong.Description("Sends a reproducible load, generated from a seed, and reports the responses."),
		kong.Vars{"version": "lacewing-load " + daemon.Version})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.FatalIfErrorf(run(ctx, flags))
}

func run(ctx context.Context, flags cli) error {
	var settings load.Settings
	if err := daemon.LoadYAML(flags.Settings, &settings); err != nil {
		return err
	}
	if err := settings.Validate(); err != nil {
		return err
	}
	report := load.Run(ctx, settings)
	report.WriteText(os.Stdout)
	if err := writeJSON(report, flags.JSON); err != nil {
		return err
	}
	if !report.Correct() {
		return errs.New(errs.Invalid, "some responses were incomplete or wrong", "see the report above and the timeline")
	}
	return nil
}

func writeJSON(report *load.Report, path string) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return report.WriteJSON(file)
}
