package timeline

import (
	"sync"
	"time"
)

// Stamp is a hybrid logical timestamp. Stamps are ordered by Wall, then Counter.
type Stamp struct {
	Wall    int64  `json:"w"` // nanoseconds since the Unix epoch
	Counter uint32 `json:"c,omitempty"`
}

// Before reports whether s is ordered before other.
func (s Stamp) Before(other Stamp) bool {
	if s.Wall != other.Wall {
		return s.Wall < other.Wall
	}
	return s.Counter < other.Counter
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	wall func() time.Time
}

// NewClock returns a clock that reads physical time from wall.
func NewClock(wall func() time.Time) *Clock {
	return &Clock{wall: wall}
}

// Now returns a stamp later than every stamp returned or observed before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	return c.last
}

// Observe merges the stamp of a received message into the clock.
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
