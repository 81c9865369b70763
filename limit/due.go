package limit

import "time"

// Due returns the exchanges that should be sent now: those that renew rights,
// withdrawals from former homes, and trials of suspected homes.
func (l *Lender) Due(now time.Time) []Outgoing {
	var due []Outgoing
	for i := range l.groups {
		g := &l.groups[i]
		if !l.active[i] && !now.Before(g.until) && l.Source(i) != 0 {
			continue
		}
		if l.lentElsewhere(i, now) && now.Sub(g.withdrawn) >= ExchangePeriod {
			due = append(due, l.withdraw(i, now))
		}
		if now.Sub(g.exchanged) >= l.period(i) {
			due = append(due, l.Prepare(i, nil, now))
		}
	}
	for _, member := range l.members {
		p := l.peers[member.Name]
		if p != nil && p.suspect && now.Sub(p.tried) >= pingPeriod {
			due = append(due, l.exchange(member.Name, 0, now))
		}
	}
	return append(due, l.confirmWithPeer(now)...)
}

// period is how often exchanges with the home of a group are due.
func (l *Lender) period(group int) time.Duration {
	if p := l.peers[l.Target(group)]; p != nil && !p.failing.IsZero() {
		return retryPeriod
	}
	return ExchangePeriod
}

// confirmWithPeer contacts one member after the other when no exchange with a peer
// was due for long, as in a small fleet in which this VM is home of all groups.
func (l *Lender) confirmWithPeer(now time.Time) []Outgoing {
	if now.Sub(l.confirmed) < ConfirmFor/3 || now.Sub(l.signed) < pingPeriod || len(l.members) < 2 {
		return nil
	}
	l.signed = now
	l.asked = (l.asked + 1) % len(l.members)
	if l.members[l.asked].Name == l.self.Name {
		l.asked = (l.asked + 1) % len(l.members)
	}
	return []Outgoing{l.exchange(l.members[l.asked].Name, 0, now)}
}

// lentElsewhere reports whether a former home, not suspected, may still use the rights.
func (l *Lender) lentElsewhere(group int, now time.Time) bool {
	g := &l.groups[group]
	if g.home == "" || !now.Before(g.until) || l.peer(g.home).suspect {
		return false
	}
	return l.leaving || g.home != l.Target(group)
}

func (l *Lender) withdraw(group int, now time.Time) Outgoing {
	g := &l.groups[group]
	g.withdrawn = now
	out := l.exchange(g.home, group, now)
	for _, right := range l.rights {
		out.Exchange.Withdraw = append(out.Exchange.Withdraw, right.Holder.Name)
	}
	return out
}
