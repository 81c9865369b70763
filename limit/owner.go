package limit

import "time"

// Owner adds up the leases given to one VM and grants tokens out of them.
type Owner struct {
	timing      Timing
	incarnation uint64
	ledger      Ledger
	groups      [GroupCount]group
	leaving     bool
}

// NewOwner returns an owner without leases.
func NewOwner(timing Timing, incarnation uint64) *Owner {
	return &Owner{timing: timing, incarnation: incarnation}
}

// SetQuotas replaces the rates and bursts of all accounts.
func (o *Owner) SetQuotas(quotas map[string]Quota, now time.Time) {
	var byGroup [GroupCount]map[string]Quota
	for account, quota := range quotas {
		i := GroupOf(account)
		if byGroup[i] == nil {
			byGroup[i] = map[string]Quota{}
		}
		byGroup[i][account] = quota
	}
	for i := range o.groups {
		o.groups[i].advance(now)
		o.groups[i].setQuotas(byGroup[i])
	}
}

// SetLedger stores a newer ledger and drops the leases that contradict it.
func (o *Owner) SetLedger(ledger Ledger, now time.Time) {
	if ledger.Version <= o.ledger.Version {
		return
	}
	o.ledger = ledger
	for i := range o.groups {
		g := &o.groups[i]
		g.advance(now)
		for name, lease := range g.leases {
			if !o.allowedByLedger(lease.Lease) {
				g.drop(name, now, o.timing)
			}
		}
	}
}

// Leave drops all leases and refuses new ones. Lenders are told in the reply to
// their next exchange.
func (o *Owner) Leave(now time.Time) {
	o.leaving = true
	for i := range o.groups {
		g := &o.groups[i]
		g.advance(now)
		for name := range g.leases {
			g.drop(name, now, o.timing)
		}
	}
}

// Handle answers an exchange.
func (o *Owner) Handle(m Exchange, now time.Time) Reply {
	reply := Reply{Owner: o.incarnation, Timestamp: now.UnixNano(), Ledger: o.ledger.Version, Leaving: o.leaving}
	if m.Timing != o.timing || m.Group < 0 || m.Group >= GroupCount {
		reply.Mismatch = true
		return reply
	}
	if m.Owner != o.incarnation {
		return reply // the sender must learn the incarnation before its request counts
	}
	g := &o.groups[m.Group]
	g.advance(now)
	for _, name := range m.Withdraw {
		g.drop(name, now, o.timing)
	}
	reply.Released = o.leaving || len(m.Withdraw) > 0
	for _, lease := range m.Leases {
		if !o.allowedByLedger(lease) {
			reply.Superseded = true
		} else if !o.leaving {
			g.accept(lease, time.Unix(0, m.Timestamp), now, o.timing)
		}
	}
	for _, tokenRequest := range m.TokenRequests {
		if grant, ok := o.answer(g, m.From, tokenRequest, now); ok {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	return reply
}

// allowedByLedger reports whether no newer ledger contradicts the lease.
func (o *Owner) allowedByLedger(lease Lease) bool {
	if o.ledger.Version <= lease.Ledger {
		return true
	}
	return o.ledger.weight(lease.Holder) >= lease.weight()
}

// answer grants tokens for a token request. ok is false if the request is not the newest.
func (o *Owner) answer(g *group, from VM, tokenRequest TokenRequest, now time.Time) (grant Grant, ok bool) {
	b := g.buckets[tokenRequest.Account]
	if b == nil {
		return Grant{Account: tokenRequest.Account, Seq: tokenRequest.Seq, RetryAfter: noLeaseRetryAfter}, true
	}
	b.fill(g.integral, g.weight)
	b.expire(now)
	g.markActive(b)
	s := b.session(sessionKey{from: from, id: tokenRequest.Session}, tokenRequest.Seq)
	if s == nil {
		return Grant{}, false
	}
	b.applyReport(s, tokenRequest)
	b.clip(g.weight)
	return b.grant(s, tokenRequest, g.weight, o.timing, now), true
}

// Weight returns the sum of the leases that the owner may use for a group at the given
// time, as a fraction of all shares.
func (o *Owner) Weight(group int, now time.Time) float64 {
	o.groups[group].advance(now)
	return o.groups[group].weight
}

// HasLeaseFrom reports whether the owner may use a lease of the named VM.
func (o *Owner) HasLeaseFrom(name string, now time.Time) bool {
	for i := range o.groups {
		o.groups[i].advance(now)
		if _, ok := o.groups[i].leases[name]; ok {
			return true
		}
	}
	return false
}

// TokenBalance returns an account's level and its outstanding tokens at the given time.
func (o *Owner) TokenBalance(account string, now time.Time) (level float64, outstanding int) {
	g := &o.groups[GroupOf(account)]
	g.advance(now)
	b := g.buckets[account]
	if b == nil {
		return 0, 0
	}
	b.fill(g.integral, g.weight)
	b.expire(now)
	return b.level, b.outstanding
}
