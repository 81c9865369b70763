package health

import (
	"time"

	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// drain is what the judge knows about a server that leaves. An answer that
// says so counts more than the health endpoint, which may lag behind it.
type drain struct {
	active bool
	since  time.Time
	shown  bool // the health endpoint showed the flag or did not answer since
	clean  int  // probes in a row without the flag
}

func (d *drain) expire(now time.Time) {
	if d.active && now.Sub(d.since) >= drainForgotten {
		*d = drain{}
	}
}

// sawDrain records that a server says that it leaves.
func (j *Judge) sawDrain(now time.Time, s *server, by string) {
	if !s.drain.active {
		s.drain = drain{active: true}
		j.version++
		j.event(timeline.KindDraining, s, "says that it leaves, by %s", by)
	}
	s.drain.since, s.drain.clean = now, 0
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
func (j *Judge) Probes(now time.Time) []string {
	var due []string
	for _, s := range j.servers {
		period, idle := probeQuiet, now.Sub(s.seen)
		if s.drain.active {
			period, idle = probeDraining, probeDraining
		}
		if idle >= probeQuiet && now.Sub(s.probed) >= period {
			s.probed = now
			due = append(due, s.Name)
		}
	}
	return due
}

// Probed takes in the outcome of a probe. A good health answer says little, so
// it only ends drains and stands in for requests to a server in probation that
// gets none.
func (j *Judge) Probed(now time.Time, probe Probe) {
	for i, s := range j.servers {
		if s.Name == probe.Server {
			j.probed(now, i, s, probe)
		}
	}
}

func (j *Judge) probed(now time.Time, i int, s *server, probe Probe) {
	switch {
	case probe.Draining:
		j.sawDrain(now, s, "its health answer")
		s.drain.shown = true
	case s.drain.active && !probe.Answered:
		s.drain.shown, s.drain.clean = true, 0
	case s.drain.active:
		s.drain.clean++
		if s.drain.shown && s.drain.clean >= cleanProbes {
			j.endDrain(now, i, s)
		}
	case probe.Answered && s.state == wire.StateProbation && now.Sub(s.seen) >= probeQuiet:
		s.trials++
		if s.trials >= trialsNeeded {
			j.startSlowly(now, i, s)
		}
	}
}

func (j *Judge) endDrain(now time.Time, i int, s *server) {
	s.drain = drain{}
	j.version++
	j.event(timeline.KindDrainEnded, s, "%d health answers without the drain flag", cleanProbes)
	if s.state == wire.StateInService {
		s.state, s.since, s.until = wire.StateSlowStart, now, now.Add(slowStart)
		j.fleet.reset(i, 0)
	}
}
