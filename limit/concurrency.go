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
	decreaseFactor   = 0.7                    // of the limit, for each rejection that counts
	decreaseInterval = 100 * time.Millisecond // rejections of requests in flight together have one cause and count once
)

// SetSlots sets the number of slots of the service and the number of entries.
func (c *ConcurrencyLimit) SetSlots(slots, entries int) {
	first := c.allSlots == 0
	c.allSlots = max(float64(slots), 1)
	c.entryShare = max(c.allSlots/float64(max(entries, 1)), 1)
	if first {
		c.limit = c.allSlots
	}
	c.limit = min(max(c.limit, c.entryShare), c.allSlots)
}

// RecordRejection lowers the limit because a backend server without a free slot
// rejected a request while the entry had the given number in flight.
func (c *ConcurrencyLimit) RecordRejection(inFlight int, now time.Time) {
	if now.Sub(c.lastDecrease) < decreaseInterval {
		return
	}
	c.lastDecrease = now
	c.limit = max(c.entryShare, min(c.limit, float64(inFlight))*decreaseFactor)
}

// RecordSuccess records an answer; full says that all requests that the limit allows
// were in flight.
func (c *ConcurrencyLimit) RecordSuccess(full bool) {
	if full {
		c.limit = min(c.allSlots, c.limit+1/c.limit)
	}
}

// Limit returns the number of requests that may be in flight, at least 1.
func (c *ConcurrencyLimit) Limit() int { return max(int(c.limit), 1) }
