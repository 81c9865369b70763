package healthbench

import (
	"time"

	"lacewingmount.dev/health"
)

const (
	dialTimeout     = 500 * time.Millisecond
	maxAttempts     = 3
	idleConnTimeout = 30 * time.Second

	// Retry budget of a VM, a token bucket.
	budgetShare   = 0.2  // retries added by one request
	budgetRefill  = 1.0  // retries added per second
	budgetMax     = 20.0 // maximum number of accumulated retries
	budgetInitial = 5.0
)

// chooser selects servers for a VM: a health.View or a baseline.
type chooser interface {
	pick(vm *VM, request health.Request, tried func(int) bool) (int, bool)
	begin(vm *VM, index int) any
	end(vm *VM, index int, attempt any, outcome health.Outcome)
	usable(vm *VM, index int) bool
}

// VM simulates one VM that sends callers' requests to the servers.
type VM struct {
	index    int
	zone     string
	bench    *Bench
	chooser  chooser
	avoid    map[int]time.Time
	conns    []connection // by server index
	budget   float64      // retries currently available
	refilled time.Time
	attempts []int // in flight, by server index; used by the baseline only
}

// connection is the state of the VM's idle connection to a server.
type connection struct {
	generation int
	used       time.Time
}

// request is one caller's request.
type request struct {
	account  int
	kind     health.Request
	arrived  time.Time
	deadline time.Time
	tried    map[int]bool
}

// serve sends a request to a server that was not tried yet, or fails it if there is
// none.
func (vm *VM) serve(r *request) {
	index, ok := vm.chooser.pick(vm, r.kind, func(i int) bool { return r.tried[i] })
	if !ok {
		vm.bench.countFailure(r)
		return
	}
	r.tried[index] = true
	vm.attempt(r, index)
}

func (vm *VM) attempt(r *request, index int) {
	clock, server := vm.bench.clock, vm.bench.Backends[index]
	vm.bench.Result.Sent++
	server.Sent++
	server.LastSent = clock.now
	attempt := vm.chooser.begin(vm, index)
	conn := vm.conns[index]
	vm.conns[index] = connection{}
	reused := !conn.used.IsZero() && clock.now.Sub(conn.used) < idleConnTimeout
	silent := reused && conn.generation < server.MinLiveGeneration
	if view, ok := attempt.(*health.Attempt); ok {
		vm.bench.viewOf(vm).Connected(view, reused)
	}
	completed := false
	finish := func(outcome health.Outcome, retry bool) {
		if completed {
			return
		}
		completed = true
		if outcome.Completion != health.Incomplete {
			vm.conns[index] = connection{generation: server.MinLiveGeneration, used: clock.now}
		}
		vm.chooser.end(vm, index, attempt, outcome)
		vm.complete(r, outcome, retry)
	}
	var work *job
	clock.after(r.deadline.Sub(clock.now), func() {
		server.cancel(work)
		finish(health.Outcome{Completion: health.Incomplete}, false)
	})
	if server.Unreachable != nil && server.Unreachable(vm) {
		clock.after(dialTimeout, func() { finish(health.Outcome{Completion: health.Incomplete}, true) })
		return
	}
	if silent {
		return // the request is lost without an error; the deadline ends it
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

// complete ends the request, or retries it on another server within the retry
// budget if notRun is true: the server did not execute it, so that a retry is safe
// for any request.
func (vm *VM) complete(r *request, outcome health.Outcome, notRun bool) {
	if outcome.Completion == health.Answered {
		vm.bench.Result.Latency = append(vm.bench.Result.Latency, vm.bench.clock.now.Sub(r.arrived))
		return
	}
	again := notRun && len(r.tried) < maxAttempts && vm.bench.clock.now.Before(r.deadline)
	if !again || vm.budget < 1 {
		vm.bench.countFailure(r)
		return
	}
	vm.budget--
	vm.serve(r)
}

// refillBudget adds to the retry budget for a new request and for the time since
// the last refill.
func (vm *VM) refillBudget() {
	now := vm.bench.clock.now
	vm.budget = min(vm.budget+budgetShare+budgetRefill*now.Sub(vm.refilled).Seconds(), budgetMax)
	vm.refilled = now
}
