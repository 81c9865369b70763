package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	grantLease         = 1500 * time.Millisecond // three missed reports; a VM reports every 500 ms
	syncMargin         = 200 * time.Millisecond  // younger grants may not have reached their VM before it reported
	costJitter         = 0.01                    // random cost that spreads requests over equally good servers
	baseTolerance      = 0.5                     // failing probability up to which a request accepts a server without waiting
	tolerancePerSecond = 1.0                     // failing probability that is accepted in addition for each second of waiting
)

// Broker assigns the slots of one service's servers to requests. It is not safe
// for concurrent use.
type Broker struct {
	servers         map[string]*server
	serversByID     []*server // sorted, so that equal inputs give equal decisions
	grants          grantTable
	queue           []*queued
	retryQueue      retryQueue
	fairQueue       fairQueue // of all requests while the rule of ranks is not in force
	ranks           rankTable
	lastContact     map[string]time.Time // by VM name
	retries         retryLimiter
	latencyEstimate latencyEstimate
	inUseFloor      inUseFloor
	limits          limitTable
	coldPerS        float64 // requests per second that a cold server gets; 0 for any number
	changes         []AvoidanceChange
	share           failingShare // estimated share of failing servers
	failurePeriod   failurePeriodEstimate
	random          *rand.Rand
}

// NewBroker returns a Broker without servers. The seed makes the random choice
// between equally good servers reproducible.
func NewBroker(policy Policy, seed uint64) *Broker {
	random := rand.New(rand.NewPCG(seed, seed))
	return &Broker{
		servers: map[string]*server{}, grants: newGrantTable(), lastContact: map[string]time.Time{}, fairQueue: newFairQueue(),
		retries: retryLimiter{RetryBudget: policy.Retries}, inUseFloor: inUseFloor{share: policy.MinServers}, share: failingShare{value: initialFailingShare}, failurePeriod: failurePeriodEstimate{value: initialFailurePeriod}, latencyEstimate: newLatencyEstimate(), random: random,
		limits: limitTable{limits: map[string]*serverLimit{}, parts: map[string]time.Time{}, random: random},
	}
}

