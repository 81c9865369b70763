package health

import (
	"cmp"
	"slices"
)

// ServerCapacity is the input of EnforceFloor for one server.
type ServerCapacity struct {
	Reduced  bool    // draining, in slow start or not at full capacity for another reason than ejection
	Remove   bool    // an ejection or avoidance is requested
	Severity float64 // servers with the highest severity are removed first
}

// EnforceFloor returns which of the requested removals are allowed, so that at
// least floor servers are neither removed nor reduced. If fewer than floor servers
// are at full capacity before any removal, nothing is removed.
func EnforceFloor(servers []ServerCapacity, floor int) (removed []bool) {
	removed = make([]bool, len(servers))
	left := 0
	var requested []int
	for i, server := range servers {
		if !server.Reduced {
			left++
		}
		if server.Remove {
			requested = append(requested, i)
		}
	}
	slices.SortStableFunc(requested, func(a, b int) int { return cmp.Compare(servers[b].Severity, servers[a].Severity) })
	for _, i := range requested {
		after := left
		if !servers[i].Reduced {
			after--
		}
		if after >= floor {
			removed[i], left = true, after
		}
	}
	return removed
}
