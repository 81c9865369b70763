package ctl

import (
	"context"
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/platform"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

const pollPeriod = 100 * time.Millisecond

// ApplyCommand puts a section in force.
type ApplyCommand struct {
	StoreFlags
	Section string        `arg:"" type:"existingfile" help:"Section in YAML."`
	Wait    time.Duration `default:"5s" help:"How long to wait until every VM has it in force."`
}

// Run implements the command.
func (c *ApplyCommand) Run(env *Env) error {
	section, err := loadSection(c.Section)
	if err != nil {
		return err
	}
	store := c.open()
	revision, err := changeSection(env.Context, store, section.Partner, c.Credential, func(current *config.Section) error {
		keepStanding(&section, current)
		*current = section
		return nil
	})
	if err != nil {
		return err
	}
	env.printf("accepted as revision %d\n", revision)
	return awaitRevision(env, store, revision, c.Wait)
}

// awaitRevision reports VM by VM until each has the revision in force, and
// fails naming those that do not within wait.
func awaitRevision(env *Env, vms platform.VMList, revision uint64, wait time.Duration) error {
	list, err := vms.VMs(env.Context)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(env.Context, wait)
	defer cancel()
	pending := list
	for len(pending) > 0 && ctx.Err() == nil {
		pending = stillPending(ctx, env, pending, revision)
		if len(pending) > 0 {
			time.Sleep(pollPeriod)
		}
	}
	if len(pending) == 0 {
		return nil
	}
	missing := ""
	for _, vm := range pending {
		missing += " " + vm.Name
	}
	return errs.New(errs.Unavailable, "accepted, but not confirmed by:"+missing, "run status; the VMs take it when they are reachable")
}

func stillPending(ctx context.Context, env *Env, vms []platform.VM, revision uint64) []platform.VM {
	var pending []platform.VM
	for _, vm := range vms {
		if current, err := vmRevision(ctx, vm); err != nil || current < revision {
			pending = append(pending, vm)
			continue
		}
		env.printf("in force on %s\n", vm.Name)
	}
	return pending
}

// vmRevision asks a VM's agent for the revision that it has in force.
func vmRevision(ctx context.Context, vm platform.VM) (uint64, error) {
	client := wire.NewClient(vm.Address, timeline.NewClock(time.Now))
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var snapshot wire.Snapshot
	if err := client.Call(ctx, wire.MethodSnapshot, wire.SnapshotRequest{}, &snapshot); err != nil {
		return 0, err
	}
	if snapshot.Document == nil {
		return 0, nil
	}
	return snapshot.Document.Revision, nil
}

// StatusCommand shows the state of each VM.
type StatusCommand struct {
	StoreFlags
}

// Run implements the command.
func (c *StatusCommand) Run(env *Env) error {
	list, err := c.open().VMs(env.Context)
	if err != nil {
		return err
	}
	for _, vm := range list {
		revision, err := vmRevision(env.Context, vm)
		if err != nil {
			env.printf("%s zone=%s unreachable: %v\n", vm.Name, vm.Zone, err)
			continue
		}
		env.printf("%s zone=%s revision=%d leaving=%t\n", vm.Name, vm.Zone, revision, vm.Leaving)
	}
	return nil
}
