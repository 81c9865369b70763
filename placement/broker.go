package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	grantLease       = 1500 * time.Millisecond // a VM reports every 500 ms; three misses
	syncMargin       = 200 * time.Millisecond  // a younger grant may not have reached its VM yet
	costJitter       = 0.01                    // spreads equal servers
	toleranceFloor   = 0.5                     // probability of failing up to which a server is used without a wait
	tolerancePerWait = 1.0                     // further probability a second of waiting
)

// Broker grants the slots of one service.
type Broker struct {
	servers map[string]*server
	order   []*server // by ID, so that equal inputs give equal decisions
	grants  map[AskID]*grant
	queue   []*waiting
	turns   turns
	seen    map[string]time.Time // when a VM was last heard of
	retries retryBudget
	speed   speed
	floor   floor
	changes []Change
	share   failingShare
	spell   spellLength
	random  *rand.Rand
}

// NewBroker returns a Broker without servers. seed breaks ties.
func NewBroker(policy Policy, seed uint64) *Broker {
	return &Broker{
		servers: map[string]*server{}, grants: map[AskID]*grant{}, seen: map[string]time.Time{}, turns: newTurns(),
		retries: retryBudget{Budget: policy.Retries}, floor: floor{share: policy.MinServers}, share: failingShare{value: initialShare}, spell: spellLength{value: firstSpell}, speed: newSpeed(), random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetServers replaces the registered servers and returns what that decides.
func (b *Broker) SetServers(now time.Time, registered []Server) []Decision {
	known := make(map[string]bool, len(registered))
	for _, r := range registered {
		known[r.ID] = true
		if s := b.servers[r.ID]; s != nil {
			s.register(now, r)
			continue
		}
		b.servers[r.ID] = newServer(now, r, &b.spell)
	}
	for id, s := range b.servers {
		if known[id] {
			continue
		}
		for ask := range s.running {
			delete(b.grants, ask)
		}
		delete(b.servers, id)
	}
	b.order = b.order[:0]
	for _, s := range b.servers {
		b.order = append(b.order, s)
	}
	slices.SortFunc(b.order, func(x, y *server) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	return b.dispatch(now)
}

// Ask grants a slot, queues the request or refuses it.
func (b *Broker) Ask(now time.Time, ask Ask) []Decision {
	b.seen[ask.ID.VM] = now
	if b.grants[ask.ID] != nil || b.isQueued(ask.ID) {
		return b.repeated(ask.ID)
	}
	if !ask.Retry {
		b.retries.request(now)
		b.floor.request(now, ask.Safe)
	} else if !b.retries.spend(now) {
		return []Decision{b.refuse(now, ask.ID, "retry budget is spent", b.retryAfter(now))}
	}
	w := &waiting{Ask: ask, since: now}
	b.turns.join(now, w)
	if len(b.queue) == 0 {
		if s := b.choose(now, w, b.survey(now)); s != nil {
			b.turns.granted(now, w)
			return []Decision{b.grant(now, w, s)}
		}
	}
	if reason := b.hopeless(now, w); reason != "" {
		return []Decision{b.refuse(now, ask.ID, reason, b.retryAfter(now))}
	}
	b.enqueue(now, w)
	decisions := b.dispatch(now)
	for _, d := range decisions {
		if d.ID == ask.ID {
			return decisions
		}
	}
	return append(decisions, Decision{ID: ask.ID, Verdict: Queued, Queue: len(b.queue)})
}

// repeated answers an Ask whose first copy was decided before.
func (b *Broker) repeated(id AskID) []Decision {
	if g := b.grants[id]; g != nil {
		return []Decision{{ID: id, Verdict: Granted, Server: g.server.ID}}
	}
	return []Decision{{ID: id, Verdict: Queued, Queue: len(b.queue)}}
}

// End takes over the outcome of a request and returns what its slot decides.
func (b *Broker) End(now time.Time, id AskID, serverID string, outcome Outcome, took time.Duration) []Decision {
	b.seen[id.VM] = now
	b.removeQueued(now, func(w *waiting) bool { return w.ID == id })
	b.release(id)
	b.countEnd(now, outcome)
	if s := b.servers[serverID]; s != nil {
		b.judgeTrial(s, now.Add(-took), outcome)
		until := s.record.until
		s.ended(now, id.VM, outcome, took, b.speed.fast())
		if s.record.until != until {
			b.changes = append(b.changes, Change{Server: s.ID, Avoided: s.record.until.Sub(now), Outcome: outcome, Took: took, Spells: s.record.spells})
		}
		if outcome == Answered {
			b.speed.observe(took)
		}
	}
	return b.dispatch(now)
}

// Sync takes over which requests a VM has in flight: grants that it does not
// list are free, and requests that another Broker granted count from now on.
func (b *Broker) Sync(now time.Time, vm string, running []Running) []Decision {
	b.seen[vm] = now
	listed := make(map[uint64]bool, len(running))
	for _, r := range running {
		listed[r.Seq] = true
		id := AskID{VM: vm, Seq: r.Seq}
		if s := b.servers[r.Server]; s != nil && b.grants[id] == nil {
			b.take(id, s, now.Add(-r.Age))
		}
	}
	for id, g := range b.grants {
		if id.VM == vm && !listed[id.Seq] && now.Sub(g.since) > syncMargin {
			b.release(id)
		}
	}
	return b.dispatch(now)
}

// Tick does what is due by time alone. It is called about every 50 ms while
// requests wait, and every 500 ms otherwise.
func (b *Broker) Tick(now time.Time) []Decision {
	for vm, seen := range b.seen {
		if now.Sub(seen) > grantLease {
			b.forget(now, vm)
		}
	}
	for _, s := range b.order {
		s.markOverdue(now, b.speed.overdue())
	}
	return append(b.expire(now), b.dispatch(now)...)
}

// Changes returns the changes of what is believed of servers since the last call.
func (b *Broker) Changes() []Change {
	changes := b.changes
	b.changes = nil
	return changes
}

// Waiting returns the length of the queue.
func (b *Broker) Waiting() int { return len(b.queue) }

// InFlight returns the number of grants.
func (b *Broker) InFlight() int { return len(b.grants) }

// forget frees what a VM holds that is not heard of any more.
func (b *Broker) forget(now time.Time, vm string) {
	delete(b.seen, vm)
	for id := range b.grants {
		if id.VM == vm {
			b.release(id)
		}
	}
	b.removeQueued(now, func(w *waiting) bool { return w.ID.VM == vm })
}

func (b *Broker) grant(now time.Time, w *waiting, s *server) Decision {
	if s.record.stale(now) && len(s.running) == 0 {
		s.trialAt = now
	}
	decision := Decision{
		ID: w.ID, Verdict: Granted, Server: s.ID, Waited: now.Sub(w.since), Queue: len(b.queue),
		Failing: s.record.failing(now, b.share.value),
	}
	b.take(w.ID, s, now)
	return decision
}

func (b *Broker) take(id AskID, s *server, since time.Time) {
	g := &grant{ask: id, server: s, since: since}
	s.used = since
	b.grants[id], s.running[id] = g, g
}

func (b *Broker) release(id AskID) {
	if g := b.grants[id]; g != nil {
		delete(g.server.running, id)
		if g.overdue {
			g.server.overdue--
		}
		delete(b.grants, id)
	}
}

// choose returns the best server for a request, or nil if it had better wait.
func (b *Broker) choose(now time.Time, w *waiting, view *survey) *server {
	tolerated := toleranceFloor + tolerancePerWait*now.Sub(w.since).Seconds()
	keepsFloor := view.short && !w.Retry && (w.Safe || !view.safeOnly)
	var best, idle *server
	least, leastIdle := 0.0, 0.0
	for i := range view.open {
		o := &view.open[i]
		if !o.reachable(now, w.ID.VM) || w.triedBefore(o.server) {
			continue
		}
		cost := o.costFor(now, &w.Ask) + costJitter*b.random.Float64()
		if keepsFloor && o.idle && (idle == nil || cost < leastIdle) {
			idle, leastIdle = o.server, cost
		}
		if o.failing <= tolerated && (best == nil || cost < least) {
			best, least = o.server, cost
		}
	}
	if idle != nil {
		return idle
	}
	return best
}

// countEnd counts the requests that are not served. A retry may still serve
// some of them; the floor then counts a little early.
func (b *Broker) countEnd(now time.Time, outcome Outcome) {
	switch outcome {
	case Unadmitted:
		b.floor.request(now, false)
		b.floor.notServed(now)
	case Failed, Broken, Silent:
		b.floor.notServed(now)
	}
}

// judgeTrial lets a request to a server of unknown state measure how many fail.
func (b *Broker) judgeTrial(s *server, started time.Time, outcome Outcome) {
	if s.trialAt.IsZero() || started.Before(s.trialAt.Add(-syncMargin)) {
		return
	}
	switch outcome {
	case Answered, Failed, Broken:
		s.trialAt = time.Time{}
		b.share.observe(outcome != Answered)
	}
}

// Adopt counts a request that another Broker granted.
func (b *Broker) Adopt(now time.Time, id AskID, serverID string) {
	b.seen[id.VM] = now
	if s := b.servers[serverID]; s != nil && b.grants[id] == nil {
		b.take(id, s, now)
	}
}
