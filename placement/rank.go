package placement

import (
	"math"
	"slices"
	"time"
)

const (
	rankMemory       = 30 * time.Second // for which a rank counts as present at a service after its last request; faults and bursts come within that time
	maxRanks         = 16               // ranks of a service that are counted separately; the others count with the next lower one
	rankDecay        = 2 * time.Second  // time constant with which the requests of a rank lose their weight; bursts last about 7 s
	fastDecayDivisor = 4                // divisor of rankDecay with which a rise of the rate is noticed
	minRankShare     = 0.1              // share of a scarce resource that each rank with requests keeps, whatever higher ranks request
	maxMinShares     = 0.3              // limit of the sum of these shares
	rankWorkGain     = 0.05             // weight of the newest answer in the mean work of a rank
)

// Rank is the order of a request among those that need the same resource: first by the
// rank of its client account, then by that of its route. 0 is the highest.
type Rank struct{ Account, Route int }

func (r Rank) precedes(other Rank) bool {
	if r.Account != other.Account {
		return r.Account < other.Account
	}
	return r.Route < other.Route
}

func (r *Request) rank() Rank { return Rank{r.Priority, r.RouteRank} }

// rankTable holds what a Broker knows of the requests of each rank. The rule of ranks is
// in force while requests to routes of more than one rank arrive: until then every
// decision is that of a service with one rank, whatever the accounts' ranks.
type rankTable struct {
	usages    []*rankUsage // highest rank first
	lastRoute int          // rank of the newest request's route
	lastAt    time.Time    // time of the newest request
	otherAt   time.Time    // time of the newest request whose route had another rank than lastRoute
	inForce   bool
	spread    float64 // of the newest Retry-After, 0 to 1
	disabled  bool    // for tests that compare with decisions without the rule
}

// rankUsage is the use of the service by the requests of one rank.
type rankUsage struct {
	rank     Rank
	fair     fairQueue // of its requests while the rule is in force
	lastSeen time.Time
	retries  rankRetries
	arrivals decayedCount // first attempts
	work     float64      // mean time from the grant to the answer, seconds; 0 if unknown
	target   float64      // target latency of its newest first attempt, seconds
	owed     float64      // grants that it may have out of turn, so that it has its minimum share
	held     int          // slots held by requests that this Broker granted
}

// decayedCount counts events, which lose their weight with time.
type decayedCount struct {
	slow, fast float64 // with time constants rankDecay and rankDecay/fastDecayDivisor, at the time at
	at         time.Time
}

func (c *decayedCount) count(now time.Time) {
	c.advance(now)
	c.slow++
	c.fast++
}

// advance decays the counts to now.
func (c *decayedCount) advance(now time.Time) {
	if since := now.Sub(c.at); since > 0 && c.slow > 0 {
		factor := math.Exp(-since.Seconds() / rankDecay.Seconds())
		c.slow *= factor
		c.fast *= factor * factor * factor * factor
	}
	c.at = now
}

// perSecond returns the rate of the events. It rises within a fraction of rankDecay, since
// what is admitted before the rate of higher ranks is known may lose its place, and falls
// with rankDecay.
func (c *decayedCount) perSecond(now time.Time) float64 {
	c.advance(now)
	return max(c.slow, c.fast*fastDecayDivisor) / rankDecay.Seconds()
}

// observeWork records the time that a request took from its grant to its answer.
func (u *rankUsage) observeWork(took time.Duration) {
	if u.work == 0 {
		u.work = took.Seconds()
		return
	}
	u.work += rankWorkGain * (took.Seconds() - u.work)
}

// minShare returns the share of a scarce resource that each rank keeps.
func (t *rankTable) minShare() float64 {
	return min(minRankShare, maxMinShares/float64(max(1, len(t.usages))))
}

// usageOf returns the usage of a rank. Ranks that do not fit into the table share the
// usage of the next lower one.
func (t *rankTable) usageOf(now time.Time, rank Rank) *rankUsage {
	at := 0
	for at < len(t.usages) && t.usages[at].rank.precedes(rank) {
		at++
	}
	if at < len(t.usages) && t.usages[at].rank == rank {
		return t.usages[at]
	}
	if len(t.usages) >= maxRanks {
		return t.usages[min(at, len(t.usages)-1)]
	}
	u := &rankUsage{rank: rank, fair: newFairQueue(), lastSeen: now}
	t.usages = slices.Insert(t.usages, at, u)
	return u
}

// observeRoute records the rank of the route of a request that arrives now.
func (t *rankTable) observeRoute(now time.Time, route int) {
	if !t.lastAt.IsZero() && route != t.lastRoute {
		t.otherAt = t.lastAt
	}
	t.lastRoute, t.lastAt = route, now
}

// manyRoutes reports whether requests to routes of more than one rank have arrived within
// rankMemory.
func (t *rankTable) manyRoutes(now time.Time) bool {
	return !t.otherAt.IsZero() && now.Sub(t.otherAt) <= rankMemory && now.Sub(t.lastAt) <= rankMemory
}

// observeRank records the rank of a request that arrives now, and connects the request
// with the usage of its rank and with its fair queue.
func (b *Broker) observeRank(now time.Time, r *queued) {
	b.ranks.observeRoute(now, r.RouteRank)
	b.updateRankRule(now)
	r.usage = b.ranks.usageOf(now, r.rank())
	r.usage.lastSeen = now
	if r.Retry {
		r.usage.retries.requested.count(now)
	} else {
		r.usage.arrivals.count(now)
		r.usage.target = max(0, r.Target.Seconds())
	}
	r.fair = b.fairQueueOf(r.usage)
}

// fairQueueOf returns the fair queue of the requests of a rank. Each rank has its own
// while the rule is in force, so that an account's requests do not wait for its own ones
// of lower ranks.
func (b *Broker) fairQueueOf(u *rankUsage) *fairQueue {
	if b.ranks.inForce {
		return &u.fair
	}
	return &b.fairQueue
}

// updateRankRule puts the rule in force or ends it, and drops ranks that have had no
// request within rankMemory.
func (b *Broker) updateRankRule(now time.Time) {
	if inForce := b.ranks.manyRoutes(now) && !b.ranks.disabled; inForce != b.ranks.inForce {
		b.ranks.inForce = inForce
		b.moveToFairQueues(now)
	}
	b.ranks.usages = slices.DeleteFunc(b.ranks.usages, func(u *rankUsage) bool {
		return now.Sub(u.lastSeen) > rankMemory && u.held == 0
	})
}

// moveToFairQueues moves the queued requests to the fair queues that the rule uses now. They
// keep their rounds.
func (b *Broker) moveToFairQueues(now time.Time) {
	for _, u := range b.ranks.usages {
		round := max(b.fairQueue.currentRound, u.fair.currentRound)
		b.fairQueueOf(u).currentRound = round
	}
	for _, r := range b.queue {
		r.fair.markDequeued(now, r)
		r.fair = b.fairQueueOf(r.usage)
		r.fair.markQueued(now, r)
	}
	for _, r := range b.retryQueue.waiting {
		r.fair = b.fairQueueOf(r.usage)
	}
}
