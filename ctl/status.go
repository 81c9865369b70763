package ctl

import (
	"time"

	"lacewingmount.dev/wire"
)

// StatusCommand shows the state of each VM.
type StatusCommand struct {
	StoreFlags
}

// Run implements the command.
func (c *StatusCommand) Run(env *Env) error {
	vms, err := dialVMs(env.Context, c.open(), c.Agent)
	if err != nil {
		return err
	}
	defer closeVMs(vms)
	for i, answer := range askAll(env.Context, vms, wire.StatusRequest{}) {
		if answer.err != nil {
			env.printf("%s zone=%s unreachable: %v\n", vms[i].vm.Name, vms[i].vm.Zone, answer.err)
			continue
		}
		printStatus(env, vms[i], answer.status)
	}
	return nil
}

func printStatus(env *Env, vm vmClient, status wire.VMStatus) {
	env.printf("%s zone=%s ready=%t revision=%d change=%s store_age=%s peers_age=%s keys_for=%s members=%d leaving=%t",
		vm.vm.Name, vm.vm.Zone, status.Ready, status.Revision, status.ChangeID,
		age(status.StoreAge), age(status.PeersAge), age(status.KeyAuthorityTTL), status.Members, vm.vm.Leaving)
	if status.Withdrawals > 0 {
		env.printf(" withdrawals_not_in_store=%d", status.Withdrawals)
	}
	if entry := status.Entry; entry != nil {
		env.printf(" entry_ready=%t entry_revision=%d in_flight=%d entry_stopping=%t", entry.Ready, entry.Revision, entry.InFlight, entry.Stopping)
	} else {
		env.printf(" entry=silent")
	}
	if status.Rejected != "" {
		env.printf(" rejected=%q", status.Rejected)
	}
	env.printf("\n")
}

func age(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(time.Millisecond).String()
}
