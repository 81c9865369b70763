package health

import (
	"math/rand/v2"
	"slices"
	"time"

	"lacewingmount.dev/balance"
	"lacewingmount.dev/wire"
)

const (
	standingPeriod = 100 * time.Millisecond
	shedFirst      = time.Second // a server that refused a request is left alone, longer each time in a row
	shedMost       = 30 * time.Second

	// Severities order the removals that the floor may have to undo.
	severityEjected = 1000.0
	severityZone    = 100.0
	severityPath    = 10.0
)

// Standing says whether and how much a server may be used now.
type Standing struct {
	Usable    bool // for any request
	Probation bool // for a few idempotent requests
	Suspect   bool
	Full      bool    // not draining, not in slow start
	Weight    float64 // share of a full server's requests
}

// Standings returns the standing of every server. The floor is enforced over
// everything that the VM was told and found out itself.
func (v *View) Standings(now time.Time) []Standing {
	if !v.dirty && now.Sub(v.standingAt) < standingPeriod {
		return v.standings
	}
	v.dirty, v.standingAt = false, now
	valid := now.Before(v.expires)
	capacities := make([]Capacity, len(v.servers))
	v.standings = v.standings[:0]
	for i, s := range v.servers {
		capacities[i] = v.capacityOf(now, s, valid)
		v.standings = append(v.standings, v.standingOf(now, s, valid))
	}
	for i, removed := range Enforce(capacities, v.service.Floor) {
		standing := &v.standings[i]
		draining := v.servers[i].leaving()
		standing.Full = !capacities[i].Absent
		standing.Usable = !removed && !draining
		standing.Probation = standing.Probation && removed && !draining
		standing.Suspect = standing.Suspect || capacities[i].Remove
	}
	return v.standings
}

func (s *viewed) leaving() bool { return s.draining || s.told.Draining }

// weight returns the server's share of requests while it starts slowly, else 1.
func (s *viewed) weight(now time.Time, valid bool) float64 {
	if valid && s.told.State == wire.StateSlowStart {
		return min(max(s.told.Weight, slowStartShare), 1)
	}
	if left := s.coldUntil.Sub(now); left > 0 {
		return 1 - (1-slowStartShare)*left.Seconds()/slowStart.Seconds()
	}
	return 1
}

func (v *View) capacityOf(now time.Time, s *viewed, valid bool) Capacity {
	slow := valid && s.told.State == wire.StateSlowStart || now.Before(s.coldUntil)
	capacity := Capacity{Absent: s.leaving() || slow}
	switch {
	case valid && s.told.State.Removed():
		capacity.Remove, capacity.Severity = true, severityEjected+s.told.Severity
	case valid && slices.Contains(s.told.Avoid, v.zone):
		capacity.Remove, capacity.Severity = true, severityZone
	case now.Before(s.avoidUntil):
		capacity.Remove, capacity.Severity = true, severityPath
	}
	return capacity
}

func (v *View) standingOf(now time.Time, s *viewed, valid bool) Standing {
	return Standing{
		Weight:    s.weight(now, valid),
		Probation: valid && s.told.State == wire.StateProbation,
		Suspect:   valid && s.told.Suspect || s.suspect,
	}
}

// Request says what the choice of a server depends on.
type Request struct {
	Protected  bool // must not run twice
	Idempotent bool // may be tried again elsewhere
}

// Pick chooses a server that was not tried yet.
func (v *View) Pick(now time.Time, request Request, tried func(index int) bool, random *rand.Rand) (index int, ok bool) {
	standings := v.Standings(now)
	if request.Idempotent && !request.Protected {
		if index, ok := v.pickTrial(now, standings, tried, random); ok {
			return index, true
		}
	}
	limit := balance.InFlightLimit(v.limits.Connections, v.members)
	candidates := make([]balance.Candidate, 0, len(standings))
	for i, standing := range standings {
		s := v.servers[i]
		if !standing.Usable || !s.used || len(s.attempts) >= limit || tried(i) {
			continue
		}
		candidates = append(candidates, balance.Candidate{
			Index: i, InFlight: len(s.attempts), Slots: v.limits.Slots,
			SameZone: s.Zone == v.zone, Weight: standing.Weight, Latency: s.latency,
			Suspect: standing.Suspect, Shedding: now.Before(s.shedUntil) || s.told.Shedding && now.Before(v.expires),
		})
	}
	return balance.Pick(candidates, request.Protected, random)
}

// pickTrial chooses a server in probation if one is due for a request of this
// VM. Together the VMs send trialRate requests a second.
func (v *View) pickTrial(now time.Time, standings []Standing, tried func(int) bool, random *rand.Rand) (index int, ok bool) {
	interval := time.Duration(float64(v.members) / trialRate * float64(time.Second))
	for i, standing := range standings {
		s := v.servers[i]
		if !standing.Probation || tried(i) || len(s.attempts) > 0 {
			continue
		}
		if s.nextTrial.IsZero() {
			s.nextTrial = now.Add(time.Duration(random.Float64() * float64(interval)))
		}
		if now.Before(s.nextTrial) {
			continue
		}
		s.nextTrial = now.Add(interval)
		return i, true
	}
	return 0, false
}
