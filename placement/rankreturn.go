package placement

import (
	"math"
	"time"
)

const (
	returnSpread = 0.5 // part of its Retry-After by which a caller is told to return later at most, so that refused callers do not return together
	goldenRatio  = 0.6180339887498949
)

// retryAfterFor returns when the caller of a refused request may try again: once the waiting
// requests that precede it are expected to have got a slot.
func (b *Broker) retryAfterFor(now time.Time, r *queued, ahead position) time.Duration {
	if !b.ranks.inForce || len(b.serversByID) == 0 {
		return b.retryAfter(now)
	}
	return b.spreadRetryAfter(b.rankWait(now, r.usage).until(ahead))
}

// spreadRetryAfter returns a Retry-After within its bounds for an expected wait. While the rule of
// ranks is in force, it differs from that of the refusals before.
func (b *Broker) spreadRetryAfter(wait time.Duration) time.Duration {
	wait = max(minRetryAfter, wait)
	if !b.ranks.inForce {
		return min(maxRetryAfter, wait)
	}
	_, b.ranks.spread = math.Modf(b.ranks.spread + goldenRatio) // fills the interval evenly, however many values are taken
	return time.Duration(min(float64(maxRetryAfter)/(1+returnSpread), float64(wait)) * (1 + returnSpread*b.ranks.spread))
}
