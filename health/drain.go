package health

import (
	"time"

	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// drain is the drain state of a server. The drain flag in a response to a request
// takes precedence over the health endpoint, which may show it later.
type drain struct {
	active            bool
	since             time.Time // last time the flag was seen
	flagSeen          bool      // the health endpoint has shown the flag or failed during the drain
	probesWithoutFlag int       // consecutive successful probes
}

func (d *drain) expire(now time.Time) {
	if d.active && now.Sub(d.since) >= drainTimeout {
		*d = drain{}
	}
}

// recordDrain records that a server announced a drain.
func (d *Detector) recordDrain(now time.Time, s *server, by string) {
	if !s.drain.active {
		s.drain = drain{active: true}
		d.version++
		d.event(timeline.KindDraining, s, "drain announced by %s", by)
	}
	s.drain.since, s.drain.probesWithoutFlag = now, 0
}

// ProbeResult is the outcome of one health request to a server.
type ProbeResult struct {
	Server   string
	Answered bool // with a success status
	Draining bool
}

// Probes returns the names of the servers to probe now: those without recent
// responses to callers' requests, and those that drain. A probe occupies a slot of
// the server for about 25 ms, so only the owner probes, and rarely.
func (d *Detector) Probes(now time.Time) []string {
	var due []string
	for _, s := range d.servers {
		period, idle := probeIdleTime, now.Sub(s.lastAnswered)
		if s.drain.active {
			period, idle = drainProbePeriod, drainProbePeriod
		}
		if idle >= probeIdleTime && now.Sub(s.lastProbed) >= period {
			s.lastProbed = now
			due = append(due, s.Name)
		}
	}
	return due
}

// RecordProbe records the outcome of a probe. A successful health response is weak
// evidence: it can only end a drain, or count as a successful response for a
// server in probation that gets no requests.
func (d *Detector) RecordProbe(now time.Time, probe ProbeResult) {
	for i, s := range d.servers {
		if s.Name == probe.Server {
			d.applyProbe(now, i, s, probe)
		}
	}
}

func (d *Detector) applyProbe(now time.Time, i int, s *server, probe ProbeResult) {
	switch {
	case probe.Draining:
		d.recordDrain(now, s, "its health answer")
		s.drain.flagSeen = true
	case s.drain.active && !probe.Answered:
		s.drain.flagSeen, s.drain.probesWithoutFlag = true, 0
	case s.drain.active:
		s.drain.probesWithoutFlag++
		if s.drain.flagSeen && s.drain.probesWithoutFlag >= drainEndProbes {
			d.endDrain(now, i, s)
		}
	case probe.Answered && s.state == wire.StateProbation && now.Sub(s.lastAnswered) >= probeIdleTime:
		s.probationSuccesses++
		if s.probationSuccesses >= minProbationSuccesses {
			d.beginSlowStart(now, i, s)
		}
	}
}

func (d *Detector) endDrain(now time.Time, i int, s *server) {
	s.drain = drain{}
	d.version++
	d.event(timeline.KindDrainEnded, s, "%d health answers without the drain flag", drainEndProbes)
	if s.state == wire.StateInService {
		s.state, s.since, s.until = wire.StateSlowStart, now, now.Add(slowStartDuration)
		d.fleet.reset(i, 0)
	}
}
