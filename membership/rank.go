package membership

import (
	"cmp"
	"slices"
)

// Rank returns the members by descending rendezvous weight for key: the owner
// first, then the member that becomes owner when the first one leaves, and so on.
func Rank(members []Member, key string) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		if order := cmp.Compare(rendezvousWeight(b.Name, key), rendezvousWeight(a.Name, key)); order != 0 {
			return order
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return ranked
}
