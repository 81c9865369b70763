package gateway

import (
	"slices"

	"lacewingmount.dev/placement"
)

// maxArrivals limits how often one request is sent to servers that refuse it without
// running it. The retry budget is the usual limit.
const maxArrivals = 16

// attemptPlan decides which servers a request may be sent to next. The route limits the
// number of servers, so once that many have been reached, only those that did not run
// the request may get it again.
type attemptPlan struct {
	maxServers int
	reached    []string // servers that received the request
	excluded   []string // servers that must not get it again
	arrivals   int      // times that a server received the request
}

// record adds the outcome of an attempt. A server that refused the request without
// running it may get it again; placement leaves it alone for a moment.
func (p *attemptPlan) record(server string, outcome placement.Outcome) {
	if outcome != placement.Shed {
		p.excluded = append(p.excluded, server)
	}
	if outcome == placement.Unreachable {
		return
	}
	p.arrivals++
	if !slices.Contains(p.reached, server) {
		p.reached = append(p.reached, server)
	}
}

// exclude keeps the request from a server that it was not sent to.
func (p *attemptPlan) exclude(server string) { p.excluded = append(p.excluded, server) }

// choices returns the servers that must not get the request and, if not empty, the only
// ones that may. registered reports whether a server is still registered; servers that
// have left do not count as reached.
func (p *attemptPlan) choices(registered func(server string) bool) (tried, only []string) {
	remaining := 0
	for _, server := range p.reached {
		if !registered(server) {
			continue
		}
		remaining++
		if !slices.Contains(p.excluded, server) {
			only = append(only, server)
		}
	}
	if remaining < p.maxServers {
		only = nil
	}
	return slices.Clone(p.excluded), only
}

// exhausted reports whether no server may get the request any more.
func (p *attemptPlan) exhausted() bool {
	if p.arrivals >= maxArrivals {
		return true
	}
	isExcluded := func(server string) bool { return slices.Contains(p.excluded, server) }
	return len(p.reached) >= p.maxServers && !slices.ContainsFunc(p.reached, func(server string) bool { return !isExcluded(server) })
}
