package limit

import "time"

// Bucket is a single token bucket that sees every request: the reference that the
// fleet is compared with. The zero value is empty and never fills.
type Bucket struct {
	rate  float64 // tokens per second
	burst float64 // most tokens held
	level float64
	last  time.Time
}

// NewBucket returns a full bucket.
func NewBucket(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, level: burst, last: now}
}

// Resize changes rate and burst; tokens above the new burst are dropped.
func (b *Bucket) Resize(rate, burst float64, now time.Time) {
	b.fill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// Take removes one token. If there is none, it returns how long until there is one.
func (b *Bucket) Take(now time.Time) (ok bool, wait time.Duration) {
	b.fill(now)
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	if b.rate <= 0 {
		return false, time.Duration(1<<63 - 1)
	}
	missing := 1 - b.level
	return false, time.Duration(missing / b.rate * float64(time.Second))
}

func (b *Bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.level = min(b.burst, b.level+elapsed.Seconds()*b.rate)
		b.last = now
	}
}
