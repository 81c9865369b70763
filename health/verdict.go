package health

import (
	"slices"
	"time"

	"lacewingmount.dev/wire"
)

// Verdict returns the verdict that applies now, for the entries of all VMs.
func (d *Detector) Verdict(now time.Time) wire.HealthVerdict {
	verdict := wire.HealthVerdict{
		Owner: d.owner, Started: d.started.UnixNano(), Version: d.version, ListID: d.listID,
		StallBucket: d.fleet.stallBucket,
	}
	for i, s := range d.servers {
		if one, listed := d.serverVerdict(now, i, s); listed {
			verdict.Servers = append(verdict.Servers, one)
		}
	}
	return verdict
}

func (d *Detector) serverVerdict(now time.Time, i int, s *server) (one wire.ServerVerdict, listed bool) {
	level := round(d.fleet.level(i))
	one = wire.ServerVerdict{Index: i, State: s.state, Draining: s.drain.active, Suspect: level >= suspectLevel, Shedding: s.shedding.refusesMost(now)}
	if one.Suspect {
		one.Severity = level
	}
	switch s.state {
	case wire.StateEjected, wire.StateProbation:
		one.Severity, one.ConsecutiveEjections = round(s.level), s.consecutiveEjections
		one.EjectionLeft = max(s.until.Sub(now).Milliseconds(), 1)
	case wire.StateSlowStart:
		one.Weight = round(1 - (1-slowStartMinWeight)*s.until.Sub(now).Seconds()/slowStartDuration.Seconds())
	}
	for zone := range s.avoided {
		one.AvoidingZones = append(one.AvoidingZones, zone)
	}
	slices.Sort(one.AvoidingZones)
	listed = s.state != wire.StateInService || one.Draining || one.Suspect || one.Shedding || len(one.AvoidingZones) > 0
	return one, listed
}

// round rounds value to two decimal places, to keep messages short.
func round(value float64) float64 {
	return float64(int(value*100+0.5)) / 100
}
