package health

import (
	"math"
	"time"
)

const (
	sheddingHalfLife = 5 * time.Second
	minShedRequests  = 3.0 // refused requests
	minShedShare     = 0.5
)

// shedding tells which share of its requests a server refused lately. A server
// that refuses is not failing and is never ejected for it.
type shedding struct {
	at       time.Time
	refused  float64
	accepted float64
}

func (s *shedding) add(now time.Time, added *Counts) {
	fade := math.Exp2(-now.Sub(s.at).Seconds() / sheddingHalfLife.Seconds())
	s.at = now
	s.refused = s.refused*fade + float64(added.Shed)
	s.accepted = s.accepted*fade + float64(added.observations())
}

// most reports whether the server refuses most requests. It is forgotten after a
// while, so that the server is tried again.
func (s *shedding) refusesMost(now time.Time) bool {
	s.add(now, &Counts{})
	return s.refused >= minShedRequests && s.refused > minShedShare*(s.refused+s.accepted)
}
