package healthbench

import (
	"math"
	"math/rand/v2"
	"time"
)

// Backend is one backend server with its slots, its queue and its faults.
type Backend struct {
	Slow   float64           // factor on its service times
	Errors float64           // share of requests that it fails at once
	Hang   bool              // accepts requests and never answers
	Lying  bool              // its health answers are good whatever it does to requests
	Shed   bool              // refuses every request without running it
	Drain  bool              // says in its answers that it leaves; the health endpoint lags behind
	Silent int               // connections opened before this era are silent
	Cut    func(vm *VM) bool // one-way: requests of these VMs are lost
	Sent   int               // requests that VMs sent to it
	Last   time.Time         // when a VM last sent one

	index   int
	zone    string
	quality float64 // factor on its service times when it is well
	slots   int
	busy    int
	waiting []*job
	clock   *clock
	random  *rand.Rand
	pool    *Pool
}

// job is a request at a server.
type job struct {
	done     func(reply reply)
	finished bool
	running  bool
}

type reply struct {
	failed, shed, draining bool
}

const queueLimit = 24 // requests that wait before a server sheds by itself

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

// serviceTime is log-normal with a share of slow outliers, as caches and
// garbage collection make them.
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

// cancel gives up a job; the server frees its slot.
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
