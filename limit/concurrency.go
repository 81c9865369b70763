package limit

import "time"

// ConcurrencyLimit decides how many requests one entry may have in flight at a
// service. While the backend servers reject nothing, an entry may use all slots of
// the service, so that uneven balancing costs nothing. Each rejection lowers the
// limit towards the entry's equal part; it rises again slowly.
type ConcurrencyLimit struct {
	entryShare   float64 // the entry's equal part of all slots, at least 1
	allSlots     float64
	limit        float64
	lastDecrease time.Time
}

const (
	decreaseFactor   = 0.7
	decreaseInterval = 100 * time.Millisecond // rejections of requests in flight together have one cause and count once
)

// SetSlots sets the number of slots of the service and the number of entries.
func (p *ConcurrencyLimit) SetSlots(slots, entries int) {
	first := p.allSlots == 0
	p.allSlots = max(float64(slots), 1)
	p.entryShare = max(p.allSlots/float64(max(entries, 1)), 1)
	if first {
		p.limit = p.allSlots
	}
	p.limit = min(max(p.limit, p.entryShare), p.allSlots)
}

// RecordRejection lowers the limit because a backend server without a free slot
// rejected a request while the entry had the given number in flight.
func (p *ConcurrencyLimit) RecordRejection(inFlight int, now time.Time) {
	if now.Sub(p.lastDecrease) < decreaseInterval {
		return
	}
	p.lastDecrease = now
	p.limit = max(p.entryShare, min(p.limit, float64(inFlight))*decreaseFactor)
}

// RecordSuccess records an answer; full says that all requests that the limit allows
// were in flight.
func (p *ConcurrencyLimit) RecordSuccess(full bool) {
	if full {
		p.limit = min(p.allSlots, p.limit+1/p.limit)
	}
}

// Limit returns the number of requests that may be in flight, at least 1.
func (p *ConcurrencyLimit) Limit() int { return max(int(p.limit), 1) }
