package placement

import (
	"math"
	"time"
)

const (
	clearlySlow        = 2.0                    // multiple of the usual latency from which a server counts as slow capacity while classes cost the same; the mean of its last answers varies by a quarter
	minSlotWait        = 10 * time.Microsecond  // lower bound of the expected wait for a slot; no service has 100,000 requests a second at one owner
	unusableThreshold  = 0.6                    // failing probability from which a server does not count as capacity
	minRetryAfter      = 200 * time.Millisecond // a caller that returns sooner finds the same queue
	maxRetryAfter      = 3 * time.Second        // callers wait for up to a third of their time limit
	noServerRetryAfter = 500 * time.Millisecond // when there is no server; registrations change about every second
	silentPrior        = 0.02                   // probability that a server has become silent, before any sign of it
	unheardDecay       = 10 * time.Second       // time constant with which unanswered requests lose their weight; servers are cut off for some seconds
	unheardProbability = 0.5                    // probability that a server is still silent that two VMs could not reach; they are cut off for seconds
	maxQuietMeans      = 3                      // mean latencies of one request that count as evidence of silence; three requests in a hundred take seven
	maxQuietEvidence   = 30                     // mean latencies of all requests by which silence is certain
	coldShare          = 0.5                    // of its slots that a server counts with while it warms up; cold servers took twice the usual time
	shedWeight         = 0.15                   // weight of the newest outcome in the share of requests that a server refuses
	shedDecay          = 3 * time.Second        // time constant with which that share decays without outcomes; servers refuse a share for about 8 s
	maxRefusalBackoff  = 6                      // upper bound of a backoff after a refusal, in shedBackoff; a server that gets nothing for 2 s does not count as in use
	shedCost           = 0.3                    // of a request that its server refuses: it spends retry budget, of which there is one for five requests
	minCapacityShare   = 0.02                   // of the slots of registered servers that count as capacity if fewer seem to be usable; probes keep finding servers
	minDrainShare      = 0.2                    // of the capacity that is left to a rank whatever the higher ones send
)

// expectedWait returns the expected time until the given number of requests have
// been granted a slot.
func (b *Broker) expectedWait(now time.Time, requests int) time.Duration {
	return time.Duration(float64(requests) * b.queueWork() / b.slotsPerSecond(now) * float64(time.Second))
}

// placedBefore reports whether the request was granted a slot of a server that its VM could not
// reach. It was admitted then, and has lost its place in the queue without its fault.
func (r *queued) placedBefore() bool { return len(r.Tried) > 0 && !r.Retry }

// canStillServe reports whether a request that goes before the others is expected to be answered
// before its deadline.
func (b *Broker) canStillServe(now time.Time, r *queued) bool {
	return b.hasUsableServer(now, r) && b.limitWait(now, r, 0) <= r.Left && r.Left > workMargin*b.workOf(&r.Request)
}

// expectedWaitBehind is expectedWait for a request that the given number of queued requests
// precede, and that later arrivals of higher priority will overtake.
func (b *Broker) expectedWaitBehind(now time.Time, r *queued, ahead int, perSecond float64) time.Duration {
	left := max(minDrainShare*perSecond, perSecond-b.arrivalsAbove(now, r.usage))
	return time.Duration(float64(ahead) / left * float64(time.Second))
}

// usualWork returns the work of a usual request on a server of usual speed, in seconds.
func (b *Broker) usualWork() float64 {
	if b.work.inForce && b.work.mean > 0 {
		return b.work.mean
	}
	return b.latencyEstimate.mean
}

// slotsPerSecond returns the requests per second that are expected to get a slot. Servers
// count by what they can be expected to finish.
func (b *Broker) slotsPerSecond(now time.Time) float64 {
	mean, usual := b.latencyEstimate.meanLatency(), b.usualLatency()
	slots, registered := 0.0, 0
	for _, s := range b.serversByID {
		if !s.Evacuated {
			registered += s.Slots
		}
		if s.accepts() {
			slots += min(s.usableSlots(now, mean), float64(s.Slots)*b.capacityShare(now, s, mean, usual))
		}
	}
	slots = max(slots, minCapacityShare*float64(registered))
	if slots == 0 {
		slots = 1
	}
	return slots / b.usualWork()
}

// usualLatency returns the mean latency of the servers that are not slow, in seconds. It is
// lower than that of all answers while some servers are slow.
func (b *Broker) usualLatency() float64 {
	sum, n := 0.0, 0
	for _, s := range b.serversByID {
		if s.latency > 0 && s.latency <= slowThreshold*b.latencyEstimate.mean {
			sum += s.latency
			n++
		}
	}
	if n == 0 {
		return b.latencyEstimate.mean
	}
	return sum / float64(n)
}

