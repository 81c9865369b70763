package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is one VM as its peers know it.
type Member struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`               // of its agent
	Incarnation uint64 `json:"incarnation,omitempty"` // rises with each start of the agent; 0 if not known
	Leaving     bool   `json:"leaving,omitempty"`
	// Capacity is the processor time that the VM has, in cores; 0 if not known.
	Capacity float64 `json:"capacity,omitempty"`
}

// Strong returns the members that have at least half of the capacity of the n-th
// strongest, so that work that falls to one member does not fall to a weak one
// while there are n others.
func Strong(members []Member, n int) []Member {
	if len(members) <= n {
		return members
	}
	capacities := make([]float64, len(members))
	for i, member := range members {
		capacities[i] = member.Capacity
	}
	slices.Sort(capacities)
	enough := capacities[len(capacities)-n] / 2
	var strong []Member
	for _, member := range members {
		if member.Capacity >= enough {
			strong = append(strong, member)
		}
	}
	return strong
}

// Home returns the member that is responsible for key by rendezvous hashing:
// when a member joins or leaves, only the keys of that member move.
func Home(members []Member, key string) (home Member, ok bool) {
	var best uint64
	for _, member := range members {
		weight := weightOf(member.Name, key)
		if !ok || weight > best || (weight == best && member.Name < home.Name) {
			home, best, ok = member, weight, true
		}
	}
	return home, ok
}

func weightOf(name, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(name)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	return mix(digest.Sum64())
}

// mix spreads the hashes of similar inputs over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// Among reports whether the named member is one of the n that weigh most for key.
func Among(members []Member, key, name string, n int) bool {
	own := weightOf(name, key)
	ahead := 0
	for _, member := range members {
		weight := weightOf(member.Name, key)
		if weight > own || (weight == own && member.Name < name) {
			ahead++
		}
	}
	return ahead < n
}
