package ctl

import (
	"context"
	"strings"
	"sync"
	"time"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/metastore"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

const (
	statusPollInterval = 100 * time.Millisecond
	statusTimeout      = time.Second
)

// vmClient is a VM and a client of its agent.
type vmClient struct {
	vm     metastore.VM
	client *wire.Client
}

// dialVMs returns clients of the agents on the list of VMs and at the additional
// addresses. It fails if the list cannot be read and there are no such addresses.
func dialVMs(ctx context.Context, list metastore.VMList, agents []string) ([]vmClient, error) {
	clock := timeline.NewClock(time.Now)
	vms, err := list.VMs(ctx)
	if err != nil && len(agents) == 0 {
		return nil, errs.Wrap(err, errs.Unavailable, "the list of VMs could not be read", "pass the addresses of agents with --agent")
	}
	var clients []vmClient
	for _, vm := range vms {
		clients = append(clients, vmClient{vm: vm, client: wire.NewClient(vm.Address, clock)})
	}
	for _, address := range agents {
		clients = append(clients, vmClient{vm: metastore.VM{Name: address, Address: address}, client: wire.NewClient(address, clock)})
	}
	return clients, nil
}

func closeVMs(vms []vmClient) {
	for _, vm := range vms {
		vm.client.Close()
	}
}

func (v vmClient) status(ctx context.Context, request wire.StatusRequest) (wire.VMStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var status wire.VMStatus
	err := v.client.Call(ctx, wire.MethodStatus, request, &status)
	return status, err
}

// statusResult is the status of one VM, or the error of the call.
type statusResult struct {
	status wire.VMStatus
	err    error
}

// requestStatuses requests the status of all VMs in parallel. The results are in the
// order of vms.
func requestStatuses(ctx context.Context, vms []vmClient, request wire.StatusRequest) []statusResult {
	results := make([]statusResult, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() { results[i].status, results[i].err = vm.status(ctx, request) })
	}
	wg.Wait()
	return results
}

// awaitAll polls the VMs until each meets the condition, and prints a line for each
// that does. After wait it fails with an error that names the remaining VMs and the
// last state of each.
func awaitAll(env *Env, vms []vmClient, wait time.Duration, request wire.StatusRequest, what string, condition func(wire.VMStatus) (ok bool, state string)) error {
	ctx, cancel := context.WithTimeout(env.Context, wait)
	defer cancel()
	pending := vms
	var unconfirmed []string
	for {
		pending, unconfirmed = pollPending(ctx, env, pending, request, what, condition)
		if len(pending) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errs.New(errs.Unavailable, "not confirmed "+what+" by: "+strings.Join(unconfirmed, ", "), "run status later; the VMs apply it when they are reachable")
		case <-time.After(statusPollInterval):
		}
	}
}

// pollPending requests the status of the VMs once and returns those that do not meet
// the condition, and for each a text with its name and state.
func pollPending(ctx context.Context, env *Env, vms []vmClient, request wire.StatusRequest, what string, condition func(wire.VMStatus) (bool, string)) (pending []vmClient, unconfirmed []string) {
	for i, result := range requestStatuses(ctx, vms, request) {
		name := vms[i].vm.Name
		if result.err != nil {
			pending, unconfirmed = append(pending, vms[i]), append(unconfirmed, name+" (agent not reachable)")
			continue
		}
		ok, state := condition(result.status)
		if !ok {
			pending, unconfirmed = append(pending, vms[i]), append(unconfirmed, name+" ("+state+")")
			continue
		}
		env.printf("%s on %s%s\n", what, name, state)
	}
	return pending, unconfirmed
}

// inForce returns the condition that the agent and the entry of a VM use the revision
// or a newer one. The condition is not met while no entry reports to the agent.
func inForce(revision uint64) func(wire.VMStatus) (bool, string) {
	return func(status wire.VMStatus) (bool, string) {
		switch {
		case status.Revision < revision && status.Rejected != "":
			return false, "rejected: " + status.Rejected
		case status.Revision < revision:
			return false, "agent has an older revision"
		case status.Entry == nil:
			return false, "no entry reports"
		case status.Entry.Revision < revision:
			return false, "entry has an older revision"
		default:
			return true, ""
		}
	}
}

// keyRefused is the condition that neither the agent nor the entry of a VM accepts
// the key. An agent without a reporting entry meets it, too, because an entry that
// does not report refuses all keys when its key authority expires.
func keyRefused(status wire.VMStatus) (bool, string) {
	switch {
	case !status.AgentRefuses:
		return false, "agent does not know the withdrawal"
	case status.EntryRefuses:
		return true, ""
	case status.Entry == nil:
		return true, " (agent only: no entry reports; one that runs without reporting refuses all keys when its key authority expires)"
	default:
		return false, "entry does not know the withdrawal"
	}
}