// SetServers replaces the registered servers and returns the resulting decisions
// about queued requests.
func (b *Broker) SetServers(now time.Time, registered []Server) []Decision {
	known := make(map[string]bool, len(registered))
	for _, r := range registered {
		known[r.ID] = true
		if s := b.servers[r.ID]; s != nil {
			s.register(now, r)
			b.updateCold(now, s)
			continue
		}
		b.servers[r.ID] = newServer(now, r, &b.failurePeriod)
		b.updateCold(now, b.servers[r.ID])
	}
	for id, s := range b.servers {
		if known[id] {
			continue
		}
		for requestID := range s.running {
			b.release(requestID)
		}
		delete(b.servers, id)
	}
	b.serversByID = b.serversByID[:0]
	for _, s := range b.servers {
		b.serversByID = append(b.serversByID, s)
	}
	slices.SortFunc(b.serversByID, func(x, y *server) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	b.assignLimits(now)
	return append(b.refuseEvacuated(now), b.dispatch(now)...)
}

// Request grants a slot to the request, queues it or refuses it. The decisions may
// include those about other queued requests.
func (b *Broker) Request(now time.Time, request Request) []Decision {
	b.lastContact[request.ID.VM] = now
	b.RecordPart(now, request.ID.VM)
	if b.grants.get(request.ID) != nil || b.isQueued(request.ID) {
		return b.repeatDecision(request.ID)
	}
	r := &queued{Request: request, queuedAt: now}
	b.observeRank(now, r)
	if request.Retry {
		return b.requestRetry(now, r)
	}
	b.retries.observeRequest(now)
	b.inUseFloor.observeRequest(now, request.Safe)
	r.fair.assignRound(now, r)
	var decisions []Decision
	if len(b.limits.limits) > 0 || b.coldPerS > 0 { // time alone lets these servers accept more, and retries wait for it
		if b.ranks.inForce {
			decisions = b.dispatchByRank(now)
		} else {
			decisions = b.dispatchRetries(now)
		}
	}
	if len(b.queue) == 0 {
		if s := b.chooseLeavingRoom(now, r, b.candidateSet(now)); s != nil {
			r.fair.markGranted(now, r)
			return append(decisions, b.grant(now, r, s))
		}
	}
	if reason, retryAfter := b.rejectionReason(now, r); reason != "" {
		return append(decisions, b.refuse(now, request.ID, reason, retryAfter))
	}
	b.enqueue(now, r)
	return append(decisions, b.decideOrQueue(r, b.dispatch(now))...)
}

// decideOrQueue adds that the request is queued, unless the decisions include one
// about it.
func (b *Broker) decideOrQueue(r *queued, decisions []Decision) []Decision {
	if slices.ContainsFunc(decisions, func(d Decision) bool { return d.ID == r.ID }) {
		return decisions
	}
	return append(decisions, Decision{ID: r.ID, Verdict: Queued, Queue: b.QueueLength()})
}

// repeatDecision returns the current decision about a Request that arrived before.
func (b *Broker) repeatDecision(id RequestID) []Decision {
	if g := b.grants.get(id); g != nil {
		return []Decision{{ID: id, Verdict: Granted, Server: g.server.ID}}
	}
	return []Decision{{ID: id, Verdict: Queued, Queue: b.QueueLength()}}
}

// Complete records the outcome of a request, frees its slot and returns the
// resulting decisions about queued requests.
func (b *Broker) Complete(now time.Time, id RequestID, serverID string, outcome Outcome, took time.Duration) []Decision {
	b.lastContact[id.VM] = now
	b.removeQueued(now, func(r *queued) bool { return r.ID == id })
	if g := b.grants.get(id); g != nil {
		if g.spentLimit && (outcome == Unreachable || outcome == Unused && serverID == "") {
			g.server.restoreLimit(now)
		}
		if g.usage != nil && outcome == Answered {
			g.usage.observeWork(took)
		}
	}
	b.release(id)
	b.countUnserved(now, outcome)
	if s := b.servers[serverID]; s != nil {
		b.observeProbe(s, now.Add(-took), outcome)
		failingUntil := s.health.failingUntil
		s.observeOutcome(now, id.VM, outcome, took, b.latencyEstimate.fastFailureLimit())
		if s.health.failingUntil != failingUntil {
			b.changes = append(b.changes, AvoidanceChange{Server: s.ID, Avoided: s.health.failingUntil.Sub(now), Outcome: outcome, Took: took, FailurePeriods: s.health.periods})
		}
		if outcome == Answered {
			b.latencyEstimate.observe(took)
		}
	}
	return b.dispatch(now)
}

// Sync reconciles the grants with a VM's report of its requests in flight. Grants
// that it does not list are released, and listed requests that another Broker
// granted are counted from now on.
func (b *Broker) Sync(now time.Time, vm string, running []Running) []Decision {
	b.lastContact[vm] = now
	listed := make(map[uint64]bool, len(running))
	for _, r := range running {
		listed[r.Seq] = true
		id := RequestID{VM: vm, Seq: r.Seq}
		if s := b.servers[r.Server]; s != nil && b.grants.get(id) == nil {
			b.addGrant(id, s, now.Add(-r.Age))
		}
	}
	for seq, g := range b.grants.ofVM(vm) {
		if !listed[seq] && now.Sub(g.startedAt) > syncMargin {
			b.release(g.requestID)
		}
	}
	return b.dispatch(now)
}

// Tick performs the time-based work: it drops VMs that stopped reporting, marks
// overdue requests and refuses queued ones that have waited too long. It is to be
// called about every 50 ms while requests are queued, and every 500 ms otherwise.
func (b *Broker) Tick(now time.Time) []Decision {
	for vm, lastContact := range b.lastContact {
		if now.Sub(lastContact) > grantLease {
			b.dropVM(now, vm)
		}
	}
	b.limits.expireParts(now) // also while no server has a limit, as VMs are replaced
	for _, s := range b.serversByID {
		s.markOverdue(now, b.latencyEstimate.overdueLimit())
	}
	b.updateRankRule(now)
	return append(b.expire(now), b.dispatch(now)...)
}

// Changes returns and clears the changes recorded since the last call.
func (b *Broker) Changes() []AvoidanceChange {
	changes := b.changes
	b.changes = nil
	return changes
}

// QueueLength returns the number of requests that wait, retries included.
func (b *Broker) QueueLength() int { return len(b.queue) + len(b.retryQueue.waiting) }

// InFlight returns the number of grants that have not ended.
func (b *Broker) InFlight() int { return b.grants.count }

// dropVM releases the grants and queued requests of a VM that stopped reporting.
func (b *Broker) dropVM(now time.Time, vm string) {
	delete(b.lastContact, vm)
	for _, g := range b.grants.ofVM(vm) {
		b.release(g.requestID)
	}
	b.removeQueued(now, func(r *queued) bool { return r.ID.VM == vm })
}

func (b *Broker) grant(now time.Time, r *queued, s *server) Decision {
	if s.health.stale(now) && len(s.running) == 0 {
		s.probeStarted = now
	}
	decision := Decision{
		ID: r.ID, Verdict: Granted, Server: s.ID, Waited: now.Sub(r.queuedAt), Queue: len(b.queue),
		Failing: s.health.failingProbability(now, b.share.value), AtLimit: b.limits.reached,
	}
	if rate, limited := s.pacedRate(now); limited {
		decision.Limit = rate
	}
	g := b.addGrant(r.ID, s, now)
	g.spentLimit, g.usage = s.spendLimit(now), r.usage
	b.countRankGrant(r.usage)
	return decision
}

func (b *Broker) addGrant(id RequestID, s *server, startedAt time.Time) *grant {
	g := &grant{requestID: id, server: s, startedAt: startedAt}
	s.used = startedAt
	s.running[id] = g
	b.grants.add(g)
	return g
}

func (b *Broker) release(id RequestID) {
	if g := b.grants.get(id); g != nil {
		delete(g.server.running, id)
		if g.usage != nil {
			g.usage.held--
		}
		if g.overdue {
			g.server.overdue--
		}
		b.grants.remove(id)
	}
}

// choose returns the best server for a request, or nil if the request should wait.
func (b *Broker) choose(now time.Time, r *queued, set *candidateSet) *server {
	tolerance := baseTolerance + tolerancePerSecond*now.Sub(r.queuedAt).Seconds()
	useNearlyIdle := set.tooFewInUse && !r.Retry && (r.Safe || !set.safeOnly)
	var best, nearlyIdle *server
	lowestCost, lowestIdleCost := 0.0, 0.0
	for i := range set.candidates {
		c := &set.candidates[i]
		if !c.reachableFrom(now, r.ID.VM) || !r.mayUse(c.server) {
			continue
		}
		cost := c.costFor(now, &r.Request) + costJitter*b.random.Float64()
		if useNearlyIdle && c.nearlyIdle {
			idleCost := cost - recoveryCredit*c.health.recovery(now)
			if nearlyIdle == nil || idleCost < lowestIdleCost {
				nearlyIdle, lowestIdleCost = c.server, idleCost
			}
		}
		if c.failingProbability <= tolerance && (best == nil || cost < lowestCost) {
			best, lowestCost = c.server, cost
		}
	}
	if nearlyIdle != nil {
		return nearlyIdle
	}
	return best
}

// chooseLeavingRoom returns the best server for a request, or nil if the request should wait,
// also because the free slots are kept for higher ranks.
func (b *Broker) chooseLeavingRoom(now time.Time, r *queued, set *candidateSet) *server {
	if s := b.choose(now, r, set); s != nil && b.leavesRoom(now, r, s, set) {
		return s
	}
	return nil
}

// countUnserved counts requests that were not served. A retry may still serve some
// of them, so the count can be slightly too high.
func (b *Broker) countUnserved(now time.Time, outcome Outcome) {
	switch outcome {
	case Unadmitted:
		b.inUseFloor.observeRequest(now, false)
		b.inUseFloor.observeUnserved(now)
	case Failed, Broken, Silent:
		b.inUseFloor.observeUnserved(now)
	}
}

// observeProbe updates the estimated share of failing servers with the outcome of a
// request that was sent to a server of unknown state.
func (b *Broker) observeProbe(s *server, started time.Time, outcome Outcome) {
	if s.probeStarted.IsZero() || started.Before(s.probeStarted.Add(-syncMargin)) {
		return
	}
	switch outcome {
	case Answered, Failed, Broken:
		s.probeStarted = time.Time{}
		b.share.observe(outcome != Answered)
	}
}

// RecordGrant records the grant of another Broker, so that its request is counted.
func (b *Broker) RecordGrant(now time.Time, id RequestID, serverID string) {
	b.lastContact[id.VM] = now
	if s := b.servers[serverID]; s != nil && b.grants.get(id) == nil {
		b.addGrant(id, s, now)
	}
}
