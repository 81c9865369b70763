package healthbench

import (
	"fmt"
	"time"

	"lacewingmount.dev/balance"
	"lacewingmount.dev/health"
	"lacewingmount.dev/timeline"
)

func vmName(i int) string { return fmt.Sprintf("vm-%d", i+1) }

// viewChooser selects servers with a health.View.
type viewChooser struct {
	view *health.View
}

func (c *viewChooser) pick(vm *VM, request health.Request, tried func(int) bool) (int, bool) {
	return c.view.Pick(vm.bench.clock.now, request, tried, vm.bench.random)
}

func (c *viewChooser) begin(vm *VM, index int) any {
	return c.view.Begin(vm.bench.clock.now, index)
}

func (c *viewChooser) end(vm *VM, _ int, attempt any, outcome health.Outcome) {
	c.view.End(vm.bench.clock.now, attempt.(*health.Attempt), outcome)
}

func (c *viewChooser) usable(vm *VM, index int) bool {
	return c.view.Eligibilities(vm.bench.clock.now)[index].Usable
}

const (
	consecutiveFailures = 5
	consecutiveEjection = 30 * time.Second
)

// consecutive is the baseline in which each VM ejects a server after
// consecutiveFailures consecutive failures, for consecutiveEjection.
type consecutive struct {
	failures []int
	until    []time.Time
}

func newConsecutive(servers int) *consecutive {
	return &consecutive{failures: make([]int, servers), until: make([]time.Time, servers)}
}

func (c *consecutive) pick(vm *VM, request health.Request, tried func(int) bool) (int, bool) {
	var candidates []balance.Candidate
	for i, server := range vm.bench.Backends {
		if tried(i) || !c.usable(vm, i) {
			continue
		}
		candidates = append(candidates, balance.Candidate{
			Index: i, InFlight: vm.attempts[i], Slots: slots, Weight: 1, SameZone: server.zone == vm.zone,
		})
	}
	return balance.Pick(candidates, request.Protected, vm.bench.random)
}

func (c *consecutive) begin(vm *VM, index int) any {
	vm.attempts[index]++
	return nil
}

func (c *consecutive) end(vm *VM, index int, _ any, outcome health.Outcome) {
	vm.attempts[index]--
	switch outcome.Completion {
	case health.Answered:
		c.failures[index] = 0
	case health.Failed, health.Incomplete:
		c.failures[index]++
	}
	if c.failures[index] >= consecutiveFailures && c.inService(vm)-1 >= vm.bench.Pool.Floor {
		c.failures[index] = 0
		c.until[index] = vm.bench.clock.now.Add(consecutiveEjection)
		name := vm.bench.service.Servers[index].Name
		vm.bench.record([]timeline.Event{{Kind: timeline.KindPathAvoided, Server: name, Reason: "failures in a row"}})
	}
}

func (c *consecutive) inService(vm *VM) int {
	count := 0
	for i := range c.until {
		if c.usable(vm, i) {
			count++
		}
	}
	return count
}

func (c *consecutive) usable(vm *VM, index int) bool {
	return !vm.bench.clock.now.Before(c.until[index])
}
