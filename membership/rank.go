package membership

import (
	"cmp"
	"slices"
)

// Rank returns the members in the order in which they are responsible for key:
// Home first, then the one that takes its place when it is gone, and so on.
func Rank(members []Member, key string) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		if order := cmp.Compare(weightOf(b.Name, key), weightOf(a.Name, key)); order != 0 {
			return order
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return ranked
}
