package placement

import (
	"slices"
	"time"
)

const (
	coldReport   = 2500 * time.Millisecond // until a server's change is known: a heartbeat each 1.5 s, and up to 1 s to read and forward it
	minUntilWarm = 250 * time.Millisecond  // expected time until a late record
	warmHorizon  = time.Second             // ahead, over which the capacity of a server that becomes warm is averaged; requests wait up to about as long
)

// SetColdRate sets how many requests per second a cold server of the service gets from all VMs
// together; 0 if cold servers are served as others.
func (b *Broker) SetColdRate(now time.Time, perSecond float64) {
	if perSecond = max(0, perSecond); perSecond == b.coldPerS {
		return
	}
	b.coldPerS = perSecond
	for _, s := range b.serversByID {
		b.updateCold(now, s)
	}
}

// updateCold applies a server's registration to its pacing as a cold server. The end of the
// time that its record names does not make it warm, because it may have become cold again: its
// next record says so. Without one, it counts as warm after coldReport more.
func (b *Broker) updateCold(now time.Time, s *server) {
	wasCold := now.Before(s.coldUntil) && s.coldPerS > 0
	s.coldPerS, s.coldUntil = b.coldPerS, time.Time{}
	if !s.ColdUntil.IsZero() {
		s.coldUntil = s.ColdUntil.Add(coldReport)
	}
	// Servers of a zone that returns have been idle, and a record may be a heartbeat old.
	if end := s.returnedAt.Add(coldReport); !s.returnedAt.IsZero() && end.After(s.coldUntil) {
		s.coldUntil = end
	}
	if _, cold := s.coldRate(now); cold && !wasCold {
		s.coldBucket = bucket{tokens: b.limits.initialTokens(), filledAt: now}
	}
}

// coldRate returns the requests per second that the server may get from all VMs while it is
// cold; ok is false if it is not paced as a cold server.
func (s *server) coldRate(now time.Time) (perSecond float64, ok bool) {
	return s.coldPerS, s.coldPerS > 0 && now.Before(s.coldUntil)
}

// untilWarm returns after which time the record of a cold server is expected to say that it is
// warm.
func (s *server) untilWarm(now time.Time) time.Duration {
	return max(minUntilWarm, s.coldUntil.Add(-coldReport/2).Sub(now))
}

// ColdServers returns the number of servers that are paced because they are cold.
func (b *Broker) ColdServers(now time.Time) int {
	n := 0
	for _, s := range b.serversByID {
		if _, cold := s.coldRate(now); cold {
			n++
		}
	}
	return n
}

// warmUp is the end of a server's cold time, after which it can run more requests.
type warmUp struct {
	after time.Duration
	gain  float64 // requests per second
}

// waitFor returns the time until the given number of requests can have been sent to servers
// that accept perSecond requests per second together, and more after each of the warmUps.
func waitFor(requests, perSecond float64, warmUps []warmUp) time.Duration {
	slices.SortFunc(warmUps, func(x, y warmUp) int { return int(x.after - y.after) })
	passed := time.Duration(0)
	for _, w := range warmUps {
		sent := perSecond * (w.after - passed).Seconds()
		if requests <= sent {
			break
		}
		requests -= sent
		passed = w.after
		perSecond += w.gain
	}
	return passed + time.Duration(requests/perSecond*float64(time.Second))
}
