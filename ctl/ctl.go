package ctl

import (
	"context"
	"fmt"
	"io"

	"lacewingmount.dev/metastore"
)

// CLI is the command line of lacewingctl, as parsed by kong.
type CLI struct {
	Generate   GenerateCommand   `cmd:"" help:"Generate a partner's section from its questionnaire."`
	Validate   ValidateCommand   `cmd:"" help:"Check sections, alone and against each other."`
	Diff       DiffCommand       `cmd:"" help:"Show in words what applying a section would change."`
	Apply      ApplyCommand      `cmd:"" help:"Put a partner's section in force by compare-and-swap."`
	Key        KeyCommand        `cmd:"" help:"Grant and withdraw client keys."`
	Credential CredentialCommand `cmd:"" help:"Create and replace operator credentials."`
	Status     StatusCommand     `cmd:"" help:"Show the state of each VM: revision, freshness, requests in flight."`
	Timeline   TimelineCommand   `cmd:"" help:"Merge the time lines of processes."`
	Capacity   CapacityCommand   `cmd:"" help:"Work out what the fleet needs at a size."`
	Explain    ExplainCommand    `cmd:"" help:"Tell from collected logs of the gateways why a request ended as it did."`
}

// StoreFlags say where the platform is and who is asking.
type StoreFlags struct {
	Platform   string   `required:"" help:"Base URL of the platform, such as http://127.0.0.1:7000." placeholder:"URL"`
	Credential string   `help:"Operator credential of the partner." env:"LACEWING_CREDENTIAL" placeholder:"TEXT"`
	Agent      []string `help:"Address of a VM's agent, besides those of the platform's list." placeholder:"IP:PORT"`
}

func (f StoreFlags) open() *metastore.HTTPClient { return metastore.NewHTTPClient(f.Platform) }

// Env is what a command runs in.
type Env struct {
	Context context.Context
	Out     io.Writer
}

func (e *Env) printf(format string, args ...any) { fmt.Fprintf(e.Out, format, args...) }
