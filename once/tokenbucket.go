package once

import "time"

// tokenBucket limits the rate of writes; rate is in tokens per second.
type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt          time.Time
}

// halfFull reports whether at least half of the tokens are left.
func (t *tokenBucket) halfFull(now time.Time) bool {
	t.refill(now)
	return t.tokens >= t.burst/2
}

func (t *tokenBucket) refill(now time.Time) {
	if !t.refilledAt.IsZero() {
		t.tokens = min(t.tokens+t.rate*max(now.Sub(t.refilledAt), 0).Seconds(), t.burst)
	}
	t.refilledAt = now
}

// take removes one token and returns 0, or returns how long to wait until a token is
// available.
func (t *tokenBucket) take(now time.Time) time.Duration {
	t.refill(now)
	if t.tokens >= 1 {
		t.tokens--
		return 0
	}
	return time.Duration((1-t.tokens)/t.rate*float64(time.Second)) + time.Microsecond
}
