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
	vmsPerGroup = 16                     // VMs for each group of services and accounts; a home serves few groups
	minGroups   = 4                      // spreads the load and the harm of a loss
	suspectTime = 2 * time.Second        // in which a home that did not answer is passed over at first; longer each time that it is silent again
	maxDoubling = 3                      // of suspectTime; a VM that lost power for good stays on the list for 30 s
	tickPeriod  = 50 * time.Millisecond  // of a home whose queue is not empty
	idleTick    = 200 * time.Millisecond // of a home without a queue; grants of silent VMs end after 1.5 s
	aliveTime   = 700 * time.Millisecond // since a VM's last message, in which it is vouched for; it reports each 500 ms
	silentLife  = 10 * time.Second       // of a VM that is not registered any more; a VM that stops is heard until its end
	syncPeriod  = 500 * time.Millisecond // between reports to a home; placement.grantLease is three of them
)

// peers is what this VM knows of the others. It is safe for concurrent use.
type peers struct {
	mu        sync.Mutex
	self      membership.Member
	members   map[string]membership.Member
	list      []membership.Member // of members that may be homes or readers
	strong    []membership.Member // of list; homes as long as there are some
	suspected map[string]time.Time
	silences  map[string]int               // suspicions of a VM since it was heard last
	heardAt   map[string]time.Time         // newest message of each VM
	homes     map[string]membership.Member // by key, until the list changes
}

func newPeers(self membership.Member) *peers {
	p := &peers{self: self, members: map[string]membership.Member{self.Name: self}, suspected: map[string]time.Time{}, silences: map[string]int{}, heardAt: map[string]time.Time{}}
	p.rebuild()
	return p
}

func (p *peers) rebuild() {
	p.list = p.list[:0]
	for name, member := range p.members {
		if _, out := p.suspected[name]; !out && !member.Leaving {
			p.list = append(p.list, member)
		}
	}
	p.strong = membership.FilterByCapacity(p.list, minGroups)
	p.homes = map[string]membership.Member{}
}

// learn takes over what a VM says of itself. It reports whether that is a new start.
func (p *peers) learn(member membership.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.members[member.Name]
	if member.Name == p.self.Name || ok && (known.Incarnation > member.Incarnation || known == member) {
		return false
	}
	p.members[member.Name] = member
	delete(p.suspected, member.Name)
	p.rebuild()
	return !ok || known.Incarnation != member.Incarnation
}

// keep forgets the members that are not on the list of registered VMs and have
// not been heard of.
func (p *peers) keep(now time.Time, registered []membership.Member) {
	for _, member := range registered {
		p.learn(member)
	}
	listed := map[string]bool{p.self.Name: true}
	for _, member := range registered {
		listed[member.Name] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.members {
		if !listed[name] && now.Sub(p.heardAt[name]) > silentLife {
			delete(p.members, name)
			delete(p.heardAt, name)
			delete(p.silences, name)
		}
	}
	p.rebuild()
}

// leave says that this VM stops: the others pass it over as a home, and so does it.
func (p *peers) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.members[p.self.Name]
	self.Leaving = true
	p.members[self.Name] = self
	p.rebuild()
}

// heard says that a message of the VM arrived.
func (p *peers) heard(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heardAt[name] = now
	delete(p.silences, name)
	if _, out := p.suspected[name]; out {
		delete(p.suspected, name)
		p.rebuild()
	}
}

// suspect passes the VM over until it is heard again, vouched for, or some time is
// over. It reports whether that is new.
func (p *peers) suspect(now time.Time, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, was := p.suspected[name]
	p.suspected[name] = now.Add(suspectTime << min(maxDoubling, p.silences[name]))
	if !was {
		p.silences[name]++
	}
	p.rebuild()
	return !was
}

// alive returns the name of a VM that has been heard of lately, else "".
func (p *peers) alive(now time.Time, name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.heardAt[name]) > aliveTime {
		return ""
	}
	return name
}

// vouched says that another VM has heard of the VM. It reports whether this one
// had passed it over.
func (p *peers) vouched(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, was := p.suspected[name]
	if was {
		delete(p.suspected, name)
		p.rebuild()
	}
	return was
}

// retry takes back the VMs whose time of suspicion is over.
func (p *peers) retry(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, until := range p.suspected {
		if now.After(until) {
			delete(p.suspected, name)
			p.rebuild()
		}
	}
}

