package gateway

import (
	"math/bits"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingmount.dev/limit"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
)

const (
	vmsPerGroup           = 16                     // VMs per group of services and accounts, so that each VM owns few groups
	minGroups             = 4                      // spreads the load, and limits what the loss of one VM affects
	suspicionTime         = 2 * time.Second        // of the first suspicion of an owner that did not reply; doubles each time that it is silent again
	maxSuspicionDoublings = 3                      // of suspicionTime; a VM that lost power for good stays registered for 30 s
	tickPeriod            = 50 * time.Millisecond  // between runs of the time-based work while requests are queued
	idleTickPeriod        = 200 * time.Millisecond // the same while no requests are queued; grants of silent VMs end after 1.5 s
	aliveWindow           = 700 * time.Millisecond // since a VM's last message, in which it counts as alive; it reports every 500 ms
	unregisteredLifetime  = 10 * time.Second       // since the last message of a VM that is no longer registered; a stopping VM sends messages until it ends
	syncPeriod            = 500 * time.Millisecond // between reports to an owner; placement.grantLease is three times as long
)

// peers holds the VMs known to this one, itself included, and assigns owners among
// them. It is safe for concurrent use.
type peers struct {
	mu              sync.Mutex
	self            membership.Member
	members         map[string]membership.Member
	available       []membership.Member          // members that are neither suspected nor leaving
	ownerCandidates []membership.Member          // the available members with enough capacity to be owners
	suspected       map[string]time.Time         // end of each VM's suspicion
	suspicions      map[string]int               // number of suspicions of a VM since its last message
	lastHeard       map[string]time.Time         // time of each VM's last message
	owners          map[string]membership.Member // cache by key, until the members change
}

func newPeers(self membership.Member) *peers {
	p := &peers{self: self, members: map[string]membership.Member{self.Name: self}, suspected: map[string]time.Time{}, suspicions: map[string]int{}, lastHeard: map[string]time.Time{}}
	p.rebuild()
	return p
}

func (p *peers) rebuild() {
	p.available = p.available[:0]
	for name, member := range p.members {
		if _, isSuspected := p.suspected[name]; !isSuspected && !member.Leaving {
			p.available = append(p.available, member)
		}
	}
	p.ownerCandidates = membership.FilterByCapacity(p.available, minGroups)
	p.owners = map[string]membership.Member{}
}

// updateMember records what a VM reports about itself. It reports whether the VM is
// new or was restarted.
func (p *peers) updateMember(member membership.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed, isNew := p.setMember(member)
	if changed {
		p.rebuild()
	}
	return isNew
}

// setMember records what a VM reports about itself. It reports whether the members
// changed, so that the caller must call rebuild, and whether the VM is new or was
// restarted. The caller holds the lock.
func (p *peers) setMember(member membership.Member) (changed, isNew bool) {
	known, ok := p.members[member.Name]
	if member.Name == p.self.Name || ok && (known.Incarnation > member.Incarnation || known == member) {
		return false, false
	}
	p.members[member.Name] = member
	delete(p.suspected, member.Name)
	return true, !ok || known.Incarnation != member.Incarnation
}

// setRegistered adds the registered VMs, and forgets members that are not registered
// and have sent no message within unregisteredLifetime.
func (p *peers) setRegistered(now time.Time, registered []membership.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	anyChanged := false
	listed := map[string]bool{p.self.Name: true}
	for _, member := range registered {
		listed[member.Name] = true
		changed, _ := p.setMember(member)
		anyChanged = anyChanged || changed
	}
	for name := range p.members {
		if !listed[name] && now.Sub(p.lastHeard[name]) > unregisteredLifetime {
			delete(p.members, name)
			delete(p.lastHeard, name)
			delete(p.suspicions, name)
			anyChanged = true
		}
	}
	if anyChanged {
		p.rebuild()
	}
}

// markLeaving records that this VM stops, so that it no longer acts as an
// owner. The other VMs learn the same from its announcement.
func (p *peers) markLeaving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.members[p.self.Name]
	self.Leaving = true
	p.members[self.Name] = self
	p.rebuild()
}

// onMessage records that a message of the VM arrived, which ends its suspicion.
func (p *peers) onMessage(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHeard[name] = now
	delete(p.suspicions, name)
	if _, isSuspected := p.suspected[name]; isSuspected {
		delete(p.suspected, name)
		p.rebuild()
	}
}

// suspect excludes the VM from ownership until it sends a message, another VM reports
// it alive, or the suspicion expires. It reports whether the VM was not yet suspected.
func (p *peers) suspect(now time.Time, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, wasSuspected := p.suspected[name]
	p.suspected[name] = now.Add(suspicionTime << min(maxSuspicionDoublings, p.suspicions[name]))
	if !wasSuspected {
		p.suspicions[name]++
	}
	p.rebuild()
	return !wasSuspected
}

