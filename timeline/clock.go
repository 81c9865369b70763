package timeline

import (
	"cmp"
	"sync"
	"time"
)

// Stamp is the timestamp of a hybrid logical clock. Stamps are ordered by Wall, then
// Counter.
type Stamp struct {
	Wall    int64  `json:"w"` // nanoseconds since the Unix epoch
	Counter uint32 `json:"c,omitempty"`
}

// Compare returns a negative number if s is ordered before other, 0 if they are equal
// and a positive number otherwise.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, other.Wall), cmp.Compare(s.Counter, other.Counter))
}

// Before reports whether s is ordered before other.
func (s Stamp) Before(other Stamp) bool { return s.Compare(other) < 0 }

// Clock is a hybrid logical clock: its stamps follow the wall clock, and a counter
// keeps them rising while the wall clock stands still or is set back. It is safe for
// concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	wall func() time.Time
}

// NewClock returns a clock that reads the wall-clock time from wall.
func NewClock(wall func() time.Time) *Clock {
	return &Clock{wall: wall}
}

// Now returns a stamp that is later than all stamps that Now returned or Observe
// received before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	return c.last
}

// Observe advances the clock past the stamp of a received message.
func (c *Clock) Observe(received Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(received) {
		c.last = received
	}
	c.advance()
}

func (c *Clock) advance() {
	if now := c.wall().UnixNano(); now > c.last.Wall {
		c.last = Stamp{Wall: now}
		return
	}
	c.last.Counter++
}
