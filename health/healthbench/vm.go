package healthbench

import (
	"time"

	"lacewingmount.dev/health"
)

const (
	dialTimeout     = 500 * time.Millisecond
	maxAttempts     = 3
	idleConnTimeout = 30 * time.Second

	// The retry budget of an entry.
	budgetShare   = 0.2  // retries earned by one request
	budgetRefill  = 1.0  // retries a second
	budgetMost    = 20.0 // retries that can be saved up
	budgetInitial = 5.0
)

// chooser is what an entry decides with: a health.View or a baseline.
type chooser interface {
	pick(vm *VM, request health.Request, tried func(int) bool) (int, bool)
	begin(vm *VM, index int) any
	end(vm *VM, index int, attempt any, outcome health.Outcome)
	usable(vm *VM, index int) bool
}

// VM is one entry.
type VM struct {
	index    int
	zone     string
	bench    *Bench
	chooser  chooser
	avoid    map[int]time.Time
	conns    []connection // by server
	budget   float64      // retries that may be sent
	refilled time.Time
	attempts []int // by server, of baselines
}

// connection is the state of the VM's idle connection to a server.
type connection struct {
	era  int
	used time.Time
}

// request is one caller's request.
type request struct {
	account  int
	kind     health.Request
	arrived  time.Time
	deadline time.Time
	tried    map[int]bool
}

// serve sends a request to servers until one answers.
func (vm *VM) serve(r *request) {
	index, ok := vm.chooser.pick(vm, r.kind, func(i int) bool { return r.tried[i] })
	if !ok {
		vm.bench.failed(r)
		return
	}
	r.tried[index] = true
	vm.attempt(r, index)
}

func (vm *VM) attempt(r *request, index int) {
	clock, server := vm.bench.clock, vm.bench.Backends[index]
	vm.bench.Result.Sent++
	server.Sent++
	server.Last = clock.now
	attempt := vm.chooser.begin(vm, index)
	conn := vm.conns[index]
	vm.conns[index] = connection{}
	reused := !conn.used.IsZero() && clock.now.Sub(conn.used) < idleConnTimeout
	silent := reused && conn.era < server.Silent
	if view, ok := attempt.(*health.Attempt); ok {
		vm.bench.viewOf(vm).Connected(view, reused)
	}
	over := false
	finish := func(outcome health.Outcome, retry bool) {
		if over {
			return
		}
		over = true
		if outcome.Completion != health.Incomplete {
			vm.conns[index] = connection{era: server.Silent, used: clock.now}
		}
		vm.chooser.end(vm, index, attempt, outcome)
		vm.settle(r, outcome, retry)
	}
	var work *job
	clock.after(r.deadline.Sub(clock.now), func() {
		server.cancel(work)
		finish(health.Outcome{Completion: health.Incomplete}, false)
	})
	if server.Cut != nil && server.Cut(vm) {
		clock.after(dialTimeout, func() { finish(health.Outcome{Completion: health.Incomplete}, true) })
		return
	}
	if silent {
		return // the request is lost; only the deadline ends it
	}
	clock.after(vm.bench.delay(vm.zone, server.zone), func() {
		work = server.accept(func(answer reply) {
			clock.after(vm.bench.delay(vm.zone, server.zone), func() { finish(outcomeOf(answer), answer.shed) })
		})
	})
}

func outcomeOf(answer reply) health.Outcome {
	outcome := health.Outcome{Draining: answer.draining}
	switch {
	case answer.shed:
		outcome.Completion = health.Shed
	case answer.failed:
		outcome.Completion = health.Failed
	}
	return outcome
}

// settle ends the request or tries it again within the budget. notRun tells
// that any request may go elsewhere.
func (vm *VM) settle(r *request, outcome health.Outcome, notRun bool) {
	if outcome.Completion == health.Answered {
		vm.bench.Result.Latency = append(vm.bench.Result.Latency, vm.bench.clock.now.Sub(r.arrived))
		return
	}
	again := notRun && len(r.tried) < maxAttempts && vm.bench.clock.now.Before(r.deadline)
	if !again || vm.budget < 1 {
		vm.bench.failed(r)
		return
	}
	vm.budget--
	vm.serve(r)
}

// earn adds the budget that a new request and the time since the last one bring.
func (vm *VM) earn() {
	now := vm.bench.clock.now
	vm.budget = min(vm.budget+budgetShare+budgetRefill*now.Sub(vm.refilled).Seconds(), budgetMost)
	vm.refilled = now
}
