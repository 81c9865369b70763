package placement

import (
	"math"
	"time"
)

const (
	failingErrorRate     = 0.9                     // share of its requests that a failing server fails
	initialFailurePeriod = 3200 * time.Millisecond // estimate before any probe; servers fail for 3 to 9 s at a time
	minFailurePeriod     = 2400 * time.Millisecond // shorter failure periods are rare
	maxFailurePeriod     = 6 * time.Second         // a longer estimate keeps capacity out of use
	failurePeriodGrowth  = 1.3                     // factor on the estimate when a server fails its probe after the failure period
	failurePeriodShrink  = 0.93                    // factor on the estimate when it answers; with both, one probe in five fails
	failureDecay         = time.Second             // time constant with which a failure loses its weight after the failure period
	successDecay         = 2 * time.Second         // time constant with which an answer loses its weight; servers fail about every 9 s
	earlyEndSuccesses    = 2                       // consecutive answers that end a failure period in its first half
	maxFailurePeriods    = 2                       // a server that fails its probe as well is avoided for so many failure periods
	probeWindow          = 1500 * time.Millisecond // time after a failure period in which a failure counts as its continuation
	lossWeight           = 0.15                    // weight of the newest answer in the loss rate
	lossDecay            = 5 * time.Second         // time constant with which the loss rate decays without requests
	negligibleLossRate   = 0.001                   // loss rate below which it changes no choice
	initialFailingShare  = 0.2                     // share of the servers that are failing at a random moment, before any probe
	failingShareProbes   = 30.0                    // probes over which that share is averaged
	maxRecoveryTime      = 10 * time.Second        // most servers stop failing within this time
	minFailingShare      = 0.02                    // lower bound of that share; no deployment is free of failing servers
	maxFailingShare      = 0.35                    // upper bound of that share
)

// health summarizes the outcomes of one server's requests. A failing server
// fails most of its requests for some seconds, each within milliseconds. So a fast
// failure means that the next request fails too, while a failure after the usual
// processing time says nothing about the state of the server.
type health struct {
	lastSuccess   time.Time // start of the newest request that the server answered
	lastFailure   time.Time // time of the failure that began the newest failure period
	failingSince  time.Time // time of the failure that began the first of the consecutive failure periods
	failingUntil  time.Time // expected end of the failure period
	periods       int       // consecutive failure periods
	successes     int       // answers since the newest failure during a failure period
	awaitingProbe bool      // no answer yet since the failure period
	lost          float64   // share of lost answers (loss rate) at lossUpdated
	lossUpdated   time.Time
}

// failurePeriodEstimate estimates how long the servers of a service fail at a time.
// It is updated by probes: the first requests after each failure period.
type failurePeriodEstimate struct{ value time.Duration }

func (e *failurePeriodEstimate) observe(failed bool) {
	factor := failurePeriodShrink
	if failed {
		factor = failurePeriodGrowth
	}
	e.value = min(maxFailurePeriod, max(minFailurePeriod, time.Duration(float64(e.value)*factor)))
}

// observeSuccess records that a request that started at the given time was
// answered. Failing servers answer some requests, so in the first half of a failure
// period it takes earlyEndSuccesses consecutive answers to end it.
func (h *health) observeSuccess(started time.Time, period *failurePeriodEstimate) {
	if h.periods > 0 && started.Before(h.failingUntil) {
		if started.Before(h.lastFailure) {
			return
		}
		h.successes++
		if h.successes < earlyEndSuccesses && started.Before(h.lastFailure.Add(period.value/2)) {
			return
		}
		h.failingUntil = started
	}
	if h.awaitingProbe {
		h.awaitingProbe = false
		if started.Sub(h.failingUntil) < probeWindow {
			period.observe(false)
		}
	}
	if started.After(h.lastSuccess) {
		h.lastSuccess = started
	}
	if started.Sub(h.failingUntil) > probeWindow {
		h.periods = 0
	}
}

// observeFastFailure records that the server quickly failed a request that started
// at the given time.
func (h *health) observeFastFailure(now, started time.Time, period *failurePeriodEstimate) {
	h.successes = 0
	if started.Before(h.failingUntil) {
		return // the failure period has been recorded
	}
	if started.Sub(h.failingUntil) > probeWindow {
		h.periods = 0 // a new failure period
	} else if h.awaitingProbe {
		period.observe(true)
	}
	if h.periods == 0 {
		h.failingSince = now
	}
	h.periods = min(maxFailurePeriods, h.periods+1)
	h.lastFailure, h.awaitingProbe = now, true
	h.failingUntil = now.Add(period.value * time.Duration(h.periods))
}

// observeOutcome records whether the answer of a request was lost or broken after
// the usual processing time. Such losses are isolated, so they change the loss rate
// and start no failure period.
func (h *health) observeOutcome(now time.Time, lost bool) {
	h.lost = h.lossRate(now)
	outcome := 0.0
	if lost {
		outcome = 1
	}
	h.lost += lossWeight * (outcome - h.lost)
	h.lossUpdated = now
}

// lossRate returns the share of the server's answers that are lost after processing.
func (h *health) lossRate(now time.Time) float64 {
	if h.lost < negligibleLossRate {
		return 0
	}
	return h.lost * math.Exp(-now.Sub(h.lossUpdated).Seconds()/lossDecay.Seconds())
}

// failingProbability returns the probability that the server is failing, given the
// share of the servers that are failing at a random moment.
func (h *health) failingProbability(now time.Time, share float64) float64 {
	if h.periods > 0 && h.lastFailure.After(h.lastSuccess) {
		if now.Before(h.failingUntil) {
			return 1
		}
		return share + (1-share)*math.Exp(-now.Sub(h.failingUntil).Seconds()/failureDecay.Seconds())
	}
	if h.lastSuccess.IsZero() {
		return share
	}
	return share * (1 - math.Exp(-now.Sub(h.lastSuccess).Seconds()/successDecay.Seconds()))
}

// recovery ranks servers in failure periods by the time since their first failure: from
// 0 for a server that has just begun to fail to 1 from maxRecoveryTime on, and for
// servers that are not in a failure period.
func (h *health) recovery(now time.Time) float64 {
	if h.periods == 0 {
		return 1
	}
	return min(1, now.Sub(h.failingSince).Seconds()/maxRecoveryTime.Seconds())
}

// stale reports whether the server's present state is unknown, because its last
// outcomes are too old.
func (h *health) stale(now time.Time) bool {
	return now.Sub(h.lastSuccess) > 2*successDecay && now.Sub(h.failingUntil) > 2*failureDecay
}

// failingShare estimates the share of the servers that are failing at a random
// moment, from the outcomes of requests to servers of unknown state.
type failingShare struct{ value float64 }

func (s *failingShare) observe(failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.value = min(maxFailingShare, max(minFailingShare, s.value+(outcome-s.value)/failingShareProbes))
}
