package ctl

import (
	"time"

	"lacewingmount.dev/wire"
)

// StatusCommand prints one line with the state of each VM.
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
	for i, result := range requestStatuses(env.Context, vms, wire.StatusRequest{}) {
		if result.err != nil {
			env.printf("%s zone=%s unreachable: %v\n", vms[i].vm.Name, vms[i].vm.Zone, result.err)
			continue
		}
		printStatus(env, vms[i], result.status)
	}
	return nil
}

func printStatus(env *Env, vm vmClient, status wire.VMStatus) {
	env.printf("%s zone=%s ready=%t revision=%d change=%s store_age=%s peers_age=%s keys_for=%s members=%d leaving=%t",
		vm.vm.Name, vm.vm.Zone, status.Ready, status.Revision, status.ChangeID,
		formatAge(status.StoreAge), formatAge(status.PeersAge), formatAge(status.KeyAuthorityTTL), status.Members, vm.vm.Leaving)
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

// formatAge rounds an age to milliseconds and prints a negative one as "never".
func formatAge(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(time.Millisecond).String()
}
