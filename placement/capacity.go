package placement

import "time"

const (
	minSlotWait        = 10 * time.Microsecond  // lower bound of the expected wait for a slot; no service has 100,000 requests a second at one owner
	unusableThreshold  = 0.6                    // failing probability from which a server does not count as capacity
	minRetryAfter      = 200 * time.Millisecond // a caller that returns sooner finds the same queue
	maxRetryAfter      = 3 * time.Second        // callers wait for up to a third of their time limit
	noServerRetryAfter = 500 * time.Millisecond // when there is no server; registrations change about every second
)

// expectedWait returns the expected time until the given number of requests have
// been granted a slot.
func (b *Broker) expectedWait(now time.Time, requests int) time.Duration {
	mean, slots := b.latencyEstimate.meanLatency(), 0.0
	for _, s := range b.serversByID {
		if s.accepts() && s.health.failingProbability(now, b.share.value) < unusableThreshold {
			slots += s.usableSlots(now, mean)
		}
	}
	if slots == 0 {
		slots = float64(max(1, b.countNotEvacuated()))
	}
	return time.Duration(float64(mean) * float64(requests) / slots)
}

// countNotEvacuated returns the number of servers outside of evacuated zones.
func (b *Broker) countNotEvacuated() int {
	n := 0
	for _, s := range b.serversByID {
		if !s.Evacuated {
			n++
		}
	}
	return n
}

// retryAfter returns the expected time until the queue has been served, within
// minRetryAfter and maxRetryAfter.
func (b *Broker) retryAfter(now time.Time) time.Duration {
	if len(b.serversByID) == 0 {
		return noServerRetryAfter
	}
	return min(maxRetryAfter, max(minRetryAfter, b.expectedWait(now, len(b.queue))))
}
