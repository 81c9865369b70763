package once

import "time"

// pace is a token bucket that spaces out writes.
type pace struct {
	rate, burst, tokens float64
	last                time.Time
}

// ample reports whether at least half of the tokens are left.
func (p *pace) ample(now time.Time) bool {
	p.refill(now)
	return p.tokens >= p.burst/2
}

func (p *pace) refill(now time.Time) {
	if !p.last.IsZero() {
		p.tokens = min(p.tokens+p.rate*max(now.Sub(p.last), 0).Seconds(), p.burst)
	}
	p.last = now
}

// take takes one token, or returns how long until there is one.
func (p *pace) take(now time.Time) time.Duration {
	p.refill(now)
	if p.tokens >= 1 {
		p.tokens--
		return 0
	}
	return time.Duration((1-p.tokens)/p.rate*float64(time.Second)) + time.Microsecond
}
