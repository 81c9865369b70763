package health

import (
	"cmp"
	"slices"
)

// Capacity is a server as Enforce sees it.
type Capacity struct {
	Absent   bool    // draining, in slow start or otherwise not full capacity for a reason besides ejection
	Remove   bool    // an ejection or avoidance is wanted
	Severity float64 // the worst are removed first
}

// Enforce returns which of the wanted removals may be in force, so that at
// least floor servers are neither removed nor absent. If absences alone leave
// fewer, nothing is removed.
func Enforce(servers []Capacity, floor int) (removed []bool) {
	removed = make([]bool, len(servers))
	left := 0
	var wanted []int
	for i, server := range servers {
		if !server.Absent {
			left++
		}
		if server.Remove {
			wanted = append(wanted, i)
		}
	}
	slices.SortStableFunc(wanted, func(a, b int) int { return cmp.Compare(servers[b].Severity, servers[a].Severity) })
	for _, i := range wanted {
		after := left
		if !servers[i].Absent {
			after--
		}
		if after >= floor {
			removed[i], left = true, after
		}
	}
	return removed
}
