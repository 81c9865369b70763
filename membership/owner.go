package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member describes one VM to its peers.
type Member struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`               // of its agent
	Incarnation uint64 `json:"incarnation,omitempty"` // rises with each start of the agent; 0 if not known
	Leaving     bool   `json:"leaving,omitempty"`
	// Capacity is the processor time that the VM has, in cores; 0 if not known.
	Capacity float64 `json:"capacity,omitempty"`
}

// FilterByCapacity returns the members whose capacity is at least half of the n-th
// highest capacity, or all members if there are at most n. Work that a single
// member has to do is thus not assigned to one with little capacity while n others
// have more.
func FilterByCapacity(members []Member, n int) []Member {
	if len(members) <= n {
		return members
	}
	capacities := make([]float64, len(members))
	for i, member := range members {
		capacities[i] = member.Capacity
	}
	slices.Sort(capacities)
	threshold := capacities[len(capacities)-n] / 2
	var kept []Member
	for _, member := range members {
		if member.Capacity >= threshold {
			kept = append(kept, member)
		}
	}
	return kept
}

// Owner returns the member that is responsible for key, selected by rendezvous
// hashing: when a member joins or leaves, only the keys of that member move. ok is
// false if members is empty.
func Owner(members []Member, key string) (owner Member, ok bool) {
	var highest uint64
	for _, member := range members {
		weight := rendezvousWeight(member.Name, key)
		if !ok || weight > highest || (weight == highest && member.Name < owner.Name) {
			owner, highest, ok = member, weight, true
		}
	}
	return owner, ok
}

func rendezvousWeight(name, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(name)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	return mix(digest.Sum64())
}

// mix distributes the differences between hashes of similar inputs over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// IsTopRanked reports whether the named member is one of the n with the highest
// rendezvous weight for key.
func IsTopRanked(members []Member, key, name string, n int) bool {
	own := rendezvousWeight(name, key)
	higher := 0
	for _, member := range members {
		weight := rendezvousWeight(member.Name, key)
		if weight > own || (weight == own && member.Name < name) {
			higher++
		}
	}
	return higher < n
}
