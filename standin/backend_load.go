package standin

import (
	"context"
	"time"
)

// LoadFaults shape how a backend server works under load and how it leaves.
type LoadFaults struct {
	Slots        int           `json:"slots"`         // requests that run at once, more wait; 0 for any number
	Work         time.Duration `json:"work"`          // of each request in its slot, nanoseconds
	Slow         float64       `json:"slow"`          // factor on Work and Delay; 0 for 1
	Cold         time.Duration `json:"cold"`          // so long after the faults were set, Work takes ten times as long
	Flap         time.Duration `json:"flap"`          // the faults are in force in every other period of this length
	DrainAnswers bool          `json:"drain_answers"` // says in every answer that it leaves
	HealthLag    time.Duration `json:"health_lag"`    // the health endpoint shows the faults so much later
}

const coldFactor = 10

// inForce returns the faults that apply so long after they were set.
func (f BackendFaults) inForce(elapsed time.Duration) BackendFaults {
	if f.Flap > 0 && (elapsed/f.Flap)%2 == 1 {
		return BackendFaults{LoadFaults: LoadFaults{Slots: f.Slots, Work: f.Work}}
	}
	if elapsed < f.Cold {
		f.Work *= coldFactor
	}
	if f.Slow > 0 {
		f.Work = time.Duration(float64(f.Work) * f.Slow)
		f.Delay = time.Duration(float64(f.Delay) * f.Slow)
	}
	return f
}

// slots bounds the requests that run at once.
type slots chan struct{}

// newSlots returns count slots, or nil for any number.
func newSlots(count int) slots {
	if count <= 0 {
		return nil
	}
	return make(slots, count)
}

// occupy waits for a slot and keeps it for the work. It returns early if ctx ends.
func (s slots) occupy(ctx context.Context, work time.Duration) {
	if s != nil {
		select {
		case s <- struct{}{}:
			defer func() { <-s }()
		case <-ctx.Done():
			return
		}
	}
	sleep(ctx, work)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
