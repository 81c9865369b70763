package limit

import (
	"slices"
	"time"

	"lacewingmount.dev/membership"
)

// Lender lends one VM's rights, group by group, to the homes of the groups.
type Lender struct {
	timing        Terms
	self          VM
	shares        []Lend
	from          time.Time // the rights are not lent earlier
	lastConfirmed time.Time // last contact with the store or a peer
	members       []membership.Member
	hadPeers      bool
	active        [Groups]bool // groups that have accounts
	confirmSent   time.Time    // last exchange sent only to confirm the rights
	confirmIndex  int          // index of the member that it went to
	peers         map[string]*peer
	groups        [Groups]groupLease
	owners        [Groups]string // cache of Target; empty if not known
	number        uint64         // of the last outgoing exchange
	leaving       bool
}

// lentGroup is where the rights for one group are.
type groupLease struct {
	owner          string // that they were lent to last
	incarnation    uint64 // of that home
	heldUntil      time.Time
	lastLease      uint64    // number of the last exchange that lent them
	lastExchange   time.Time // last exchange with the present home
	lastWithdrawal time.Time // last withdrawal prepared
}

// peer is what a lender knows about one home.
type peer struct {
	incarnation  uint64
	timestamp    int64
	lastReply    time.Time
	failingSince time.Time // since when exchanges fail; zero while they succeed
	failures     int       // exchanges that failed since then
	suspect      bool      // does not answer, or leaves
	lastAttempt  time.Time // last exchange prepared
}

// Outgoing is an exchange to be sent to the agent of a VM.
type Outgoing struct {
	To       string
	Exchange Exchange
	number   uint64
	prepared time.Time
}

const (
	// ExchangePeriod is how often a right is lent anew.
	ExchangePeriod = 500 * time.Millisecond
	// SuspectAfter is how long exchanges with a home may fail until its groups
	// move to other homes.
	SuspectAfter       = 600 * time.Millisecond
	minSuspectFailures = 3                      // at least, one after the other
	retryPeriod        = 150 * time.Millisecond // of exchanges with a home that did not answer last
	probePeriod        = time.Second            // of exchanges with suspected homes
)

// NewLender returns a lender that knows no other VM and has nothing to lend.
func NewLender(timing Terms, self VM) *Lender {
	return &Lender{timing: timing, self: self, peers: map[string]*peer{}}
}

// SetMembers replaces the VMs in service, this one included.
func (l *Lender) SetMembers(members []membership.Member) {
	l.members = members
	l.hadPeers = l.hadPeers || len(members) > 1
	l.owners = [Groups]string{}
}

// SetAccounts tells which accounts exist; groups without any are not lent.
func (l *Lender) SetAccounts(quotas map[string]Quota) {
	l.active = [Groups]bool{}
	for account := range quotas {
		l.active[GroupOf(account)] = true
	}
}

// SetRights replaces what the ledger gives to this VM, to be lent from the given
// time on. It counts as contact with the store. If a VM is no longer among the
// holders, its shares may be in another right now; then nothing is lent until
// what was lent before is free.
func (l *Lender) SetRights(shares []Lend, from, now time.Time) {
	for _, old := range l.shares {
		kept := slices.ContainsFunc(shares, func(r Lend) bool { return r.Holder.Name == old.Holder.Name })
		if !kept {
			from = later(from, l.FreeAt())
		}
	}
	l.shares, l.from, l.lastConfirmed = shares, later(l.from, from), now
}

// AddRights adds the rights of a VM that has left and that no home uses any more.
// It must get them from that VM, which gives them to one successor only.
func (l *Lender) AddRights(shares []Lend) {
	merged := slices.Clone(l.shares)
	for _, lease := range shares {
		known := slices.ContainsFunc(merged, func(r Lend) bool { return r.Holder.Name == lease.Holder.Name })
		if !known && lease.valid() {
			merged = append(merged, lease)
		}
	}
	l.shares = merged
}

// Rights returns what the VM may lend.
func (l *Lender) Rights() []Lend { return l.shares }

// confirm notes contact with a peer. After a long silence it counts only if the
// peer knows no younger ledger, because the rights may have been given away.
func (l *Lender) confirm(ledger uint64, now time.Time) {
	if now.Sub(l.lastConfirmed) > ConfirmFor && ledger > l.ledger() {
		return
	}
	l.lastConfirmed = now
}

// ledger returns the version of the ledger that the rights come from.
func (l *Lender) ledger() uint64 {
	var version uint64
	for _, lease := range l.shares {
		version = max(version, lease.Ledger)
	}
	return version
}

// Leave stops lending. The rights are free once FreeAt has passed.
func (l *Lender) Leave() { l.leaving = true }

