package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of several processes in one order. An event comes
// after every event whose stamp its process had seen; events of one process keep
// their order. Equal stamps of different processes are ordered by process, so
// that the order does not depend on which process was asked first.
func Merge(processes ...[]Event) []Event {
	merged := slices.Concat(processes...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		switch {
		case a.At.Before(b.At):
			return -1
		case b.At.Before(a.At):
			return 1
		}
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Program, b.Program))
	})
	return merged
}