// nameIfAlive returns the name if that VM has sent a message within aliveWindow,
// else "".
func (p *peers) nameIfAlive(now time.Time, name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastHeard[name]) > aliveWindow {
		return ""
	}
	return name
}

// clearSuspicion records that another VM has received a message of the VM. It reports whether
// the VM was suspected.
func (p *peers) clearSuspicion(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, wasSuspected := p.suspected[name]
	if wasSuspected {
		delete(p.suspected, name)
		p.rebuild()
	}
	return wasSuspected
}

// expireSuspicions ends the suspicions whose time is over.
func (p *peers) expireSuspicions(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, until := range p.suspected {
		if now.After(until) {
			delete(p.suspected, name)
			p.rebuild()
		}
	}
}

func (p *peers) owner(key string) membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if owner, ok := p.owners[key]; ok {
		return owner
	}
	owner, ok := membership.Owner(p.ownerCandidates, key)
	if !ok {
		owner = p.self
	}
	p.owners[key] = owner
	return owner
}

// hasOwners reports whether any VM may be an owner. None may while this VM and all others
// that it can reach stop.
func (p *peers) hasOwners() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.ownerCandidates) > 0
}

func (p *peers) member(name string) (membership.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	member, ok := p.members[name]
	return member, ok
}

// all returns all members, this VM included.
func (p *peers) all() []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	members := make([]membership.Member, 0, len(p.members))
	for _, member := range p.members {
		members = append(members, member)
	}
	return members
}

func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members)
}

// groups returns the number of groups into which services and accounts are divided.
// It is a power of two, so that it seldom changes.
func (p *peers) groups() int {
	return max(minGroups, 1<<bits.Len(uint(p.count()/vmsPerGroup)))
}

func (p *peers) groupOf(name string) int {
	return int(xxhash.Sum64String(name) % uint64(p.groups()))
}

func (p *peers) ownerOfGroup(group int) membership.Member {
	return p.owner("group/" + strconv.Itoa(group))
}

func (p *peers) ownerOf(name string) membership.Member { return p.ownerOfGroup(p.groupOf(name)) }

// brokers holds one placement.Broker per service: either for the services that this
// VM owns, or for this VM's own requests. It is safe for concurrent use.
type brokers struct {
	mu                sync.Mutex
	services          map[string]*placement.Broker
	servers           map[string][]placement.Server
	coldPerS          map[string]float64 // requests per second that a cold server gets, by service
	policy            placement.Policy
	seed              uint64
	onAvoidanceChange func(service string, change placement.AvoidanceChange) // called for each change in the avoidance of a server; may be nil
	onLimitChange     func(service string, change placement.LimitChange)     // called for each change of a server's limit; may be nil
	knownLimits       func(service string) []placement.ServerLimit           // limits for a new Broker; may be nil
	fleetSize         func() int                                             // number of VMs; may be nil
	alone             bool                                                   // the Brokers decide for this VM only
}

func newBrokers(policy placement.Policy, seed uint64) *brokers {
	return &brokers{services: map[string]*placement.Broker{}, servers: map[string][]placement.Server{}, policy: policy, seed: seed}
}

// withBroker calls do with the service's Broker and returns its decisions.
func (b *brokers) withBroker(now time.Time, service string, do func(*placement.Broker) []placement.Decision) []placement.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	broker := b.services[service]
	if broker == nil {
		broker = placement.NewBroker(b.policy, b.seed)
		broker.SetColdRate(now, b.coldPerS[service])
		broker.SetServers(now, b.servers[service])
		b.services[service] = broker
		if b.knownLimits != nil {
			for _, l := range b.knownLimits(service) {
				broker.ObserveLimit(now, l)
			}
		}
	}
	if b.fleetSize != nil {
		broker.SetFleet(placement.Fleet{VMs: b.fleetSize(), Alone: b.alone})
	}
	decisions := do(broker)
	for _, change := range broker.LimitChanges() {
		if b.onLimitChange != nil {
			b.onLimitChange(service, change)
		}
	}
	for _, change := range broker.Changes() {
		if b.onAvoidanceChange != nil {
			b.onAvoidanceChange(service, change)
		}
	}
	return decisions
}

// recordGrant records a grant of another Broker, so that its request is counted.
func (b *brokers) recordGrant(now time.Time, service string, id placement.RequestID, server string) {
	b.withBroker(now, service, func(broker *placement.Broker) []placement.Decision {
		broker.RecordGrant(now, id, server)
		return nil
	})
}

