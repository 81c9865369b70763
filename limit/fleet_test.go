package limit

import (
	"fmt"
	"time"

	"lacewingmount.dev/membership"
)

// fleet simulates VMs that keep accounts within their rate by leased shares.
type fleet struct {
	*simulation
	net    network
	timing Timing
	quotas map[string]Quota
	nodes  []*node
	ledger Ledger
	meters map[string]*meter
	wait   time.Duration // that a request waits for a token
	waited int
	waits  time.Duration

	skipsExpiryCheck   bool // negative control: a cache does not check expiry after a pause
	leasesBeforeExpiry bool // negative control: shares are leased before the last lease has ended
	firstWithoutShares int  // nodes from this index on hold no share
	storeUnavailable   bool
	lastCrash          time.Duration
	nextStart          uint64
	observe            func(message any) // called with every message between VMs
	refusedCount       int
}

// node is one VM with its agent and entry.
type node struct {
	fleet         *fleet
	index         int
	vm            VM
	lender        *Lender
	owner         *Owner
	caches        map[string]*Cache
	waiting       map[string][]*request
	nextRequestAt map[string]time.Duration
	rate          float64       // of the clock
	hold          time.Duration // most time between the reservation of a token and its use
	paused        time.Duration
	down          bool
	generation    int // counts starts and crashes, so that events from before are dropped
	lastReply     time.Time
	received      []Lease
}

type request struct {
	account  string
	arrived  time.Duration
	finished bool
}

// slewError is the largest error of a disciplined clock's rate.
const slewError = 0.0005

// newFleet starts VMs whose clock rates are off by up to clockError.
func newFleet(s *simulation, vms int, timing Timing, quotas map[string]Quota, clockError float64) *fleet {
	f := &fleet{
		simulation: s, timing: timing, quotas: quotas, ledger: NewLedger(), meters: map[string]*meter{},
		wait: 100 * time.Millisecond, firstWithoutShares: vms,
		net: network{cut: func(int, int) bool { return false }, delay: func(int, int) time.Duration { return s.between(time.Millisecond, 5*time.Millisecond) }},
	}
	f.ledger.Version = 1
	for account, quota := range quotas {
		f.meters[account] = newMeter(quota)
	}
	for i := range vms {
		f.nodes = append(f.nodes, &node{fleet: f, index: i, rate: 1 + clockError*(2*s.random.Float64()-1)})
	}
	for i := range vms {
		f.start(f.nodes[i], fmt.Sprintf("vm-%d", i))
	}
	f.publishMembers()
	return f
}

// start starts a node as a new incarnation of a VM and claims shares.
func (f *fleet) start(n *node, name string) {
	f.nextStart++
	n.generation++
	n.down, n.paused = false, 0
	n.vm = VM{Name: name, Incarnation: f.nextStart}
	n.lender, n.owner = NewLender(f.timing, n.vm), NewOwner(f.timing, n.vm.Incarnation)
	n.received = nil
	n.caches, n.waiting, n.nextRequestAt = map[string]*Cache{}, map[string][]*request{}, map[string]time.Duration{}
	n.owner.SetQuotas(f.quotas, n.clock())
	n.lender.SetAccounts(f.quotas)
	started := n.clock()
	n.every(50*time.Millisecond, n.tick)
	n.every(time.Second, func() { n.claim(started) })
	n.claim(started)
	f.publishMembers()
}

// claim takes shares from the ledger, as the agent does through the store.
func (n *node) claim(started time.Time) {
	f := n.fleet
	if f.storeUnavailable || n.index >= f.firstWithoutShares {
		return
	}
	n.transfer()
	from := started
	if held, ok := f.ledger.HoldingOf(n.vm.Name); ok && held.Holder != n.vm {
		from = started.Add(f.timing.RestartDelay())
	}
	if next, changed := f.ledger.Claim(n.vm, len(f.nodes)); changed {
		next.Version++
		f.ledger = next
	}
	n.owner.SetLedger(f.ledger, n.clock())
	held, _ := f.ledger.HoldingOf(n.vm.Name)
	lease := Lease{Holder: n.vm, Shares: held.Shares, Total: f.ledger.Total, Ledger: f.ledger.Version}
	if lease.valid() && held.Holder == n.vm {
		n.lender.SetShares([]Lease{lease}, from, n.clock())
	}
}

