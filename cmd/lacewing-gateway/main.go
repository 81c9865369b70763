// Command lacewing-gateway runs the proxy of one VM on the users' platform in a
// single process.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/gateway"
	"lacewingmount.dev/platform"
)

type flags struct {
	MetricsPort int              `help:"Port of the VM on which metrics are served; 0 serves none."`
	Version     kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("lacewing-gateway"),
		kong.Description("Runs the proxy of one VM on the users' platform. The environment variable "+platform.SettingsVariable+" holds the path of the settings file."),
		kong.Vars{"version": "lacewing-gateway " + daemon.Version})
	if err := run(f); err != nil {
		fmt.Fprintf(os.Stderr, "lacewing-gateway: %v\n", err)
		os.Exit(1)
	}
}

func run(f flags) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP) // first, because SIGHUP ends a process that does not handle it
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	limitMemory(settings.MemoryMB)
	log := daemon.NewOutputLogger("lacewing-gateway", settings.VM)
	defer func() { _ = log.Sync() }() // fails if the output stands still, where no error could be written either
	g, err := gateway.New(settings, log)
	if err != nil {
		return err
	}
	go reloadOnChange(ctx, g, reloadSignals)
	if f.MetricsPort > 0 {
		address := net.JoinHostPort(settings.IP, strconv.Itoa(f.MetricsPort))
		if err := daemon.ServeMetrics(ctx, address); err != nil {
			return err
		}
	}
	return g.Run(ctx)
}

// limitMemory makes Go collect garbage before the process exceeds its memory limit, in
// MB, for which the platform would kill it. 0 sets no limit.
func limitMemory(limit float64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(limit * daemon.HeapShare * (1 << 20)))
	}
}

// settingsPollInterval is the time between two checks of the settings file, for
// changes that were made without sending SIGHUP.
const settingsPollInterval = 5 * time.Second

// reloadOnChange reloads the settings on SIGHUP and when the settings file has
// changed, until ctx ends.
func reloadOnChange(ctx context.Context, g *gateway.Gateway, reloadSignals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := settingsModTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
			lastModTime = settingsModTime()
		case <-ticker.C:
			modTime := settingsModTime()
			if modTime.Equal(lastModTime) {
				continue
			}
			lastModTime = modTime
		}
		g.Reload(platform.LoadSettings())
	}
}

// settingsModTime returns the modification time of the settings file, or the zero
// time if the file cannot be read; loading the settings then reports the reason.
func settingsModTime() time.Time {
	info, err := os.Stat(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