// setServers replaces the registered servers of all services, and the evacuated zones.
func (b *brokers) setServers(now time.Time, servers map[string][]platform.Server, evacuated []string) map[string][]placement.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servers = map[string][]placement.Server{}
	for service, registered := range servers {
		for _, s := range registered {
			server := placement.Server{
				ID: s.ID, Zone: s.Zone, Slots: s.Slots, Draining: s.Draining, Evacuated: slices.Contains(evacuated, s.Zone), Cold: s.Cold, Born: s.Born,
			}
			if s.Cold > 0 {
				server.ColdUntil = now.Add(s.Cold)
			}
			b.servers[service] = append(b.servers[service], server)
		}
	}
	decisions := map[string][]placement.Decision{}
	for service, broker := range b.services {
		decisions[service] = broker.SetServers(now, b.servers[service])
	}
	return decisions
}

// tick performs the time-based work of all Brokers. waiting reports whether requests
// are queued.
func (b *brokers) tick(now time.Time) (decisions map[string][]placement.Decision, waiting bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	decisions = map[string][]placement.Decision{}
	for service, broker := range b.services {
		decisions[service] = broker.Tick(now)
		waiting = waiting || broker.QueueLength() > 0
	}
	return decisions, waiting
}

// sync reconciles the grants of all Brokers with a VM's report of its requests in
// flight. takenForOwner reports whether this VM is the owner of a service in that VM's view.
func (b *brokers) sync(now time.Time, vm string, running map[string][]placement.Running, takenForOwner func(service string) bool) map[string][]placement.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	decisions := map[string][]placement.Decision{}
	for service, broker := range b.services {
		if takenForOwner(service) {
			broker.RecordPart(now, vm)
		}
		decisions[service] = broker.Sync(now, vm, running[service])
	}
	return decisions
}

// quotas holds the token buckets of client accounts. It is safe for concurrent use.
type quotas struct {
	mu      sync.Mutex
	pool    *limit.Pool
	replies map[string]tokenReply // last reply to this VM by account
}

// tokenReply is what an owner replied about an account's bucket.
type tokenReply struct {
	owner membership.Member
	level float64
	at    time.Time
}

func newQuotas(overage limit.Overage) *quotas {
	return &quotas{pool: limit.NewPool(time.Now(), overage), replies: map[string]tokenReply{}}
}

// recordReply records the tokens that the owner's reply left in the account's bucket.
func (q *quotas) recordReply(now time.Time, account string, owner membership.Member, level float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.replies[account] = tokenReply{owner: owner, level: level, at: now}
}

// observation returns what the last reply tells the owner about the account's bucket;
// nil if the owner sent that reply itself and has not been restarted since.
func (q *quotas) observation(now time.Time, account string, owner membership.Member) *limit.Observation {
	q.mu.Lock()
	defer q.mu.Unlock()
	last, ok := q.replies[account]
	if !ok || last.owner.Name == owner.Name && last.owner.Incarnation == owner.Incarnation {
		return nil
	}
	return &limit.Observation{Level: last.level, Age: now.Sub(last.at)}
}

func (q *quotas) recordLease(now time.Time, vm string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pool.RecordLease(now, vm)
}

// take takes a token of an account that this VM owns. rank is that of the request's route,
// nil if it is not known. seen is what the VM that asks
// knows of the bucket at another owner, or nil. level is the number of tokens left.
func (q *quotas) take(now time.Time, account *platform.Account, vms int, rank *int, seen *limit.Observation) (ok bool, retryAfter time.Duration, level float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	quota := limit.Quota{Rate: account.Rate, Burst: account.Burst}
	if seen != nil {
		q.pool.Observe(now, account.Name, quota, vms, *seen)
	}
	if rank == nil {
		ok, retryAfter = q.pool.Take(now, account.Name, quota, vms)
	} else {
		ok, retryAfter = q.pool.TakeRanked(now, account.Name, quota, vms, *rank)
	}
	return ok, retryAfter, q.pool.Level(account.Name)
}

func (q *quotas) takeLocal(now time.Time, account *platform.Account, vms, rank int) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pool.TakeLocal(now, account.Name, limit.Quota{Rate: account.Rate, Burst: account.Burst}, vms, rank)
}

// readers returns the available members in the order in which they take the role of
// the VM that reads the store for all. Those that may be owners come first.
func (p *peers) readers() []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	order := membership.Rank(p.ownerCandidates, readerKey)
	for _, member := range membership.Rank(p.available, readerKey) {
		if !slices.Contains(p.ownerCandidates, member) {
			order = append(order, member)
		}
	}
	return order
}

// readerKey is the rendezvous key that ranks the VMs as readers of the store.
const readerKey = "reader"
