package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of several processes in the order of their stamps. An event
// comes after all events that could have caused it, that is those whose stamps its
// process had observed, and the events of one process keep their order. Equal stamps
// of different processes are ordered by VM and program, so that the result does not
// depend on the order of the arguments.
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
