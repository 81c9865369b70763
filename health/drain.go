package health

import (
	"time"

	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// drain is what the judge knows about a server that leaves. An answer that
// says so counts more than the health endpoint, which may lag behind it.
type drain struct {
	active            bool
	since             time.Time
	flagSeen          bool // the health endpoint showed the flag or did not answer since
	probesWithoutFlag int  // probes in a row without the flag
}

func (d *drain) expire(now time.Time) {
	if d.active && now.Sub(d.since) >= drainTimeout {
		*d = drain{}
	}
}

// sawDrain records that a server says that it leaves.
func (d *Judge) recordDrain(now time.Time, s *server, by string) {
	if !s.drain.active {
		s.drain = drain{active: true}
		d.version++
		d.event(timeline.KindDraining, s, "says that it leaves, by %s", by)
	}
	s.drain.since, s.drain.probesWithoutFlag = now, 0
}

// Probe is the outcome of one health request to a server.
type Probe struct {
	Server   string
	Answered bool // with a success
	Draining bool
}

// Probes returns the servers to probe now: those that callers' requests tell
// nothing about, and those that drain. A probe occupies a slot of the server
// for about 25 ms, so only the home probes, and rarely.
func (d *Judge) Probes(now time.Time) []string {
	var due []string
	for _, s := range d.servers {
		period, idle := probeIdleTime, now.Sub(s.lastAnswered)
		if s.drain.active {
			period, idle = drainProbePeriod, drainProbePeriod
		}
		if idle >= probeIdleTime && now.Sub(s.applyProbe) >= period {
			s.applyProbe = now
			due = append(due, s.Name)
		}
	}
	return due
}

// Probed takes in the outcome of a probe. A good health answer says little, so
// it only ends drains and stands in for requests to a server in probation that
// gets none.
func (d *Judge) Probed(now time.Time, probe Probe) {
	for i, s := range d.servers {
		if s.Name == probe.Server {
			d.applyProbe(now, i, s, probe)
		}
	}
}

func (d *Judge) applyProbe(now time.Time, i int, s *server, probe Probe) {
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

func (d *Judge) endDrain(now time.Time, i int, s *server) {
	s.drain = drain{}
	d.version++
	d.event(timeline.KindDrainEnded, s, "%d health answers without the drain flag", drainEndProbes)
	if s.state == wire.StateInService {
		s.state, s.since, s.until = wire.StateSlowStart, now, now.Add(slowStartDuration)
		d.fleet.reset(i, 0)
	}
}
