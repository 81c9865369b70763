package limit

import "time"

// Home sums up the rights lent to one VM and grants tokens out of them.
type Home struct {
	timing      Terms
	incarnation uint64
	ledger      Ledger
	groups      [Groups]group
	leaving     bool
}

// NewHome returns a home without rights.
func NewHome(timing Terms, incarnation uint64) *Home {
	return &Home{timing: timing, incarnation: incarnation}
}

// SetQuotas replaces the rates and bursts of all accounts.
func (h *Home) SetQuotas(quotas map[string]Quota, now time.Time) {
	var byGroup [Groups]map[string]Quota
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

// SetLedger takes over a younger ledger and drops the rights that it denies.
func (h *Home) SetLedger(ledger Ledger, now time.Time) {
	if ledger.Version <= h.ledger.Version {
		return
	}
	h.ledger = ledger
	for i := range h.groups {
		g := &h.groups[i]
		g.advance(now)
		for name, lease := range g.leases {
			if !h.owned(lease.Lend) {
				g.drop(name, now, h.timing)
			}
		}
	}
}

// Leave drops all rights and refuses new ones. Lenders learn it with their next exchange.
func (h *Home) Leave(now time.Time) {
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
func (h *Home) Handle(m Exchange, now time.Time) Reply {
	reply := Reply{Home: h.incarnation, Stamp: now.UnixNano(), Ledger: h.ledger.Version, Leaving: h.leaving}
	if m.Terms != h.timing || m.Group < 0 || m.Group >= Groups {
		reply.Mismatch = true
		return reply
	}
	if m.Home != h.incarnation {
		return reply // the sender learns the incarnation first
	}
	g := &h.groups[m.Group]
	g.advance(now)
	for _, name := range m.Withdraw {
		g.drop(name, now, h.timing)
	}
	reply.Released = h.leaving || len(m.Withdraw) > 0
	for _, lease := range m.Lends {
		if !h.owned(lease) {
			reply.Superseded = true
		} else if !h.leaving {
			g.accept(lease, time.Unix(0, m.Stamp), now, h.timing)
		}
	}
	for _, tokenRequest := range m.Asks {
		if grant, ok := h.answer(g, m.From, tokenRequest, now); ok {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	return reply
}

// owned reports whether no younger ledger denies the right.
func (h *Home) owned(lease Lend) bool {
	if h.ledger.Version <= lease.Ledger {
		return true
	}
	return h.ledger.weight(lease.Holder) >= lease.weight()
}

// answer grants tokens for an ask. ok is false if the ask is not the newest.
func (h *Home) answer(g *group, from VM, tokenRequest Ask, now time.Time) (grant Grant, ok bool) {
	b := g.buckets[tokenRequest.Account]
	if b == nil {
		return Grant{Account: tokenRequest.Account, Seq: tokenRequest.Seq, Wait: noLeaseRetryAfter}, true
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

// Weight returns the sum of the rights that the home may use for a group at the given time.
func (h *Home) Weight(group int, now time.Time) float64 {
	h.groups[group].advance(now)
	return h.groups[group].weight
}

// LentBy reports whether the home may use a right of the named VM.
func (h *Home) LentBy(name string, now time.Time) bool {
	for i := range h.groups {
		h.groups[i].advance(now)
		if _, ok := h.groups[i].leases[name]; ok {
			return true
		}
	}
	return false
}

// Stock returns an account's level and its tokens outstanding at the given time.
func (h *Home) Stock(account string, now time.Time) (level float64, outstanding int) {
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
