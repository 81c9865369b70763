// Command lacewing-load sends a seeded load and prints a report. It exits 0
// only if every answer was whole and correct.
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

type cli struct {
	daemon.Flags
	JSON string `help:"File for the report in JSON." placeholder:"FILE"`
}

func main() {
	var flags cli
	parsed := kong.Parse(&flags, kong.Name("lacewing-load"),
		kong.Description("Sends a seeded load and reports what came back."),
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
		return errs.New(errs.Invalid, "some answers were broken or wrong", "read the verdicts above and the time line")
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