// transferShares sends the shares of a leaving node to another one, in a message that
// may be lost or duplicated.
func (f *fleet) transferShares(n *node) {
	successor := f.nodes[(n.index+1)%len(f.nodes)]
	shares := n.lender.HeldShares()
	if successor == n || successor.down || successor.index >= f.firstWithoutShares {
		return
	}
	f.transmit(n, successor, shares, func() { successor.addShares(shares) })
}

func (n *node) addShares(shares []Lease) {
	n.received = append(n.received, shares...)
	n.lender.AddShares(shares)
}

// transfer moves received shares in the ledger to their successor.
func (n *node) transfer() {
	f := n.fleet
	for _, lease := range n.received {
		if next, changed := f.ledger.Transfer(lease.Holder, n.vm); changed {
			next.Version++
			f.ledger = next
		}
	}
	n.received = nil
}

func (f *fleet) publishMembers() {
	var members []membership.Member
	for _, n := range f.nodes {
		if !n.down && n.lender != nil && !n.lender.leaving {
			members = append(members, membership.Member{Name: n.vm.Name})
		}
	}
	for _, n := range f.nodes {
		if n.lender != nil {
			n.lender.SetMembers(members)
		}
	}
}

func (f *fleet) byName(name string) *node {
	for _, n := range f.nodes {
		if n.vm.Name == name && !n.down {
			return n
		}
	}
	return nil
}

// clock is the node's monotonic clock, which runs at a rate of its own.
func (n *node) clock() time.Time {
	return epoch.Add(time.Duration(float64(n.fleet.now) * n.rate))
}

// do calls run now, or once the node's pause is over, but never after a crash or restart.
func (n *node) do(run func()) {
	generation := n.generation
	if n.fleet.now < n.paused {
		n.fleet.at(n.paused, func() {
			if n.generation == generation && !n.down {
				n.do(run)
			}
		})
		return
	}
	run()
}

func (n *node) after(d time.Duration, run func()) {
	generation := n.generation
	n.fleet.after(d, func() {
		if n.generation == generation && !n.down {
			n.do(run)
		}
	})
}

func (n *node) every(period time.Duration, run func()) {
	n.after(period/2+time.Duration(n.fleet.random.Int64N(int64(period/2)+1)), func() {
		run()
		n.every(period, run)
	})
}

func (n *node) tick() {
	for _, out := range n.lender.Due(n.clock()) {
		n.send(out)
	}
}

// send sends an exchange to its owner and the reply back.
func (n *node) send(out Outgoing) {
	f := n.fleet
	if f.leasesBeforeExpiry {
		n.lender.groups[out.Exchange.Group].heldUntil = time.Time{}
	}
	answered := false
	n.after(f.timing.TokenTTL, func() {
		if !answered {
			n.lender.Fail(out, n.clock())
			n.failTokenRequests(out)
		}
	})
	receiver := f.byName(out.To)
	if receiver == nil {
		return
	}
	f.transmit(n, receiver, out.Exchange, func() {
		reply := receiver.owner.Handle(out.Exchange, receiver.clock())
		f.transmit(receiver, n, reply, func() {
			answered = true
			n.receive(out, reply)
		})
	})
}

// transmit delivers a message after a random delay, not at all, or twice.
func (f *fleet) transmit(from, to *node, message any, deliver func()) {
	if from == to {
		deliver()
		return
	}
	if f.observe != nil {
		f.observe(message)
	}
	for _, delay := range f.deliver(&f.net, from.index, to.index) {
		to.after(delay, deliver)
	}
}

func (n *node) receive(out Outgoing, reply Reply) {
	n.lender.Complete(out, reply, n.clock())
	for _, grant := range reply.Grants {
		n.cache(grant.Account).Apply(grant, n.clock())
		n.lastReply = n.clock()
		n.serve(grant.Account)
		n.requestWhenDue(grant.Account)
	}
}

func (n *node) failTokenRequests(out Outgoing) {
	for _, tokenRequest := range out.Exchange.TokenRequests {
		n.cache(tokenRequest.Account).Fail(tokenRequest.Seq, 0, n.clock())
		n.requestWhenDue(tokenRequest.Account)
	}
}

func (n *node) cache(account string) *Cache {
	c := n.caches[account]
	if c == nil {
		c = NewCache(n.fleet.timing, n.fleet.random.Uint64()<<20)
		n.caches[account] = c
	}
	return c
}

