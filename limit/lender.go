package limit

import (
	"slices"
	"time"

	"lacewingmount.dev/membership"
)

// Lender leases one VM's shares, group by group, to the owners of the groups.
type Lender struct {
	timing        Timing
	self          VM
	shares        []Lease
	availableFrom time.Time // the shares are not leased earlier
	lastConfirmed time.Time // last contact with the store or a peer
	members       []membership.Member
	hadPeers      bool
	active        [GroupCount]bool // groups that have accounts
	confirmSent   time.Time        // last exchange sent only to confirm the shares
	confirmIndex  int              // index of the member that it was sent to
	peers         map[string]*peer
	groups        [GroupCount]groupLease
	owners        [GroupCount]string // cache of OwnerOf; empty if not known
	number        uint64             // of the last outgoing exchange
	leaving       bool
}

// groupLease records to which owner the shares are leased for one group.
type groupLease struct {
	owner          string // that the shares were last leased to
	incarnation    uint64 // of that owner
	heldUntil      time.Time
	lastLease      uint64    // number of the last exchange that leased them
	lastExchange   time.Time // last exchange with the current owner
	lastWithdrawal time.Time // last withdrawal prepared
}

// peer is a lender's record of one owner.
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
	// ExchangePeriod is how often a lease is renewed.
	ExchangePeriod = 500 * time.Millisecond
	// SuspectAfter is how long exchanges with an owner may fail until its groups
	// move to other owners.
	SuspectAfter       = 600 * time.Millisecond
	minSuspectFailures = 3                      // consecutive, at least
	retryPeriod        = 150 * time.Millisecond // of exchanges with an owner that did not answer the last one
	probePeriod        = time.Second            // of exchanges with suspected owners
)

// NewLender returns a lender that knows no other VM and has no shares.
func NewLender(timing Timing, self VM) *Lender {
	return &Lender{timing: timing, self: self, peers: map[string]*peer{}}
}

// SetMembers replaces the VMs in service, this one included.
func (l *Lender) SetMembers(members []membership.Member) {
	l.members = members
	l.hadPeers = l.hadPeers || len(members) > 1
	l.owners = [GroupCount]string{}
}

// SetAccounts sets which accounts exist; groups without accounts are not leased.
func (l *Lender) SetAccounts(quotas map[string]Quota) {
	l.active = [GroupCount]bool{}
	for account := range quotas {
		l.active[GroupOf(account)] = true
	}
}

// SetShares replaces the shares that the ledger gives to this VM. They are leased
// from availableFrom on. It counts as contact with the store. If a VM is no longer among
// the holders, its shares may be part of another holding now; then nothing is leased
// until all earlier leases have ended.
func (l *Lender) SetShares(shares []Lease, availableFrom, now time.Time) {
	for _, old := range l.shares {
		kept := slices.ContainsFunc(shares, func(other Lease) bool { return other.Holder.Name == old.Holder.Name })
		if !kept {
			availableFrom = later(availableFrom, l.FreeAt())
		}
	}
	l.shares, l.availableFrom, l.lastConfirmed = shares, later(l.availableFrom, availableFrom), now
}

// AddShares adds the shares of a VM that has left and that no owner uses any more.
// The caller must have received them from that VM, which gives them to one successor only.
func (l *Lender) AddShares(shares []Lease) {
	merged := slices.Clone(l.shares)
	for _, lease := range shares {
		known := slices.ContainsFunc(merged, func(other Lease) bool { return other.Holder.Name == lease.Holder.Name })
		if !known && lease.valid() {
			merged = append(merged, lease)
		}
	}
	l.shares = merged
}

// HeldShares returns the shares that the VM may lease.
func (l *Lender) HeldShares() []Lease { return l.shares }

// confirm records contact with a peer. After more than ConfirmationTTL without contact
// it counts only if the peer knows no newer ledger, because the shares may have been
// given to another VM.
func (l *Lender) confirm(ledger uint64, now time.Time) {
	if now.Sub(l.lastConfirmed) > ConfirmationTTL && ledger > l.ledger() {
		return
	}
	l.lastConfirmed = now
}

// ledger returns the version of the ledger that the shares come from.
func (l *Lender) ledger() uint64 {
	var version uint64
	for _, lease := range l.shares {
		version = max(version, lease.Ledger)
	}
	return version
}

// Leave stops leasing. No owner uses the shares after FreeAt.
func (l *Lender) Leave() { l.leaving = true }

