package placement

import "time"

const (
	inUseWindow         = 2 * time.Second         // a server that got a request within this time counts as in use, by the operators' definition
	inUseWindowParts    = 10                      // parts into which the window is split for counting
	unservedThreshold   = 0.10                    // share of unserved requests above which unservedInUseMargin applies, so that all healthy servers are used; the operators set 0.1
	nearlyIdleAfter     = 1700 * time.Millisecond // a server that got no request for this long will soon not count as in use
	inUseMargin         = 0.22                    // added to Policy.MinServers, because some of the servers do not count
	unservedInUseMargin = 0.26                    // replaces inUseMargin while more than unservedThreshold of the requests are not served
	largeService        = 40                      // servers from which a service has a floor of all servers and largeThreshold
	largeThreshold      = 0.08                    // replaces unservedThreshold; the share may pass that one within the window that is judged
	safeShareThreshold  = 0.1                     // share of safe requests above which only these are sent to nearly idle servers
)

// inUseFloor computes the share of the servers that must stay in use, so that wrong
// failure estimates cannot take capacity out of use. While many requests are not
// served, the share is higher, so that all servers not known to be failing are used.
// Counts are kept for the parts of inUseWindow.
type inUseFloor struct {
	share                            float64 // share of the servers that must be in use
	requests, unserved, safeRequests [inUseWindowParts]int
	part                             int64
}

// advance clears the parts of the window that have expired and returns the index of
// the current part.
func (f *inUseFloor) advance(now time.Time) int {
	part := now.UnixNano() / int64(inUseWindow/inUseWindowParts)
	for steps := min(part-f.part, inUseWindowParts); steps > 0; steps-- {
		index := (part - steps + 1) % inUseWindowParts
		f.requests[index], f.unserved[index], f.safeRequests[index] = 0, 0, 0
	}
	f.part = max(f.part, part)
	return int(f.part % inUseWindowParts)
}

func (f *inUseFloor) observeRequest(now time.Time, safe bool) {
	index := f.advance(now)
	f.requests[index]++
	if safe {
		f.safeRequests[index]++
	}
}

func (f *inUseFloor) observeUnserved(now time.Time) { f.unserved[f.advance(now)]++ }

// requiredShare returns the share of the given number of servers that must be in use now. In
// a large service the floor of 0.96 leaves several servers idle: 4 of 99 were 4 of the 13 that
// counted as healthy while the others were disturbed. safeOnly
// reports that there are enough safe requests to use the nearly idle servers, so
// that no other requests need to be sent there.
func (f *inUseFloor) requiredShare(now time.Time, servers int) (requiredShare float64, safeOnly bool) {
	f.advance(now)
	requests, unserved, safeRequests := 0, 0, 0
	for i := range f.requests {
		requests += f.requests[i]
		unserved += f.unserved[i]
		safeRequests += f.safeRequests[i]
	}
	requiredShare = min(1, f.share+inUseMargin)
	switch share := float64(unserved) / float64(max(1, requests)); {
	case servers >= largeService && share > largeThreshold:
		requiredShare = 1
	case share > unservedThreshold:
		requiredShare = min(1, f.share+unservedInUseMargin)
	}
	return requiredShare, float64(safeRequests) > safeShareThreshold*float64(requests)
}
