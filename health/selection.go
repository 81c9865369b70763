package health

import (
	"math/rand/v2"
	"slices"
	"time"

	"lacewingmount.dev/balance"
	"lacewingmount.dev/wire"
)

const (
	eligibilityPeriod = 100 * time.Millisecond
	baseShedBackoff   = time.Second // after a server rejected a request; doubles with each rejection in a row
	maxShedBackoff    = 30 * time.Second

	// Base severities. If the floor limits removals, those with the lowest
	// severity are undone first.
	severityEjected = 1000.0
	severityZone    = 100.0
	severityPath    = 10.0
)

// Eligibility says whether and to what extent a server may be used now.
type Eligibility struct {
	Usable       bool // for any request
	Probation    bool // for a few idempotent requests only
	Suspect      bool
	FullCapacity bool    // not draining, not in slow start
	Weight       float64 // share of a full server's requests
}

// Eligibilities returns the eligibility of every server. The floor is enforced over
// the owner's verdict and the VM's own avoidances together.
func (v *View) Eligibilities(now time.Time) []Eligibility {
	if !v.eligibilityStale && now.Sub(v.eligibilityAt) < eligibilityPeriod {
		return v.eligibilities
	}
	v.eligibilityStale, v.eligibilityAt = false, now
	valid := now.Before(v.expires)
	capacities := make([]ServerCapacity, len(v.servers))
	v.eligibilities = v.eligibilities[:0]
	for i, s := range v.servers {
		capacities[i] = v.capacityOf(now, s, valid)
		v.eligibilities = append(v.eligibilities, v.eligibilityOf(now, s, valid))
	}
	for i, removed := range EnforceFloor(capacities, v.service.Floor) {
		eligibility := &v.eligibilities[i]
		draining := v.servers[i].isDraining()
		eligibility.FullCapacity = !capacities[i].Reduced
		eligibility.Usable = !removed && !draining
		eligibility.Probation = eligibility.Probation && removed && !draining
		eligibility.Suspect = eligibility.Suspect || capacities[i].Remove
	}
	return v.eligibilities
}

func (s *viewServer) isDraining() bool { return s.draining || s.ownerVerdict.Draining }

// weight returns the share of a full server's requests: below 1 in slow start,
// else 1.
func (s *viewServer) weight(now time.Time, valid bool) float64 {
	if valid && s.ownerVerdict.State == wire.StateSlowStart {
		return min(max(s.ownerVerdict.Weight, slowStartMinWeight), 1)
	}
	if left := s.slowStartUntil.Sub(now); left > 0 {
		return 1 - (1-slowStartMinWeight)*left.Seconds()/slowStartDuration.Seconds()
	}
	return 1
}

func (v *View) capacityOf(now time.Time, s *viewServer, valid bool) ServerCapacity {
	slow := valid && s.ownerVerdict.State == wire.StateSlowStart || now.Before(s.slowStartUntil)
	capacity := ServerCapacity{Reduced: s.isDraining() || slow}
	switch {
	case valid && s.ownerVerdict.State.Removed():
		capacity.Remove, capacity.Severity = true, severityEjected+s.ownerVerdict.Severity
	case valid && slices.Contains(s.ownerVerdict.AvoidingZones, v.zone):
		capacity.Remove, capacity.Severity = true, severityZone
	case now.Before(s.avoidUntil):
		capacity.Remove, capacity.Severity = true, severityPath
	}
	return capacity
}

func (v *View) eligibilityOf(now time.Time, s *viewServer, valid bool) Eligibility {
	return Eligibility{
		Weight:    s.weight(now, valid),
		Probation: valid && s.ownerVerdict.State == wire.StateProbation,
		Suspect:   valid && s.ownerVerdict.Suspect || s.suspect,
	}
}

// Request holds the properties of a request that the selection of a server needs.
type Request struct {
	Protected  bool // must not be executed twice
	Idempotent bool // may be retried on another server
}

// Pick selects a server for which tried returns false. ok is false if there is none.
func (v *View) Pick(now time.Time, request Request, tried func(index int) bool, random *rand.Rand) (index int, ok bool) {
	eligibilities := v.Eligibilities(now)
	if request.Idempotent && !request.Protected {
		if index, ok := v.pickInProbation(now, eligibilities, tried, random); ok {
			return index, true
		}
	}
	limit := balance.InFlightLimit(v.limits.Connections, v.members)
	candidates := make([]balance.Candidate, 0, len(eligibilities))
	for i, eligibility := range eligibilities {
		s := v.servers[i]
		if !eligibility.Usable || !s.inSubset || len(s.attempts) >= limit || tried(i) {
			continue
		}
		candidates = append(candidates, balance.Candidate{
			Index: i, InFlight: len(s.attempts), Slots: v.limits.Slots,
			SameZone: s.Zone == v.zone, Weight: eligibility.Weight, Latency: s.latency,
			Suspect: eligibility.Suspect, Shedding: now.Before(s.shedUntil) || s.ownerVerdict.Shedding && now.Before(v.expires),
		})
	}
	return balance.Pick(candidates, request.Protected, random)
}

// pickInProbation selects a server in probation that is due for a request of this
// VM. All VMs together send probationRequestRate requests per second to it.
func (v *View) pickInProbation(now time.Time, eligibilities []Eligibility, tried func(int) bool, random *rand.Rand) (index int, ok bool) {
	interval := time.Duration(float64(v.members) / probationRequestRate * float64(time.Second))
	for i, eligibility := range eligibilities {
		s := v.servers[i]
		if !eligibility.Probation || tried(i) || len(s.attempts) > 0 {
			continue
		}
		if s.nextProbationRequest.IsZero() {
			s.nextProbationRequest = now.Add(time.Duration(random.Float64() * float64(interval)))
		}
		if now.Before(s.nextProbationRequest) {
			continue
		}
		s.nextProbationRequest = now.Add(interval)
		return i, true
	}
	return 0, false
}
