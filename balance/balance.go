// Package balance chooses the backend server for a request. It is
// deterministic: randomness is passed in.
package balance

import "math/rand/v2"

// Candidate is a backend server that may be chosen.
type Candidate struct {
	Index    int  // position in the service's list
	InFlight int  // requests that this VM has there
	Slots    int  // requests that the server runs at once
	SameZone bool // in the VM's own availability zone
}

// Pick chooses the less loaded of two random candidates and returns its Index.
// ok is false if there is no candidate.
func Pick(candidates []Candidate, random *rand.Rand) (index int, ok bool) {
	switch len(candidates) {
	case 0:
		return 0, false
	case 1:
		return candidates[0].Index, true
	}
	first := random.IntN(len(candidates))
	second := random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	return better(candidates[first], candidates[second]).Index, true
}

func better(a, b Candidate) Candidate {
	if a.InFlight != b.InFlight {
		if a.InFlight < b.InFlight {
			return a
		}
		return b
	}
	if b.SameZone && !a.SameZone {
		return b
	}
	return a
}