// capacityShare returns the share of the server's slots with which it counts as capacity,
// relative to a usual server whose requests take the mean latency.
func (b *Broker) capacityShare(now time.Time, s *server, mean time.Duration, usual float64) float64 {
	failingShare := b.share.value
	failing := s.health.failingProbability(now, failingShare)
	if failing >= unusableThreshold || s.Slots == 0 {
		return 0
	}
	share := (1 - failing) * (1 - s.unheardWeight(now)) * (1 - s.silentProbability(now, mean)) * (1 - s.shedShare(now)) * float64(max(0, s.Slots-s.overdue)) / float64(s.Slots)
	if now.Before(s.warmupUntil) {
		share *= coldShare
	}
	return share / b.slownessForCapacity(s, usual)
}

// slownessForCapacity returns the time that the server takes as a multiple of the usual one. Without
// classes only servers that are clearly slow count, as the latencies of few requests vary.
func (b *Broker) slownessForCapacity(s *server, usual float64) float64 {
	if b.work.inForce {
		return max(0.1, b.work.slowness(s))
	}
	if s.latency > clearlySlow*usual {
		return s.latency / usual
	}
	return 1
}

// silentProbability returns the probability that the server has stopped answering, as with a
// network that drops its packets. Only time beyond the mean latency in which the server
// answered nothing counts, of each running request: an idle server is silent as well, and the
// requests of a burst end together. Each mean latency of it makes silence e times as likely.
func (s *server) silentProbability(now time.Time, mean time.Duration) float64 {
	if now.Sub(s.heardAt) <= mean {
		return 0
	}
	var quiet time.Duration // whole numbers, whose sum does not depend on the order
	for _, g := range s.running {
		quiet += min(maxQuietMeans*mean, max(0, min(now.Sub(g.startedAt), now.Sub(s.heardAt))-mean))
	}
	if quiet == 0 {
		return 0
	}
	odds := silentPrior / (1 - silentPrior) * math.Expm1(min(quiet.Seconds()/mean.Seconds(), maxQuietEvidence))
	return odds / (1 + odds)
}

// unusableProbability returns the probability that a request to the server fails, because it is
// failing or silent.
func (s *server) unusableProbability(now time.Time, mean time.Duration, failingShare float64) float64 {
	silent := s.silentProbability(now, mean)
	silent = max(silent, unheardProbability*s.unheardWeight(now))
	return 1 - (1-s.health.failingProbability(now, failingShare))*(1-silent)
}

// countUnheard counts a request or connection that got no answer.
func (s *server) countUnheard(now time.Time) { s.unheard, s.unheardAt = s.unheard+1, now }

// unheardWeight returns 1 for a server that has just been found unreachable by two VMs, and less
// the longer nobody has tried, so that it is tried again.
func (s *server) unheardWeight(now time.Time) float64 {
	if s.unheard < downMinVMs {
		return 0
	}
	return math.Exp(-now.Sub(s.unheardAt).Seconds() / unheardDecay.Seconds())
}

// observeContact records an outcome that shows whether the server can be reached, and
// whether it accepts requests.
func (s *server) observeContact(now time.Time, outcome Outcome) {
	switch outcome {
	case Answered, Failed, Broken, Shed:
		s.heardAt, s.unheard = now, 0
	case Unreachable, Silent:
		s.countUnheard(now)
		return
	default:
		return
	}
	refused := 0.0
	if outcome == Shed {
		refused = 1
	}
	s.shed = s.shedShare(now)
	s.shed += shedWeight * (refused - s.shed)
	s.shedUpdated = now
}

// shedShare returns the share of its requests that the server refuses without running them.
func (s *server) shedShare(now time.Time) float64 {
	if s.shed == 0 {
		return 0
	}
	return s.shed * math.Exp(-now.Sub(s.shedUpdated).Seconds()/shedDecay.Seconds())
}

// countNotEvacuated returns the number of servers outside of evacuated zones.
func (b *Broker) countNotEvacuated() int {
	n := 0
	for _, s := range b.serversByID {
		if !s.Evacuated {
			n++
		}
	}
	return n
}

// retryAfter returns the expected time until the queue has been served, within
// minRetryAfter and maxRetryAfter.
func (b *Broker) retryAfter(now time.Time) time.Duration {
	if len(b.serversByID) == 0 {
		return noServerRetryAfter
	}
	return min(maxRetryAfter, max(minRetryAfter, b.expectedWait(now, len(b.queue))))
}

// refusalBackoff returns the time without grants after the server refused a request without
// running it. A server that refuses a share of its requests is used at the rate that it accepts:
// little time for a share of a half, seconds for one close to 1, which spends only retry budget.
func (s *server) refusalBackoff() time.Duration {
	return time.Duration(min(maxRefusalBackoff, s.shed*s.shed*s.shed/(1-s.shed)) * float64(shedBackoff))
}
