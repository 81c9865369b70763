// Package balance chooses the backend server for a request. It is deterministic:
// the source of randomness is passed in.
package balance

import "math/rand/v2"

// Candidate is a backend server that may be chosen.
type Candidate struct {
	Index    int     // position in the service's server list
	InFlight int     // requests that this VM has in flight at the server
	Slots    int     // requests that the server runs concurrently
	SameZone bool    // whether it is in the VM's own availability zone
	Weight   float64 // share of the requests that it gets compared to a warmed-up server, above 0 and at most 1
	Latency  float64 // mean response time, seconds; 0 if unknown
	Suspect  bool    // may be failing; protected requests use another server if one has a free slot
	Shedding bool    // currently refuses requests
}

const (
	exploreOneIn     = 8   // one request in so many goes to another zone, so that each VM also has data on the servers there
	spilloverLoad    = 0.5 // share of the slots in use above which other zones are considered
	latencyTolerance = 1.5 // ratio of mean latencies up to which a slower server costs no more
)

// Pick chooses the better of two random candidates in the VM's own zone. If that
// one is busy or suspect, it is compared with the better of two among all zones.
// Pick returns the Index of the choice; ok is false if there are no candidates.
func Pick(candidates []Candidate, protected bool, random *rand.Rand) (index int, ok bool) {
	candidates = preferCandidates(candidates, func(c Candidate) bool { return !c.Shedding })
	if protected {
		candidates = preferCandidates(candidates, func(c Candidate) bool { return !c.Suspect })
	}
	if len(candidates) == 0 {
		return 0, false
	}
	sameZone, otherZones := splitByZone(candidates)
	if len(sameZone) == 0 || len(otherZones) > 0 && random.IntN(exploreOneIn) == 0 {
		return pickBetterOfTwo(otherZones, random).Index, true
	}
	best := pickBetterOfTwo(sameZone, random)
	if best.load() > spilloverLoad || best.Suspect {
		best = lowerCost(best, pickBetterOfTwo(candidates, random))
	}
	return best.Index, true
}

// preferCandidates returns the eligible candidates, or all candidates if no
// eligible one has a free slot.
func preferCandidates(candidates []Candidate, eligible func(Candidate) bool) []Candidate {
	preferred := make([]Candidate, 0, len(candidates))
	hasFreeSlot := false
	for _, c := range candidates {
		if eligible(c) {
			preferred = append(preferred, c)
			hasFreeSlot = hasFreeSlot || c.load() <= 1
		}
	}
	if !hasFreeSlot {
		return candidates
	}
	return preferred
}

func splitByZone(candidates []Candidate) (sameZone, otherZones []Candidate) {
	sameZone = make([]Candidate, 0, len(candidates))
	otherZones = make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.SameZone {
			sameZone = append(sameZone, c)
		} else {
			otherZones = append(otherZones, c)
		}
	}
	return sameZone, otherZones
}

// pickBetterOfTwo returns the better of two different random candidates, or the only
// candidate.
func pickBetterOfTwo(candidates []Candidate, random *rand.Rand) Candidate {
	first := sampleByWeight(candidates, random)
	if len(candidates) == 1 {
		return candidates[first]
	}
	second := sampleByWeight(candidates, random)
	if second == first {
		second = (first + 1 + random.IntN(len(candidates)-1)) % len(candidates)
	}
	return lowerCost(candidates[first], candidates[second])
}

// sampleByWeight returns the index of a random candidate. The probability is
// proportional to its weight; after too many rejected draws it is uniform.
func sampleByWeight(candidates []Candidate, random *rand.Rand) int {
	for range 2 * len(candidates) {
		i := random.IntN(len(candidates))
		if weight := candidates[i].Weight; weight >= 1 || random.Float64() < weight {
			return i
		}
	}
	return random.IntN(len(candidates))
}

// load returns this VM's requests per slot if one more were sent. Requests of
// other VMs are not counted: reports of them arrive about a second late, and would
// make all VMs switch to the same servers at once.
func (c Candidate) load() float64 {
	return float64(c.InFlight+1) / float64(max(c.Slots, 1))
}

// cost returns the load, scaled up if the mean latency exceeds the other
// candidate's by more than latencyTolerance.
func (c Candidate) cost(other Candidate) float64 {
	cost := c.load()
	if c.Latency > 0 && other.Latency > 0 {
		cost *= max(1, c.Latency/other.Latency/latencyTolerance)
	}
	return cost
}

// lowerCost returns the candidate with the lower cost. On a tie it prefers the VM's
// own zone, then a.
func lowerCost(a, b Candidate) Candidate {
	costA, costB := a.cost(b), b.cost(a)
	if costB < costA || costB == costA && b.SameZone && !a.SameZone {
		return b
	}
	return a
}
