package standin

import (
	"context"
	"time"
)

// LoadFaults determine how a fake backend server behaves under load and while it drains.
type LoadFaults struct {
	Slots        int           `json:"slots"`         // requests that run at the same time, further ones wait; 0 for no limit
	Work         time.Duration `json:"work"`          // processing time of each request in its slot, nanoseconds
	Slow         float64       `json:"slow"`          // factor on Work and Delay; 0 means 1
	Cold         time.Duration `json:"cold"`          // for this time after the faults were set, Work is multiplied by coldFactor; nanoseconds
	Flap         time.Duration `json:"flap"`          // the faults are in effect in every other period of this length, nanoseconds
	DrainAnswers bool          `json:"drain_answers"` // every response reports that the server is draining
	HealthLag    time.Duration `json:"health_lag"`    // delay until the health endpoint reports new faults, nanoseconds
}

const coldFactor = 10

// inForce returns the faults that are in effect when elapsed has passed since they
// were set.
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

// slots limits the requests that run at the same time; nil means no limit.
type slots chan struct{}

// newSlots returns count slots, or nil if count is not positive.
func newSlots(count int) slots {
	if count <= 0 {
		return nil
	}
	return make(slots, count)
}

// occupy waits for a slot and holds it for the duration work. It returns early if ctx ends.
func (s slots) occupy(ctx context.Context, work time.Duration) {
	if s != nil {
		select {
		case s <- struct{}{}:
			defer func() { <-s }()
		case <-ctx.Done():
			return
		}
	}
	sleepContext(ctx, work)
}

func sleepContext(ctx context.Context, d time.Duration) {
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
