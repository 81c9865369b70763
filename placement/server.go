package placement

import "time"

const (
	latencyWeight      = 0.15                   // weight of the newest answer in a server's mean latency
	shedBackoff        = 150 * time.Millisecond // time without grants after a server refused a request because it was full
	unreachableBackoff = 3 * time.Second        // time for which a VM that could not connect to a server avoids it
	overdueFactor      = 1.5                    // multiple of the high latency after which a running request counts as a failure
	minOverdue         = time.Second            // lower bound of that time; short latencies vary more
	suspectThreshold   = 0.4                    // failing probability above which a server gets one request at a time
	idleConnTTL        = 8 * time.Second        // servers keep idle connections for about 10 s
	maxIdleConns       = 64                     // VMs in a server's connected map above which expired ones are dropped
	downMinVMs         = 2                      // VMs that cannot reach a server before it counts as down
	downBackoff        = time.Second            // time without grants for a server that is down; an attempt costs a failed connection
)

// server holds a Broker's state of one backend server.
type server struct {
	Server
	warmupUntil   time.Time
	health        health
	failurePeriod *failurePeriodEstimate // shared by the servers of the service
	probeStarted  time.Time              // start of a request that was sent while the server's state was unknown; zero if none is open
	used          time.Time              // time of the newest grant; zero if there was none
	joinedAt      time.Time
	evacuatedAt   time.Time // since which its zone is evacuated
	returnedAt    time.Time // when the last evacuation of its zone ended
	coldPerS      float64   // requests per second that it gets while it is cold; 0 for any number
	coldUntil     time.Time // until which it gets coldPerS, unless its record changes
	coldBucket    bucket
	latency       float64 // mean of its answers, seconds; 0 if unknown
	fullUntil     time.Time
	downUntil     time.Time
	running       map[RequestID]*grant
	overdue       int                  // number of running requests that are overdue
	connected     map[string]time.Time // time since which a VM has an idle connection, by VM name
	avoidedUntil  map[string]time.Time // time until which a VM that could not connect avoids the server, by VM name
	limit         *serverLimit         // nil if the server has named none
}

func newServer(now time.Time, registered Server, failurePeriod *failurePeriodEstimate) *server {
	s := &server{failurePeriod: failurePeriod, running: map[RequestID]*grant{}, avoidedUntil: map[string]time.Time{}, connected: map[string]time.Time{}}
	s.register(now, registered)
	return s
}

// register updates the registration. If it is of a new process, the history is
// cleared.
func (s *server) register(now time.Time, registered Server) {
	if s.ID == "" || s.Born != registered.Born {
		s.health, s.latency, s.used, s.joinedAt, s.limit = health{}, 0, time.Time{}, now, nil
		s.coldUntil, s.returnedAt = time.Time{}, time.Time{}
		clear(s.connected)
	}
	if warmupEnd := now.Add(registered.Cold); registered.Cold != s.Cold {
		s.warmupUntil = warmupEnd
	}
	switch {
	case registered.Evacuated && !s.Evacuated:
		s.evacuatedAt = now
	case !registered.Evacuated && s.Evacuated:
		s.returnedAt = now
	}
	s.Server = registered
}

// hasSlot reports whether a slot may be granted to a VM that can reach the server.
func (s *server) hasSlot(now time.Time, failingProbability float64) bool {
	slots := s.Slots
	if failingProbability > suspectThreshold {
		slots = min(slots, 1+s.overdue) // overdue requests do not probe the present state
	}
	return s.accepts() && len(s.running) < slots && now.After(s.fullUntil) && now.After(s.downUntil)
}

// reachableFrom reports whether the VM is not avoiding the server after a failed
// connection.
func (s *server) reachableFrom(now time.Time, vm string) bool {
	until, avoided := s.avoidedUntil[vm]
	if avoided && now.After(until) {
		delete(s.avoidedUntil, vm)
		avoided = false
	}
	return !avoided
}

// observeOutcome records the outcome of a request. A failure that took less than
// fastLimit counts as fast.
func (s *server) observeOutcome(now time.Time, vm string, outcome Outcome, took, fastLimit time.Duration) {
	s.updateConnected(now, vm, outcome)
	switch outcome {
	case Answered:
		s.health.observeSuccess(now.Add(-took), s.failurePeriod)
		s.health.observeOutcome(now, false)
		s.observeLatency(took)
		delete(s.avoidedUntil, vm)
	case Failed, Broken:
		if took < fastLimit {
			s.health.observeFastFailure(now, now.Add(-took), s.failurePeriod)
		} else {
			s.health.observeOutcome(now, true)
		}
	case Shed:
		s.fullUntil = now.Add(shedBackoff)
	case Unreachable, Silent:
		s.backOffPath(now, vm)
	case Misdirected:
		s.health.observeFastFailure(now, now, s.failurePeriod)
	}
}

// updateConnected records whether the VM has an idle connection to the server.
func (s *server) updateConnected(now time.Time, vm string, outcome Outcome) {
	switch outcome {
	case Answered, Failed, Shed:
		s.connected[vm] = now
	default:
		delete(s.connected, vm)
	}
	if len(s.connected) <= maxIdleConns {
		return
	}
	for other, since := range s.connected {
		if now.Sub(since) > idleConnTTL {
			delete(s.connected, other)
		}
	}
}

// backOffPath makes a VM avoid the server for unreachableBackoff, because it cannot
// reach it. A server that downMinVMs VMs cannot reach counts as down, unless it has
// answered a request that began after their attempts: then only some paths are cut.
func (s *server) backOffPath(now time.Time, vm string) {
	s.avoidedUntil[vm] = now.Add(unreachableBackoff)
	failedPaths := 0
	for _, until := range s.avoidedUntil {
		if now.Before(until) && until.Add(-unreachableBackoff).After(s.health.lastSuccess) {
			failedPaths++
		}
	}
	if failedPaths >= downMinVMs {
		s.downUntil = now.Add(downBackoff)
	}
}

// observeLatency updates the mean latency.
func (s *server) observeLatency(took time.Duration) {
	if s.latency == 0 {
		s.latency = took.Seconds()
		return
	}
	s.latency += latencyWeight * (took.Seconds() - s.latency)
}

// observeRunning counts requests that have run for longer than fastLimit as evidence
// that the server was healthy when they began: a failing server would have failed
// them by then.
func (s *server) observeRunning(now time.Time, fastLimit time.Duration) {
	for _, g := range s.running {
		if g.startedAt.After(s.health.lastSuccess) && now.Sub(g.startedAt) > fastLimit && !g.overdue {
			s.health.observeSuccess(g.startedAt, s.failurePeriod)
		}
	}
}

// markOverdue counts requests that have run for longer than the limit as evidence
// that their VM cannot reach the server, each request once.
func (s *server) markOverdue(now time.Time, limit time.Duration) {
	for _, g := range s.running {
		if !g.overdue && now.Sub(g.startedAt) > limit {
			g.overdue = true
			s.overdue++
			s.backOffPath(now, g.requestID.VM)
		}
	}
}
