package daemon

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"lacewingmount.dev/sockets"
)

// Version is the version that the programs print. The linker sets it.
var Version = "dev"

// Flags holds the command line arguments that every daemon has.
type Flags struct {
	Settings string           `arg:"" type:"existingfile" help:"Path of the YAML settings file."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// Main parses the command line, loads the settings into target and calls run, whose
// context ends on SIGTERM or SIGINT. On failure it prints a message and exits with
// status 1.
func Main(name, description string, target any, run func(context.Context) error) {
	var flags Flags
	kong.Parse(&flags, kong.Name(name), kong.Description(description), kong.Vars{"version": name + " " + Version})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := LoadYAML(flags.Settings, target); err != nil {
		fail(name, err)
	}
	if err := run(ctx); err != nil {
		fail(name, err)
	}
}

// fail prints the error and exits.
func fail(name string, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	os.Exit(1)
}

// Listen opens a TCP listener on address with sockets.DefaultLiveness. It fails with kind
// Invalid.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	return ListenWith(ctx, sockets.DefaultLiveness, address)
}

// ListenWith is Listen with other options.
func ListenWith(ctx context.Context, liveness sockets.Liveness, address string) (net.Listener, error) {
	listener, err := liveness.Listen(ctx, address)
	if err != nil {
		return nil, errListen(err, address)
	}
	return listener, nil
}
