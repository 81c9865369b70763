package placement

import "time"

// Costs of choosing a server. The unit is the cost of a request that is certain to
// fail.
const (
	loadCost         = 0.08        // using the last free slot; servers slow down when nearly full
	zoneCost         = 0.04        // an answer of about 5 kB that crosses availability zones
	zoneCostPerByte  = 4e-6        // each byte of the request that crosses availability zones
	connectCost      = 0.02        // a new connection: one more round trip, and it may hold a slot
	warmupCost       = 0.10        // a server that has just started
	slowCost         = 0.15        // each multiple of the service's mean latency beyond slowThreshold
	slowThreshold    = 1.3         // multiple of the mean latency up to which a server is not slow
	maxSlowCost      = 0.5         // upper bound of the cost of a slow server
	safeDiscount     = 0.4         // factor on the failure probability of safe requests: a failed read is repeated, so reads go to servers of unknown state first
	recoveryCredit   = 0.5         // subtracted for a nearly idle server that has most likely recovered, when only the in-use floor demands a request
	firstRequestWait = time.Second // time after joining after which a server without requests gets its first one
)

// candidateSet holds the servers with a free slot at one moment, so that many
// requests can be compared with them after one pass over all servers.
type candidateSet struct {
	candidates  []candidate
	tooFewInUse bool // too few servers are in use
	safeOnly    bool // only safe requests may use nearly idle servers to correct that
}

// candidate is a server with a free slot.
type candidate struct {
	*server
	failingProbability float64 // probability that the server is failing
	requestFailure     float64 // probability that a request fails
	baseCost           float64 // cost that is the same for all requests
	nearlyIdle         bool    // the server will soon not count as in use
}

// candidateSet evaluates all servers and returns those with a free slot.
func (b *Broker) candidateSet(now time.Time) *candidateSet {
	set := &candidateSet{}
	ready, used := 0, 0
	b.limits.reached = 0
	b.limits.expireParts(now) // a process that was paused gets requests before its next tick
	for _, s := range b.serversByID {
		if !s.accepts() {
			continue
		}
		ready++
		nearlyIdle := now.Sub(s.used) >= nearlyIdleAfter
		withinLimit := b.fillLimit(now, s)
		if !withinLimit {
			b.limits.reached++
		}
		if !nearlyIdle || !withinLimit { // a server that has had all that it accepts is in use
			used++
		}
		s.observeRunning(now, b.latencyEstimate.fastFailureLimit())
		failingProbability := s.health.failingProbability(now, b.share.value)
		if withinLimit && s.hasSlot(now, failingProbability) {
			set.candidates = append(set.candidates, s.newCandidate(now, failingProbability, b.latencyEstimate.mean, nearlyIdle))
		}
	}
	requiredShare, safeOnly := b.inUseFloor.requiredShare(now, ready)
	set.tooFewInUse, set.safeOnly = used < int(requiredShare*float64(ready)), safeOnly
	return set
}

// newCandidate computes the costs of the server that are the same for all requests.
func (s *server) newCandidate(now time.Time, failingProbability, mean float64, nearlyIdle bool) candidate {
	c := candidate{server: s, failingProbability: failingProbability, nearlyIdle: nearlyIdle}
	c.requestFailure = failingErrorRate*failingProbability + (1-failingProbability)*s.health.lossRate(now)
	if s.used.IsZero() && now.Sub(s.joinedAt) > firstRequestWait {
		c.requestFailure = 0
	}
	load := float64(len(s.running)+1) / float64(s.Slots)
	c.baseCost = loadCost * load * load * load * load
	if now.Before(s.warmupUntil) {
		c.baseCost += warmupCost
	}
	if mean > 0 && s.latency > slowThreshold*mean {
		c.baseCost += min(maxSlowCost, slowCost*(s.latency/mean-slowThreshold))
	}
	return c
}

// costFor returns the cost of running the request at the server.
func (c *candidate) costFor(now time.Time, request *Request) float64 {
	requestFailure := c.requestFailure
	if request.Safe && !request.Retry {
		requestFailure *= safeDiscount
	}
	cost := c.baseCost + requestFailure
	if c.Zone != request.Zone {
		cost += zoneCost + zoneCostPerByte*float64(request.Bytes)
	}
	if since, connected := c.connected[request.ID.VM]; !connected || now.Sub(since) > idleConnTTL {
		cost += connectCost
	}
	return cost
}
