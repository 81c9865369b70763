package placement

import "time"

// Costs of a choice, in parts of a request that fails for certain.
const (
	loadCost     = 0.08 // of the last free slot; servers slow down when nearly full
	zoneCost     = 0.04 // of an answer that crosses zones, about 5 kB
	zoneCostByte = 4e-6 // of each byte of the request that crosses zones
	connectCost  = 0.02 // of a new connection: a round trip more, and it may hold a slot
	coldCost     = 0.10 // of a server that has just started
	slowCost     = 0.15 // of each multiple of the service's mean latency beyond slowFrom
	slowFrom     = 1.3
	maxSlowCost  = 0.5
	safeDiscount = 0.4         // a failed read is repeated, so it tries unknown servers first
	joinedWait   = time.Second // after which a server that never had a request gets its first
)

// survey is what the choices of one moment have in common, so that many requests
// can be placed at the price of one look at all servers.
type survey struct {
	open     []openServer
	short    bool // too few servers are in use
	safeOnly bool // and safe requests have to see to it
}

// openServer is a server with a free slot.
type openServer struct {
	*server
	failing float64 // probability
	failure float64 // probability that a request fails
	base    float64 // costs that are the same for all requests
	idle    bool    // it is about to be no longer in use
}

// survey looks at all servers.
func (b *Broker) survey(now time.Time) *survey {
	view := &survey{}
	ready, used := 0, 0
	for _, s := range b.order {
		if s.Draining {
			continue
		}
		ready++
		idle := now.Sub(s.used) >= floorIdle
		if !idle {
			used++
		}
		s.confirm(now, b.speed.fast())
		failing := s.record.failing(now, b.share.value)
		if s.hasSlot(now, failing) {
			view.open = append(view.open, s.look(now, failing, b.speed.mean, idle))
		}
	}
	wanted, safeOnly := b.floor.wanted(now)
	view.short, view.safeOnly = used < int(wanted*float64(ready)), safeOnly
	return view
}

// look works out what a request costs at the server, but for what depends on the
// request.
func (s *server) look(now time.Time, failing, mean float64, idle bool) openServer {
	o := openServer{server: s, failing: failing, idle: idle}
	o.failure = failingFailures*failing + (1-failing)*s.record.lostShare(now)
	if s.used.IsZero() && now.Sub(s.joined) > joinedWait {
		o.failure = 0
	}
	load := float64(len(s.running)+1) / float64(s.Slots)
	o.base = loadCost * load * load * load * load
	if now.Before(s.coldUntil) {
		o.base += coldCost
	}
	if mean > 0 && s.latency > slowFrom*mean {
		o.base += min(maxSlowCost, slowCost*(s.latency/mean-slowFrom))
	}
	return o
}

// costFor compares servers for a request; the least is the best.
func (o *openServer) costFor(now time.Time, ask *Ask) float64 {
	failure := o.failure
	if ask.Safe && !ask.Retry {
		failure *= safeDiscount
	}
	cost := o.base + failure
	if o.Zone != ask.Zone {
		cost += zoneCost + zoneCostByte*float64(ask.Bytes)
	}
	if since, warm := o.warm[ask.ID.VM]; !warm || now.Sub(since) > warmTime {
		cost += connectCost
	}
	return cost
}
