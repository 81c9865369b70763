package health

import (
	"time"

	"lacewingmount.dev/wire"
)

// Completion says how an attempt ended.
type Completion int

// Completions.
const (
	Answered   Completion = iota // complete response without a server error
	Failed                       // complete response with a server error
	Incomplete                   // no complete response
	Cancelled                    // by the caller or in favor of another attempt
	Shed                         // rejected by the server without running it
)

// Outcome is the outcome of an attempt.
type Outcome struct {
	Completion Completion
	Draining   bool // the response carried the drain flag
}

// Attempt is one request sent to one server. It is in flight until End.
type Attempt struct {
	server  *viewServer
	started time.Time
	index   int  // in viewServer.attempts
	fresh   bool // on a new connection, so a missing response is not due to a dead reused one
	counted bool // was counted as stalled
}

// viewServer is the view's state of one server.
type viewServer struct {
	Server
	inSubset bool // in the subset of servers that this VM uses
	attempts []*Attempt
	counts   Counts // since the entry process started
	tested   Counts // part of counts that the VM's own tests have observed
	acked    Counts // part that the owner has acknowledged
	inReport Counts // part in the report in flight

	ownerVerdict          wire.ServerVerdict
	draining              bool      // seen in a response to this VM, not yet confirmed by the owner
	slowStartUntil        time.Time // for a server that was added by a configuration change
	avoidUntil            time.Time // end of the last avoidance by this VM alone
	returnReported        bool      // the end of the avoidance was recorded as an event
	consecutiveAvoidances int       // reset after ejectionCountDecay without an avoidance
	suspect               bool      // according to the VM's own requests
	nextProbationRequest  time.Time // for a server in probation
	shedUntil             time.Time // the server rejected requests; others are preferred until then
	consecutiveSheds      int
	latency               float64 // moving average, seconds
	unansweredReused      uint32  // requests without a response on reused connections, not yet in counts
	checkInProgress       bool    // a request on a new connection is in flight
}

// Begin records that a request is sent to the server with the given index. End
// must follow.
func (v *View) Begin(now time.Time, index int) *Attempt {
	s := v.servers[index]
	attempt := &Attempt{server: s, started: now, index: len(s.attempts)}
	s.attempts = append(s.attempts, attempt)
	return attempt
}

// Connected records that the attempt got a connection, and whether earlier requests
// had used the connection. Such a connection can be dead without an error.
func (v *View) Connected(attempt *Attempt, reused bool) { attempt.fresh = !reused }

// RecordAttempt records a finished attempt for which Begin was not called.
func (v *View) RecordAttempt(now time.Time, index int, took time.Duration, reused bool, outcome Outcome) {
	attempt := v.Begin(now.Add(-took), index)
	attempt.fresh = !reused
	v.End(now, attempt, outcome)
}

// End records the outcome of an attempt.
func (v *View) End(now time.Time, attempt *Attempt, outcome Outcome) {
	s := attempt.server
	last := len(s.attempts) - 1
	s.attempts[attempt.index] = s.attempts[last]
	s.attempts[attempt.index].index = attempt.index
	s.attempts[last] = nil
	s.attempts = s.attempts[:last]
	if outcome.Draining && !s.isDraining() {
		s.draining, v.urgent, v.eligibilityStale = true, true, true
	}
	v.count(now, attempt, outcome.Completion)
}

// count counts an attempt once: when it stalls or when it ends.
func (v *View) count(now time.Time, attempt *Attempt, completion Completion) {
	s, took := attempt.server, now.Sub(attempt.started)
	s.updateLatency(completion, took)
	if attempt.counted && (attempt.fresh || completion != Answered) {
		return // a response shows that the reused connection works
	}
	switch completion {
	case Answered:
		s.consecutiveSheds = 0
		s.counts.Answered[LatencyBucket(took)]++
		v.urgent = v.urgent || LatencyBucket(took) >= v.stallBucket
	case Cancelled:
		if attempt.fresh {
			s.counts.Pending[LatencyBucket(took)]++
		} else {
			s.counts.Doubtful[LatencyBucket(took)]++
		}
	case Shed:
		s.counts.Shed++
		s.shedUntil = now.Add(min(baseShedBackoff<<min(s.consecutiveSheds, 10), maxShedBackoff))
		s.consecutiveSheds++
	case Failed:
		v.urgent = true
		s.counts.Failed++
	case Incomplete:
		v.urgent = true
		if attempt.fresh {
			s.counts.Failed++
		} else {
			s.unansweredReused++
		}
	}
}

// countStalled counts the attempts that have waited for at least the lower bound of
// the stall bucket, which is above the usual latency of the servers.
func (v *View) countStalled(now time.Time) {
	for _, s := range v.servers {
		for _, attempt := range s.attempts {
			if attempt.counted || now.Sub(attempt.started) < BucketLowerBound(v.stallBucket) {
				continue
			}
			attempt.counted, v.urgent = true, true
			if attempt.fresh {
				s.counts.Pending[v.stallBucket]++
			} else {
				s.unansweredReused++
			}
		}
	}
}

// ServersToCheck returns the indexes of servers to probe over a new connection,
// because requests on reused connections got no response. RecordCheck must follow
// for each.
func (v *View) ServersToCheck() []int {
	var due []int
	for i, s := range v.servers {
		if s.unansweredReused > 0 && !s.checkInProgress {
			s.checkInProgress = true
			due = append(due, i)
		}
	}
	return due
}

// RecordCheck records whether the named server responded on a new connection. If it
// did, the reused connections may have failed instead of the server, and the
// requests count as Counts.Doubtful; otherwise they count as failed.
func (v *View) RecordCheck(server string, answered bool) {
	for _, s := range v.servers {
		if s.Name != server {
			continue
		}
		if answered {
			s.counts.Doubtful[v.stallBucket] += s.unansweredReused
		} else {
			s.counts.Failed += s.unansweredReused
		}
		s.unansweredReused, s.checkInProgress, v.urgent = 0, false, true
	}
}

const (
	latencyGain    = 0.1 // weight of one sample in a server's average latency
	failurePenalty = 4   // a failure counts as at least this many times the average latency
)

// updateLatency updates the average latency, which the selection of a server uses.
func (s *viewServer) updateLatency(completion Completion, took time.Duration) {
	sample := took.Seconds()
	switch completion {
	case Shed:
		return
	case Failed, Incomplete, Cancelled:
		sample = max(sample, failurePenalty*s.latency)
	}
	if s.latency == 0 {
		s.latency = sample
		return
	}
	s.latency += latencyGain * (sample - s.latency)
}
