package limit

import "time"

// Places decides how many requests one entry may have in flight at a service.
// While the backend servers shed nothing, an entry may use all slots of the
// service, so that uneven balancing costs nothing. When they shed, the number
// falls towards the entry's equal part, and it rises again slowly.
type Places struct {
	entryShare   float64 // the entry's equal part of all slots, at least 1
	allSlots     float64
	limit        float64
	lastDecrease time.Time
}

const (
	decreaseFactor   = 0.7
	decreaseInterval = 100 * time.Millisecond // requests in flight together are shed for one cause
)

// SetSlots tells the number of slots of the service and of entries.
func (p *Places) SetSlots(slots, entries int) {
	fresh := p.allSlots == 0
	p.allSlots = max(float64(slots), 1)
	p.entryShare = max(p.allSlots/float64(max(entries, 1)), 1)
	if fresh {
		p.limit = p.allSlots
	}
	p.limit = min(max(p.limit, p.entryShare), p.allSlots)
}

// Shed notes that a backend server refused a request for want of a slot while
// the entry had the given number in flight.
func (p *Places) Shed(inFlight int, now time.Time) {
	if now.Sub(p.lastDecrease) < decreaseInterval {
		return
	}
	p.lastDecrease = now
	p.limit = max(p.entryShare, min(p.limit, float64(inFlight))*decreaseFactor)
}

// Served notes an answer; full says that all places were in use.
func (p *Places) Served(full bool) {
	if full {
		p.limit = min(p.allSlots, p.limit+1/p.limit)
	}
}

// Limit returns the number of places.
func (p *Places) Limit() int { return max(int(p.limit), 1) }
