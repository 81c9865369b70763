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
func (h *Owner) SetQuotas(quotas map[string]Quota, now time.Time) {
	var byGroup [GroupCount]map[string]Quota
	for account, quota := range quotas {
		i := GroupOf(account)
		if byGroup[i] == nil {
			byGroup[i] = map[string]Quota{}
		}
		byGroup[i][account] = quota
	}
	for i := range h.groups {
		h.groups[i].advance(now)
		h.groups[i].setQuotas(byGroup[i])
	}
}

// SetLedger stores a newer ledger and drops the leases that contradict it.
func (h *Owner) SetLedger(ledger Ledger, now time.Time) {
	if ledger.Version <= h.ledger.Version {
		return
	}
	h.ledger = ledger
	for i := range h.groups {
		g := &h.groups[i]
		g.advance(now)
		for name, lease := range g.leases {
			if !h.allowedByLedger(lease.Lease) {
				g.drop(name, now, h.timing)
			}
		}
	}
}

// Leave drops all leases and refuses new ones. Lenders are told in the reply to
// their next exchange.
func (h *Owner) Leave(now time.Time) {
	h.leaving = true
	for i := range h.groups {
		g := &h.groups[i]
		g.advance(now)
		for name := range g.leases {
			g.drop(name, now, h.timing)
		}
	}
}

// Handle answers an exchange.
func (h *Owner) Handle(m Exchange, now time.Time) Reply {
	reply := Reply{Owner: h.incarnation, Timestamp: now.UnixNano(), Ledger: h.ledger.Version, Leaving: h.leaving}
	if m.Timing != h.timing || m.Group < 0 || m.Group >= GroupCount {
		reply.Mismatch = true
		return reply
	}
	if m.Owner != h.incarnation {
		return reply // the sender must learn the incarnation before its request counts
	}
	g := &h.groups[m.Group]
	g.advance(now)
	for _, name := range m.Withdraw {
		g.drop(name, now, h.timing)
	}
	reply.Released = h.leaving || len(m.Withdraw) > 0
	for _, lease := range m.Leases {
		if !h.allowedByLedger(lease) {
			reply.Superseded = true
		} else if !h.leaving {
			g.accept(lease, time.Unix(0, m.Timestamp), now, h.timing)
		}
	}
	for _, tokenRequest := range m.TokenRequests {
		if grant, ok := h.answer(g, m.From, tokenRequest, now); ok {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	return reply
}

// allowedByLedger reports whether no newer ledger contradicts the lease.
func (h *Owner) allowedByLedger(lease Lease) bool {
	if h.ledger.Version <= lease.Ledger {
		return true
	}
	return h.ledger.weight(lease.Holder) >= lease.weight()
}

// answer grants tokens for a token request. ok is false if the request is not the newest.
func (h *Owner) answer(g *group, from VM, tokenRequest TokenRequest, now time.Time) (grant Grant, ok bool) {
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
	return b.grant(s, tokenRequest, g.weight, h.timing, now), true
}

// Weight returns the sum of the leases that the owner may use for a group at the given
// time, as a fraction of all shares.
func (h *Owner) Weight(group int, now time.Time) float64 {
	h.groups[group].advance(now)
	return h.groups[group].weight
}

// HasLeaseFrom reports whether the owner may use a lease of the named VM.
func (h *Owner) HasLeaseFrom(name string, now time.Time) bool {
	for i := range h.groups {
		h.groups[i].advance(now)
		if _, ok := h.groups[i].leases[name]; ok {
			return true
		}
	}
	return false
}

// TokenBalance returns an account's level and its outstanding tokens at the given time.
func (h *Owner) TokenBalance(account string, now time.Time) (level float64, outstanding int) {
	g := &h.groups[GroupOf(account)]
	g.advance(now)
	b := g.buckets[account]
	if b == nil {
		return 0, 0
	}
	b.fill(g.integral, g.weight)
	b.expire(now)
	return b.level, b.outstanding
}
