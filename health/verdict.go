package health

import (
	"slices"
	"time"

	"lacewingmount.dev/wire"
)

// Verdict returns what entries need to know now.
func (j *Judge) Verdict(now time.Time) wire.HealthVerdict {
	verdict := wire.HealthVerdict{
		Home: j.home, Started: j.started.UnixNano(), Version: j.version, List: j.list,
		Stall: j.fleet.stall,
	}
	for i, s := range j.servers {
		if one, told := j.verdictOn(now, i, s); told {
			verdict.Servers = append(verdict.Servers, one)
		}
	}
	return verdict
}

func (j *Judge) verdictOn(now time.Time, i int, s *server) (one wire.ServerVerdict, told bool) {
	level := round(j.fleet.level(i))
	one = wire.ServerVerdict{Index: i, State: s.state, Draining: s.drain.active, Suspect: level >= suspectLevel, Shedding: s.shedding.most(now)}
	if one.Suspect {
		one.Severity = level
	}
	switch s.state {
	case wire.StateEjected, wire.StateProbation:
		one.Severity, one.Returns = round(s.level), s.returns
		one.Left = max(s.until.Sub(now).Milliseconds(), 1)
	case wire.StateSlowStart:
		one.Weight = round(1 - (1-slowStartShare)*s.until.Sub(now).Seconds()/slowStart.Seconds())
	}
	for zone := range s.avoided {
		one.Avoid = append(one.Avoid, zone)
	}
	slices.Sort(one.Avoid)
	told = s.state != wire.StateInService || one.Draining || one.Suspect || one.Shedding || len(one.Avoid) > 0
	return one, told
}

// round keeps two digits, for short messages.
func round(value float64) float64 {
	return float64(int(value*100+0.5)) / 100
}
