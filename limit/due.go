package limit

import "time"

// Due returns the exchanges that should be sent now: those that renew leases,
// withdrawals from former owners, and probes of suspected owners.
func (l *Lender) Due(now time.Time) []Outgoing {
	var due []Outgoing
	for i := range l.groups {
		g := &l.groups[i]
		if !l.active[i] && !now.Before(g.heldUntil) && l.Source(i) != 0 {
			continue
		}
		if l.leasedToFormerOwner(i, now) && now.Sub(g.lastWithdrawal) >= ExchangePeriod {
			due = append(due, l.withdraw(i, now))
		}
		if now.Sub(g.lastExchange) >= l.period(i) {
			due = append(due, l.Prepare(i, nil, now))
		}
	}
	for _, member := range l.members {
		p := l.peers[member.Name]
		if p != nil && p.suspect && now.Sub(p.lastAttempt) >= probePeriod {
			due = append(due, l.exchange(member.Name, 0, now))
		}
	}
	return append(due, l.confirmWithPeer(now)...)
}

// period is how often exchanges with the owner of a group are due.
func (l *Lender) period(group int) time.Duration {
	if p := l.peers[l.OwnerOf(group)]; p != nil && !p.failingSince.IsZero() {
		return retryPeriod
	}
	return ExchangePeriod
}

// confirmWithPeer contacts the members in turn when no exchange with a peer was due
// for a third of ConfirmationTTL, as in a small fleet in which this VM owns all groups.
func (l *Lender) confirmWithPeer(now time.Time) []Outgoing {
	if now.Sub(l.lastConfirmed) < ConfirmationTTL/3 || now.Sub(l.confirmSent) < probePeriod || len(l.members) < 2 {
		return nil
	}
	l.confirmSent = now
	l.confirmIndex = (l.confirmIndex + 1) % len(l.members)
	if l.members[l.confirmIndex].Name == l.self.Name {
		l.confirmIndex = (l.confirmIndex + 1) % len(l.members)
	}
	return []Outgoing{l.exchange(l.members[l.confirmIndex].Name, 0, now)}
}

// leasedToFormerOwner reports whether a former owner that is not suspected may still
// use the shares.
func (l *Lender) leasedToFormerOwner(group int, now time.Time) bool {
	g := &l.groups[group]
	if g.owner == "" || !now.Before(g.heldUntil) || l.peer(g.owner).suspect {
		return false
	}
	return l.leaving || g.owner != l.OwnerOf(group)
}

func (l *Lender) withdraw(group int, now time.Time) Outgoing {
	g := &l.groups[group]
	g.lastWithdrawal = now
	out := l.exchange(g.owner, group, now)
	for _, lease := range l.shares {
		out.Exchange.Withdraw = append(out.Exchange.Withdraw, lease.Holder.Name)
	}
	return out
}
