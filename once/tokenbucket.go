package once

import "time"

// tokenBucket is a token bucket that spaces out writes.
type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt                time.Time
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

// take takes one token, or returns how long until there is one.
func (t *tokenBucket) take(now time.Time) time.Duration {
	t.refill(now)
	if t.tokens >= 1 {
		t.tokens--
		return 0
	}
	return time.Duration((1-t.tokens)/t.rate*float64(time.Second)) + time.Microsecond
}
