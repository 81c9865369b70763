package placement

import (
	"slices"
	"time"
)

// Retry-After of requests whose servers are all in evacuated zones. It is not known when an
// evacuation ends; the time that it has lasted is the estimate of the time that is left.
const (
	minEvacuationRetryAfter = time.Second      // the end of an evacuation takes up to a second to reach all VMs
	maxEvacuationRetryAfter = 10 * time.Second // evacuations can last for hours, but callers should find the end of one soon
)

// accepts reports whether the server gets new requests at all.
func (s *server) accepts() bool { return !s.Draining && !s.Evacuated }

// refusalWithoutServer returns why a request is refused that no server may run, and when its
// caller may try again, given the requests that precede it.
func (b *Broker) refusalWithoutServer(now time.Time, r *queued, ahead position) (reason string, retryAfter time.Duration) {
	lasted := time.Duration(0)
	for _, s := range b.serversByID {
		if s.accepts() {
			return noServerLeft, b.retryAfterFor(now, r, ahead) // another attempt of the caller may use it
		}
		if s.Evacuated && !s.Draining {
			lasted = max(lasted, now.Sub(s.evacuatedAt))
		}
	}
	if b.countNotEvacuated() == len(b.serversByID) {
		return noServerLeft, b.retryAfterFor(now, r, ahead)
	}
	return zonesEvacuated, min(maxEvacuationRetryAfter, max(minEvacuationRetryAfter, lasted))
}

// refuseEvacuated refuses the waiting requests that only servers of evacuated zones could run.
func (b *Broker) refuseEvacuated(now time.Time) []Decision {
	if b.countNotEvacuated() == len(b.serversByID) {
		return nil
	}
	var decisions []Decision
	b.removeQueued(now, func(r *queued) bool {
		if slices.ContainsFunc(b.serversByID, func(s *server) bool { return s.accepts() && r.mayUse(s) }) {
			return false
		}
		reason, after := b.refusalWithoutServer(now, r, position{})
		d := b.refuse(now, r.ID, reason, after)
		d.Waited = now.Sub(r.queuedAt)
		decisions = append(decisions, d)
		return true
	})
	return decisions
}
