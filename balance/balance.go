// Package balance chooses the backend server for a request. It is
// deterministic: randomness is passed in.
package balance

import "math/rand/v2"

// Candidate is a backend server that may be chosen.
type Candidate struct {
	Index    int     // position in the service's list
	InFlight int     // requests that this VM has there
	Slots    int     // requests that the server runs at once
	SameZone bool    // in the VM's own availability zone
	Weight   float64 // share of a full server's requests, above 0 and at most 1
	Latency  float64 // mean of its answers, seconds; 0 if not known
	Suspect  bool    // may be failing; protected requests go elsewhere if they can
	Shedding bool    // refuses requests at present
}

const (
	exploreOneIn     = 8   // choices that go to other zones, so that each VM knows their servers
	spillLoad        = 0.5 // of the slots in use; from there on other zones are considered
	latencyTolerance = 1.5 // ratio of mean latencies that does not matter
)

// Pick chooses the better of two random candidates, first among those of the
// VM's own zone and, if that one is busy, among all. It returns the candidate's
// Index. ok is false if there is no candidate.
func Pick(candidates []Candidate, protected bool, random *rand.Rand) (index int, ok bool) {
	candidates = preferring(candidates, func(c Candidate) bool { return !c.Shedding })
	if protected {
		candidates = preferring(candidates, func(c Candidate) bool { return !c.Suspect })
	}
	if len(candidates) == 0 {
		return 0, false
	}
	near, far := byZone(candidates)
	if len(near) == 0 || len(far) > 0 && random.IntN(exploreOneIn) == 0 {
		return pickTwo(far, random).Index, true
	}
	best := pickTwo(near, random)
	if best.load() > spillLoad || best.Suspect {
		best = better(best, pickTwo(candidates, random))
	}
	return best.Index, true
}

// preferring returns the good candidates, or all if none of the good has a free slot.
func preferring(candidates []Candidate, good func(Candidate) bool) []Candidate {
	preferred := make([]Candidate, 0, len(candidates))
	free := false
	for _, c := range candidates {
		if good(c) {
			preferred = append(preferred, c)
			free = free || c.load() <= 1
		}
	}
	if !free {
		return candidates
	}
	return preferred
}

func byZone(candidates []Candidate) (near, far []Candidate) {
	near = make([]Candidate, 0, len(candidates))
	far = make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.SameZone {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	return near, far
}

func pickTwo(candidates []Candidate, random *rand.Rand) Candidate {
	first := sample(candidates, random)
	if len(candidates) == 1 {
		return candidates[first]
	}
	second := sample(candidates, random)
	if second == first {
		second = (first + 1 + random.IntN(len(candidates)-1)) % len(candidates)
	}
	return better(candidates[first], candidates[second])
}

// sample draws a candidate by weight.
func sample(candidates []Candidate, random *rand.Rand) int {
	for range 2 * len(candidates) {
		i := random.IntN(len(candidates))
		if weight := candidates[i].Weight; weight >= 1 || random.Float64() < weight {
			return i
		}
	}
	return random.IntN(len(candidates))
}

// load returns this VM's requests per slot if one more were sent. Requests of
// other VMs are left out: heard of a second late, they make all VMs turn to the
// same servers at once.
func (c Candidate) load() float64 {
	return float64(c.InFlight+1) / float64(max(c.Slots, 1))
}

// cost is what better compares: load and latency against the other's.
func (c Candidate) cost(other Candidate) float64 {
	cost := c.load()
	if c.Latency > 0 && other.Latency > 0 {
		cost *= max(1, c.Latency/other.Latency/latencyTolerance)
	}
	return cost
}

func better(a, b Candidate) Candidate {
	costA, costB := a.cost(b), b.cost(a)
	if costB < costA || costB == costA && b.SameZone && !a.SameZone {
		return b
	}
	return a
}
