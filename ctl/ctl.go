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
	Validate   ValidateCommand   `cmd:"" help:"Check each section by itself and all of them together."`
	Diff       DiffCommand       `cmd:"" help:"Show what applying a section would change."`
	Apply      ApplyCommand      `cmd:"" help:"Apply a partner's section."`
	Key        KeyCommand        `cmd:"" help:"Grant and withdraw client keys."`
	Credential CredentialCommand `cmd:"" help:"Create and replace operator credentials."`
	Status     StatusCommand     `cmd:"" help:"Show the state of each VM: revision, age of its data, requests in flight."`
	Timeline   TimelineCommand   `cmd:"" help:"Show the merged event timelines of all processes."`
	Capacity   CapacityCommand   `cmd:"" help:"Estimate the resource use of the fleet."`
	Explain    ExplainCommand    `cmd:"" help:"Explain from collected gateway logs why a request ended as it did."`
	Account    AccountCommand    `cmd:"" help:"Count from collected gateway logs why requests were not served."`
}

// StoreFlags are the flags of commands that use the store and the agents of the VMs.
type StoreFlags struct {
	Platform   string   `required:"" help:"Base URL of the platform, such as http://127.0.0.1:7000." placeholder:"URL"`
	Credential string   `help:"Operator credential of the partner." env:"LACEWING_CREDENTIAL" placeholder:"TEXT"`
	Agent      []string `help:"Address of an agent to use in addition to those on the platform's list of VMs." placeholder:"IP:PORT"`
}

func (f StoreFlags) open() *metastore.HTTPClient { return metastore.NewHTTPClient(f.Platform) }

// Env holds the context of a command and the writer of its standard output.
type Env struct {
	Context context.Context
	Out     io.Writer
}

func (e *Env) printf(format string, args ...any) { fmt.Fprintf(e.Out, format, args...) }
