package balance

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// IdleConnections is the number of unused connections that a VM keeps to a server.
	IdleConnections = 2

	fewestInFlight = 2 // requests of one VM at one server; below that, VMs use a subset of the servers
	fewestServers  = 3 // in a subset
	subsetMargin   = 5 // standard deviations between the mean users of a server and its limit
)

// InFlightLimit returns the requests that one VM may have at one server, so
// that all VMs together stay within the server's connections.
func InFlightLimit(connections, vms int) int {
	return max(connections/max(vms, 1)-IdleConnections, fewestInFlight)
}

// Subset returns which servers a VM uses. All, unless the fleet is so large
// that a server's connections would not suffice for every VM. A VM or server
// that comes or goes changes few choices.
func Subset(vm string, servers []string, connections, vms int) []bool {
	used := make([]bool, len(servers))
	share := userShare(connections, vms)
	ranks := make([]uint64, len(servers))
	for i, server := range servers {
		ranks[i] = rank(vm, server)
		used[i] = float64(ranks[i]) < share*math.MaxUint64
	}
	fillSubset(used, ranks)
	return used
}

// userShare returns the share of the VMs that may use one server.
func userShare(connections, vms int) float64 {
	most := float64(connections / (fewestInFlight + IdleConnections))
	if float64(vms) <= most {
		return 1
	}
	root := (math.Sqrt(subsetMargin*subsetMargin+4*most) - subsetMargin) / 2
	return root * root / float64(vms)
}

// fillSubset adds the servers of the lowest rank until there are fewestServers.
func fillSubset(used []bool, ranks []uint64) {
	order := make([]int, len(ranks))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if ranks[a] < ranks[b] {
			return -1
		}
		return 1
	})
	for _, i := range order[:min(fewestServers, len(order))] {
		used[i] = true
	}
}

func rank(vm, server string) uint64 {
	return xxhash.Sum64String(vm + "\x00" + server)
}
