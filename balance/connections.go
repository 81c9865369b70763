package balance

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// IdleConnections is the number of idle connections that a VM keeps open to each
	// server.
	IdleConnections = 2

	minInFlight   = 2 // requests that a VM may have in flight at a server; if the connections allow fewer, VMs use subsets of the servers
	minSubsetSize = 3 // servers in a subset
	subsetMargin  = 5 // standard deviations between the mean number of VMs using a server and its limit
)

// InFlightLimit returns the number of requests that one VM may have in flight at
// one server, so that all VMs together stay within the server's connection limit.
func InFlightLimit(connections, vms int) int {
	return max(connections/max(vms, 1)-IdleConnections, minInFlight)
}

// Subset reports for each server whether the VM uses it. It selects all servers
// unless a server's connections are too few for all VMs. Servers are ranked by
// rendezvous hashing, so adding or removing a VM or server changes few choices.
func Subset(vm string, servers []string, connections, vms int) []bool {
	used := make([]bool, len(servers))
	share := vmShare(connections, vms)
	ranks := make([]uint64, len(servers))
	for i, server := range servers {
		ranks[i] = rank(vm, server)
		used[i] = float64(ranks[i]) < share*math.MaxUint64
	}
	ensureMinSubset(used, ranks)
	return used
}

// vmShare returns the share of the VMs that may use one server. It leaves
// subsetMargin standard deviations below the limit, because the number of VMs that
// select a server varies at random.
func vmShare(connections, vms int) float64 {
	maxUsers := float64(connections / (minInFlight + IdleConnections))
	if float64(vms) <= maxUsers {
		return 1
	}
	root := (math.Sqrt(subsetMargin*subsetMargin+4*maxUsers) - subsetMargin) / 2
	return root * root / float64(vms)
}

// ensureMinSubset adds the servers with the lowest rank, so that at least
// minSubsetSize are used.
func ensureMinSubset(used []bool, ranks []uint64) {
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
	for _, i := range order[:min(minSubsetSize, len(order))] {
		used[i] = true
	}
}

// rank returns the rendezvous hash of a VM and a server.
func rank(vm, server string) uint64 {
	return xxhash.Sum64String(vm + "\x00" + server)
}
