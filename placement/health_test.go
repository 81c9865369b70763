package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Load: one server that fails for 3 s out of 9 on average and gets requests at long
// and irregular intervals. A request long after a failure period is no evidence of
// the length of that period, and must not change the estimate.
func TestLateRequestsDoNotLengthenFailurePeriod(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	period := failurePeriodEstimate{value: initialFailurePeriod}
	var h health
	now := time.Unix(1000, 0)
	for range 400 {
		now = now.Add(5*time.Second + time.Duration(random.Int64N(int64(5*time.Second))))
		if random.Float64() < 0.3 {
			h.observeFastFailure(now, now, &period)
		} else {
			h.observeSuccess(now, &period)
		}
	}
	if period.value > initialFailurePeriod*3/2 {
		t.Fatalf("failure periods of 3 s are estimated to last %v", period.value)
	}
}

// Load: a server whose failure periods last 6 s. It gets a request just after the
// expected end of each period.
func TestFailurePeriodIsEstimated(t *testing.T) {
	period := failurePeriodEstimate{value: initialFailurePeriod}
	now := time.Unix(1000, 0)
	for range 40 {
		var h health
		began := now
		h.observeFastFailure(now, now, &period)
		for now.Sub(began) < 6*time.Second {
			now = h.failingUntil.Add(50 * time.Millisecond)
			if now.Sub(began) < 6*time.Second {
				h.observeFastFailure(now, now, &period)
			}
		}
		h.observeSuccess(now, &period)
		now = now.Add(10 * time.Second)
	}
	if period.value < 4*time.Second {
		t.Fatalf("failure periods of 6 s are estimated to last %v", period.value)
	}
}