// FreeAt returns when no home uses the rights any more if they are not lent again.
func (l *Lender) FreeAt() time.Time {
	var free time.Time
	for i := range l.groups {
		free = later(free, l.groups[i].heldUntil)
	}
	return free
}

// mayLease reports whether the rights may be lent now.
func (l *Lender) mayLease(now time.Time) bool {
	if l.leaving || len(l.shares) == 0 || now.Before(l.from) {
		return false
	}
	return !l.hadPeers || now.Sub(l.lastConfirmed) <= ConfirmFor
}

// Prepare returns an exchange with the home of a group that carries the given
// asks, and lends the rights if they are free. Nothing is lent to a home that did
// not answer last: that would only delay the next home.
func (l *Lender) Prepare(group int, tokenRequests []Ask, now time.Time) Outgoing {
	target := l.Target(group)
	out := l.exchange(target, group, now)
	out.Exchange.Asks = tokenRequests
	g := &l.groups[group]
	g.lastExchange = now
	p := l.peer(target)
	if p.incarnation == 0 || !p.failingSince.IsZero() || !l.mayLease(now) || !g.availableTo(target, p.incarnation, now) {
		return out
	}
	g.owner, g.incarnation, g.lastLease = target, p.incarnation, out.number
	g.heldUntil = later(g.heldUntil, now.Add(l.timing.lenderHold()))
	out.Exchange.Lends, out.Exchange.Stamp = l.shares, p.timestamp
	return out
}

// availableTo reports whether the rights may be lent to the given home.
func (g *groupLease) availableTo(owner string, incarnation uint64, now time.Time) bool {
	return (g.owner == owner && g.incarnation == incarnation) || !now.Before(g.heldUntil)
}

func (l *Lender) exchange(to string, group int, now time.Time) Outgoing {
	p := l.peer(to)
	p.lastAttempt = now
	l.number++
	return Outgoing{
		To: to, number: l.number, prepared: now,
		Exchange: Exchange{From: l.self, Home: p.incarnation, Group: group, Terms: l.timing},
	}
}

func (l *Lender) peer(name string) *peer {
	p := l.peers[name]
	if p == nil {
		p = &peer{}
		l.peers[name] = p
	}
	return p
}

// Complete takes over the reply to an exchange. It reports whether the home has
// a younger ledger that denies the right.
func (l *Lender) Complete(out Outgoing, reply Reply, now time.Time) (superseded bool) {
	p := l.peer(out.To)
	if reply.Home < p.incarnation && now.Sub(p.lastReply) < l.timing.RestartDelay() {
		return false // from a predecessor
	}
	if out.To != l.self.Name {
		l.confirm(reply.Ledger, now)
	}
	known := p.incarnation
	restarted := reply.Home != known && known != 0
	if reply.Home != p.incarnation || reply.Stamp > p.timestamp {
		p.incarnation, p.timestamp = reply.Home, reply.Stamp
	}
	if !p.failingSince.IsZero() || reply.Home != known {
		l.renewNow(out.To)
	}
	p.lastReply, p.failingSince, p.failures = now, time.Time{}, 0
	l.setSuspect(p, reply.Leaving)
	if restarted {
		l.shortenAfterRestart(out.To, reply.Home, now)
	}
	g := &l.groups[out.Exchange.Group]
	if reply.Released && g.owner == out.To && g.incarnation == reply.Home && out.number >= g.lastLease {
		g.heldUntil = earlier(g.heldUntil, now.Add(l.timing.holdAfterRelease()))
	}
	if reply.Superseded {
		l.SetRights(nil, now, l.lastConfirmed)
	}
	return reply.Superseded
}

// renewSoon makes exchanges with a home due that answers again.
func (l *Lender) renewNow(owner string) {
	for i := range l.groups {
		if l.Target(i) == owner {
			l.groups[i].lastExchange = time.Time{}
		}
	}
}

// freeAfterRestart shortens the terms of a home that a younger incarnation replaced.
func (l *Lender) shortenAfterRestart(owner string, incarnation uint64, now time.Time) {
	for i := range l.groups {
		g := &l.groups[i]
		if g.owner == owner && g.incarnation < incarnation {
			g.heldUntil = earlier(g.heldUntil, now.Add(l.timing.holdAfterRelease()))
		}
	}
}

// Fail notes that an exchange got no reply.
func (l *Lender) Fail(out Outgoing, now time.Time) {
	p := l.peer(out.To)
	if p.lastReply.After(out.prepared) || out.To == l.self.Name {
		return
	}
	if p.failingSince.IsZero() {
		p.failingSince = out.prepared
	}
	p.failures++
	if now.Sub(p.failingSince) >= SuspectAfter && p.failures >= minSuspectFailures {
		l.setSuspect(p, true)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
