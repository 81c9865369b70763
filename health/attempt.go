package health

import (
	"time"

	"lacewingmount.dev/wire"
)

// Ending says how an attempt at a server ended.
type Ending int

// Endings.
const (
	Answered  Ending = iota // whole, and not an error of the server's own
	Failed                  // answered with an error of the server's own
	Broken                  // no whole answer
	Cancelled               // given up by the caller or in favour of another attempt
	Shed                    // not run, by the server's own account
)

// Outcome is what an attempt met.
type Outcome struct {
	Ending   Ending
	Draining bool // the answer said that the server leaves
}

// Attempt is one request sent to one server.
type Attempt struct {
	server  *viewServer
	started time.Time
	index   int  // in viewed.attempts
	fresh   bool // on a connection of its own, so that silence is not the connection's
	counted bool // as stalled
}

// viewed is the view's state of one server.
type viewServer struct {
	Server
	inSubset bool // in the subset of servers that this VM uses
	attempts []*Attempt
	counts   Counts // since the entry started
	tested   Counts // part of counts that the tests of the VM's own path have seen
	acked    Counts // part that the home has answered
	inReport Counts // part in the report under way

	ownerVerdict          wire.ServerVerdict
	draining              bool      // by an answer that this VM got; the home has not confirmed it yet
	slowStartUntil        time.Time // for a server that was added
	avoidUntil            time.Time // end of the last avoidance of the VM's own path
	returnReported        bool      // the avoidance is over and was told
	consecutiveAvoidances int       // avoidances in a row
	suspect               bool      // by the VM's own requests
	nextProbationRequest  time.Time // in probation
	shedUntil             time.Time // the server refused requests; others are preferred until then
	consecutiveSheds      int
	latency               float64 // mean of its answers, seconds
	unansweredReused      uint32  // requests without an answer on connections that had been idle
	checkInProgress       bool    // a request on a fresh connection is under way
}

// Begin notes that a request goes to the server with the given index.
func (v *View) Begin(now time.Time, index int) *Attempt {
	s := v.servers[index]
	attempt := &Attempt{server: s, started: now, index: len(s.attempts)}
	s.attempts = append(s.attempts, attempt)
	return attempt
}

// Connected notes that the attempt got a connection, and whether an earlier
// request had used it: such a connection may have gone silent.
func (v *View) Connected(attempt *Attempt, reused bool) { attempt.fresh = !reused }

// Record takes in an attempt that Begin was not told of.
func (v *View) Record(now time.Time, index int, took time.Duration, reused bool, outcome Outcome) {
	attempt := v.Begin(now.Add(-took), index)
	attempt.fresh = !reused
	v.End(now, attempt, outcome)
}

// End takes in how an attempt ended.
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
	v.count(now, attempt, outcome.Ending)
}

// count counts an attempt once: when it stalls or when it ends.
func (v *View) count(now time.Time, attempt *Attempt, ending Ending) {
	s, took := attempt.server, now.Sub(attempt.started)
	s.updateLatency(ending, took)
	if attempt.counted && (attempt.fresh || ending != Answered) {
		return // an answer shows that the connection was not silent
	}
	switch ending {
	case Answered:
		s.consecutiveSheds = 0
		s.counts.Answered[Bucket(took)]++
		v.urgent = v.urgent || Bucket(took) >= v.stallBucket
	case Cancelled:
		if attempt.fresh {
			s.counts.Pending[Bucket(took)]++
		} else {
			s.counts.Doubtful[Bucket(took)]++
		}
	case Shed:
		s.counts.Shed++
		s.shedUntil = now.Add(min(baseShedBackoff<<min(s.consecutiveSheds, 10), maxShedBackoff))
		s.consecutiveSheds++
	case Failed:
		v.urgent = true
		s.counts.Failed++
	case Broken:
		v.urgent = true
		if attempt.fresh {
			s.counts.Failed++
		} else {
			s.unansweredReused++
		}
	}
}

// countStalled counts the attempts that have waited longer than the pool's
// slowest usual answers.
func (v *View) countStalled(now time.Time) {
	for _, s := range v.servers {
		for _, attempt := range s.attempts {
			if attempt.counted || now.Sub(attempt.started) < LowerBound(v.stallBucket) {
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

// Checks returns the servers that need a request on a fresh connection, because
// requests got no answer on connections used before. Checked must follow.
func (v *View) Checks() []int {
	var due []int
	for i, s := range v.servers {
		if s.unansweredReused > 0 && !s.checkInProgress {
			s.checkInProgress = true
			due = append(due, i)
		}
	}
	return due
}

// Checked takes in whether the named server answered on a fresh connection. If
// it did, the connections may have been at fault.
func (v *View) Checked(server string, answered bool) {
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
	latencyGain    = 0.1 // weight of one answer in a server's mean latency
	failurePenalty = 4   // a failure counts as an answer this many times slower
)

// learnLatency keeps the mean latency that the choice of a server uses, in seconds.
func (s *viewServer) updateLatency(ending Ending, took time.Duration) {
	sample := took.Seconds()
	switch ending {
	case Shed:
		return
	case Failed, Broken, Cancelled:
		sample = max(sample, failurePenalty*s.latency)
	}
	if s.latency == 0 {
		s.latency = sample
		return
	}
	s.latency += latencyGain * (sample - s.latency)
}