func (p *peers) home(key string) membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if home, ok := p.homes[key]; ok {
		return home
	}
	home, ok := membership.Owner(p.strong, key)
	if !ok {
		home = p.self
	}
	p.homes[key] = home
	return home
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

// groups is the number of groups into which services and accounts fall: a power
// of two, so that it seldom changes.
func (p *peers) groups() int {
	return max(minGroups, 1<<bits.Len(uint(p.count()/vmsPerGroup)))
}

func (p *peers) groupOf(name string) int {
	return int(xxhash.Sum64String(name) % uint64(p.groups()))
}

func (p *peers) homeOfGroup(group int) membership.Member {
	return p.home("group/" + strconv.Itoa(group))
}

func (p *peers) homeOf(name string) membership.Member { return p.homeOfGroup(p.groupOf(name)) }

// brokers holds a placement.Broker a service: those of the services that have
// their home here, or those of this VM's own requests.
type brokers struct {
	mu       sync.Mutex
	services map[string]*placement.Broker
	servers  map[string][]placement.Server
	policy   placement.Policy
	seed     uint64
	changed  func(service string, change placement.AvoidanceChange) // told of what is believed of servers; nil for nobody
}

func newBrokers(policy placement.Policy, seed uint64) *brokers {
	return &brokers{services: map[string]*placement.Broker{}, servers: map[string][]placement.Server{}, policy: policy, seed: seed}
}

// with runs do on the service's Broker and returns its decisions.
func (b *brokers) with(now time.Time, service string, do func(*placement.Broker) []placement.Decision) []placement.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	broker := b.services[service]
	if broker == nil {
		broker = placement.NewBroker(b.policy, b.seed)
		broker.SetServers(now, b.servers[service])
		b.services[service] = broker
	}
	decisions := do(broker)
	for _, change := range broker.Changes() {
		if b.changed != nil {
			b.changed(service, change)
		}
	}
	return decisions
}

// adopt counts a request that another Broker granted.
func (b *brokers) adopt(now time.Time, service string, id placement.RequestID, server string) {
	b.with(now, service, func(broker *placement.Broker) []placement.Decision {
		broker.RecordGrant(now, id, server)
		return nil
	})
}

// setServers replaces the registered servers of all services.
func (b *brokers) setServers(now time.Time, servers map[string][]platform.Server) map[string][]placement.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servers = map[string][]placement.Server{}
	for service, registered := range servers {
		for _, s := range registered {
			b.servers[service] = append(b.servers[service], placement.Server{ID: s.ID, Zone: s.Zone, Slots: s.Slots, Draining: s.Draining, Cold: s.Cold, Born: s.Born})
		}
	}
	decisions := map[string][]placement.Decision{}
	for service, broker := range b.services {
		decisions[service] = broker.SetServers(now, b.servers[service])
	}
	return decisions
}

// tick runs what is due in all Brokers and reports whether requests wait.
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

// sync takes over a VM's requests in flight.
func (b *brokers) sync(now time.Time, vm string, running map[string][]placement.Running) map[string][]placement.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	decisions := map[string][]placement.Decision{}
	for service, broker := range b.services {
		decisions[service] = broker.Sync(now, vm, running[service])
	}
	return decisions
}

// quotas holds the buckets of client accounts, behind a lock.
type quotas struct {
	mu   sync.Mutex
	pool *limit.Pool
}

func newQuotas() *quotas { return &quotas{pool: limit.NewPool(time.Now())} }

func (q *quotas) lend(now time.Time, vm string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pool.RecordLease(now, vm)
}

func (q *quotas) take(now time.Time, account *platform.Account, vms int) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pool.Take(now, account.Name, limit.Quota{Rate: account.Rate, Burst: account.Burst}, vms)
}

func (q *quotas) takeOwn(now time.Time, account *platform.Account, vms int) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pool.TakeLocal(now, account.Name, limit.Quota{Rate: account.Rate, Burst: account.Burst}, vms)
}

// readers returns the members in the order in which they read the store for all:
// the strong ones first.
func (p *peers) readers() []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	order := membership.Rank(p.strong, readerKey)
	for _, member := range membership.Rank(p.list, readerKey) {
		if !slices.Contains(p.strong, member) {
			order = append(order, member)
		}
	}
	return order
}

// readerKey ranks the VMs as readers of the store.
const readerKey = "reader"
