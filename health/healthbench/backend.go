package healthbench

import (
	"math"
	"math/rand/v2"
	"time"
)

// Backend is one backend server with its slots, queue and injected faults.
type Backend struct {
	Slow              float64           // factor on its service times; values below 1 mean 1
	Errors            float64           // fraction of requests that fail immediately
	Hang              bool              // accepts requests and never answers
	HealthCheckPasses bool              // checks on new connections pass even while Hang is set
	Shed              bool              // refuses every request without running it
	Drain             bool              // reports in its answers that it is draining; the health endpoint reports it late
	MinLiveGeneration int               // connections of a lower generation drop requests without an error
	Unreachable       func(vm *VM) bool // one-way: requests of these VMs are lost
	Sent              int               // requests that VMs sent to it
	LastSent          time.Time         // when a VM last sent a request to it

	index   int
	zone    string
	quality float64 // factor on its service times without faults
	slots   int
	busy    int
	waiting []*job
	clock   *clock
	random  *rand.Rand
	pool    *Pool
}

// job is a request that a server has accepted.
type job struct {
	done     func(reply reply)
	finished bool
	running  bool
}

type reply struct {
	failed, shed, draining bool
}

const queueLimit = 24 // maximum number of waiting requests; further ones are shed

func (b *Backend) accept(done func(reply)) *job {
	work := &job{done: done}
	switch {
	case b.Shed || len(b.waiting) >= queueLimit:
		b.finish(work, reply{shed: true})
	case b.random.Float64() < b.Errors || b.random.Float64() < b.pool.Errors:
		b.clock.after(time.Millisecond, func() { b.finish(work, reply{failed: true}) })
	case b.busy < b.slots:
		b.run(work)
	default:
		b.waiting = append(b.waiting, work)
	}
	return work
}

func (b *Backend) run(work *job) {
	b.busy++
	work.running = true
	if b.Hang {
		return
	}
	b.clock.after(b.serviceTime(), func() { b.finish(work, reply{}) })
}

// serviceTime returns a random log-normal service time. A fraction of the requests
// are slow outliers, such as cache misses and garbage collection cause.
func (b *Backend) serviceTime() time.Duration {
	seconds := b.pool.Median.Seconds() * math.Exp(b.pool.Spread*b.random.NormFloat64())
	if b.random.Float64() < b.pool.Outliers {
		seconds *= 10
	}
	return time.Duration(seconds * max(b.Slow, 1) * b.quality * float64(time.Second))
}

func (b *Backend) finish(work *job, answer reply) {
	if work.finished {
		return
	}
	work.finished = true
	answer.draining = b.Drain
	b.release(work)
	work.done(answer)
}

// cancel aborts a job that is not finished and frees its slot.
func (b *Backend) cancel(work *job) {
	if work != nil && !work.finished {
		work.finished = true
		b.release(work)
	}
}

func (b *Backend) release(work *job) {
	if !work.running {
		return
	}
	b.busy--
	for b.busy < b.slots && len(b.waiting) > 0 {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		if !next.finished {
			b.run(next)
		}
	}
}