// arrive starts a request at the node's entry.
func (n *node) arrive(account string) {
	if n.down {
		n.fleet.refusedCount++
		return
	}
	n.do(func() {
		r := &request{account: account, arrived: n.fleet.now}
		c := n.cache(account)
		c.RecordArrival(n.clock())
		if len(n.waiting[account]) == 0 && n.take(r) {
			n.requestWhenDue(account)
			return
		}
		if c.Backoff(n.clock()) > n.fleet.wait {
			n.fleet.refusedCount++
			return
		}
		n.waiting[account] = append(n.waiting[account], r)
		n.after(n.fleet.wait, func() { n.timeOut(r) })
		n.requestWhenDue(account)
	})
}

func (n *node) timeOut(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	n.fleet.refusedCount++
	n.drop(r)
}

func (n *node) drop(r *request) {
	queue := n.waiting[r.account]
	for i, other := range queue {
		if other == r {
			n.waiting[r.account] = append(queue[:i:i], queue[i+1:]...)
			return
		}
	}
}

// take reserves a token for the request and uses it after a random part of the node's hold time.
func (n *node) take(r *request) bool {
	now := n.clock()
	if n.fleet.skipsExpiryCheck {
		now = n.lastReply
	}
	c := n.cache(r.account)
	permit, ok := c.Reserve(now)
	if !ok {
		return false
	}
	if waited := n.fleet.now - r.arrived; waited > 0 {
		n.fleet.waited++
		n.fleet.waits += waited
	}
	if n.hold == 0 {
		n.use(r, permit, now)
		return true
	}
	n.after(time.Duration(n.fleet.random.Int64N(int64(n.hold))), func() {
		if !n.fleet.skipsExpiryCheck {
			now = n.clock()
		}
		n.use(r, permit, now)
	})
	return true
}

func (n *node) use(r *request, permit Permit, now time.Time) {
	if n.cache(r.account).Spend(permit, now) {
		n.fleet.meters[r.account].use(n.fleet.now)
	}
}

func (n *node) serve(account string) {
	for len(n.waiting[account]) > 0 {
		first := n.waiting[account][0]
		if !n.take(first) {
			return
		}
		first.finished = true
		n.waiting[account] = n.waiting[account][1:]
	}
}

// requestWhenDue sends the next token request of an account, now or when it is due.
func (n *node) requestWhenDue(account string) {
	now := n.clock()
	at, ok := n.cache(account).Due(now, len(n.waiting[account]))
	if !ok {
		return
	}
	if wait := at.Sub(now); wait > 0 {
		due := n.fleet.now + wait
		if n.nextRequestAt[account] > n.fleet.now && n.nextRequestAt[account] <= due {
			return
		}
		n.nextRequestAt[account] = due
		n.after(wait+time.Microsecond, func() { n.requestWhenDue(account) })
		return
	}
	n.requestTokens(account, now)
	n.requestWhenDue(account) // schedules the next one in case no reply comes
}

func (n *node) requestTokens(account string, now time.Time) {
	group := GroupOf(account)
	c := n.cache(account)
	source := n.lender.Source(group)
	if source == 0 {
		n.send(n.lender.Prepare(group, nil, now))
		c.Fail(c.seq, 10*time.Millisecond, now)
		return
	}
	if c.Source() != source {
		c.SwitchSource(source)
	}
	n.send(n.lender.Prepare(group, []TokenRequest{c.TokenRequest(account, len(n.waiting[account]), now)}, now))
}

func (n *node) pause(span time.Duration) { n.paused = max(n.paused, n.fleet.now+span) }

// crash stops the node; its VM stays in the list of members.
func (n *node) crash() {
	n.down = true
	n.generation++
	n.fleet.lastCrash = n.fleet.now
}

// spendable is the number of tokens that the node could spend now.
func (n *node) spendable(account string) int {
	c, now, tokens := n.caches[account], n.clock(), 0
	if c == nil {
		return 0
	}
	for _, b := range [...]*batch{c.previous, c.batch} {
		if b.valid(now) {
			tokens += b.free + b.reserved
		}
	}
	return tokens
}

func (f *fleet) weight(group int) float64 {
	sum := 0.0
	for _, n := range f.nodes {
		if !n.down {
			sum += n.owner.Weight(group, n.clock())
		}
	}
	return sum
}
