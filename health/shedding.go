package health

import (
	"math"
	"time"
)

const (
	sheddingHalfLife = 5 * time.Second
	minShedRequests  = 3.0 // rejected requests needed for a decision
	minShedShare     = 0.5 // share of the requests
)

// shedding holds the decaying numbers of requests that a server rejected and
// accepted. Rejecting requests is not a failure and never leads to an ejection.
type shedding struct {
	at       time.Time // of the last update
	refused  float64
	accepted float64
}

func (s *shedding) add(now time.Time, added *Counts) {
	fade := math.Exp2(-now.Sub(s.at).Seconds() / sheddingHalfLife.Seconds())
	s.at = now
	s.refused = s.refused*fade + float64(added.Shed)
	s.accepted = s.accepted*fade + float64(added.observations())
}

// refusesMost reports whether the server has rejected more than minShedShare of its
// recent requests. The numbers decay, so that the server gets requests again.
func (s *shedding) refusesMost(now time.Time) bool {
	s.add(now, &Counts{})
	return s.refused >= minShedRequests && s.refused > minShedShare*(s.refused+s.accepted)
}