// FreeAt returns when no owner uses the shares any more if they are not leased again.
func (l *Lender) FreeAt() time.Time {
	var free time.Time
	for i := range l.groups {
		free = later(free, l.groups[i].heldUntil)
	}
	return free
}

// mayLease reports whether the shares may be leased now.
func (l *Lender) mayLease(now time.Time) bool {
	if l.leaving || len(l.shares) == 0 || now.Before(l.availableFrom) {
		return false
	}
	return !l.hadPeers || now.Sub(l.lastConfirmed) <= ConfirmationTTL
}

// Prepare returns an exchange with the owner of a group that carries the given token
// requests, and leases the shares if they are free. Nothing is leased to an owner that
// did not answer the last exchange: that would only delay the next owner.
func (l *Lender) Prepare(group int, tokenRequests []TokenRequest, now time.Time) Outgoing {
	ownerName := l.OwnerOf(group)
	out := l.exchange(ownerName, group, now)
	out.Exchange.TokenRequests = tokenRequests
	g := &l.groups[group]
	g.lastExchange = now
	p := l.peer(ownerName)
	if p.incarnation == 0 || !p.failingSince.IsZero() || !l.mayLease(now) || !g.availableTo(ownerName, p.incarnation, now) {
		return out
	}
	g.owner, g.incarnation, g.lastLease = ownerName, p.incarnation, out.number
	g.heldUntil = later(g.heldUntil, now.Add(l.timing.lenderHold()))
	out.Exchange.Leases, out.Exchange.Timestamp = l.shares, p.timestamp
	return out
}

// availableTo reports whether the shares may be leased to the given owner.
func (g *groupLease) availableTo(owner string, incarnation uint64, now time.Time) bool {
	return (g.owner == owner && g.incarnation == incarnation) || !now.Before(g.heldUntil)
}

func (l *Lender) exchange(to string, group int, now time.Time) Outgoing {
	p := l.peer(to)
	p.lastAttempt = now
	l.number++
	return Outgoing{
		To: to, number: l.number, prepared: now,
		Exchange: Exchange{From: l.self, Owner: p.incarnation, Group: group, Timing: l.timing},
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

// Complete processes the reply to an exchange. It reports whether the owner has a
// newer ledger that contradicts the lease.
func (l *Lender) Complete(out Outgoing, reply Reply, now time.Time) (superseded bool) {
	p := l.peer(out.To)
	if reply.Owner < p.incarnation && now.Sub(p.lastReply) < l.timing.RestartDelay() {
		return false // from an earlier incarnation
	}
	if out.To != l.self.Name {
		l.confirm(reply.Ledger, now)
	}
	known := p.incarnation
	restarted := reply.Owner != known && known != 0
	if reply.Owner != p.incarnation || reply.Timestamp > p.timestamp {
		p.incarnation, p.timestamp = reply.Owner, reply.Timestamp
	}
	if !p.failingSince.IsZero() || reply.Owner != known {
		l.renewNow(out.To)
	}
	p.lastReply, p.failingSince, p.failures = now, time.Time{}, 0
	l.setSuspect(p, reply.Leaving)
	if restarted {
		l.shortenAfterRestart(out.To, reply.Owner, now)
	}
	g := &l.groups[out.Exchange.Group]
	if reply.Released && g.owner == out.To && g.incarnation == reply.Owner && out.number >= g.lastLease {
		g.heldUntil = earlier(g.heldUntil, now.Add(l.timing.holdAfterRelease()))
	}
	if reply.Superseded {
		l.SetShares(nil, now, l.lastConfirmed)
	}
	return reply.Superseded
}

// renewNow makes exchanges with an owner due that answers again.
func (l *Lender) renewNow(owner string) {
	for i := range l.groups {
		if l.OwnerOf(i) == owner {
			l.groups[i].lastExchange = time.Time{}
		}
	}
}

// shortenAfterRestart shortens the leases of an owner that a newer incarnation replaced.
func (l *Lender) shortenAfterRestart(owner string, incarnation uint64, now time.Time) {
	for i := range l.groups {
		g := &l.groups[i]
		if g.owner == owner && g.incarnation < incarnation {
			g.heldUntil = earlier(g.heldUntil, now.Add(l.timing.holdAfterRelease()))
		}
	}
}

// Fail records that an exchange got no reply.
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
