package limit

import "time"

// group is the set of rights lent for one group of accounts, with their buckets.
type group struct {
	leases       map[string]activeLease // by the VM that holds the shares
	droppedAt    map[string]time.Time   // when a right was dropped before its end
	weight       float64                // sum of the rights
	integral     float64                // of the weight over time, in seconds
	integratedTo time.Time              // up to which the integral counts
	nextEnd      time.Time              // not after the end of any right
	quotas       map[string]Quota
	buckets      map[string]*bucket // of all accounts, once a right was lent
	complete     bool               // no account lacks a bucket
	active       []*bucket          // those that have sessions
	lastSweep    time.Time          // when the busy buckets were last looked through
}

// activeLease is a lend until its end.
type activeLease struct {
	Lend
	end time.Time
}

// advance integrates the weight up to now, ending each right in its time.
func (g *group) advance(now time.Time) {
	for len(g.leases) > 0 && !now.Before(g.nextEnd) {
		g.integrate(g.nextEnd)
		g.removeExpired(g.nextEnd)
	}
	g.integrate(now)
	if now.Sub(g.lastSweep) >= sweepPeriod {
		g.lastSweep = now
		g.sweep(now)
	}
}

// sweepPeriod is how late a bucket may notice that tokens expired. Until then it
// fills as if they could still be spent.
const sweepPeriod = 20 * time.Millisecond

// sweep lets tokens expire in buckets that nobody asks.
func (g *group) sweep(now time.Time) {
	kept := g.active[:0]
	for _, b := range g.active {
		if !now.Before(b.nextExpiry) {
			b.fill(g.integral, g.weight)
			b.expire(now)
		}
		b.active = len(b.sessions) > 0
		if b.active {
			kept = append(kept, b)
		}
	}
	clear(g.active[len(kept):])
	g.active = kept
}

func (g *group) markActive(b *bucket) {
	if !b.active {
		b.active = true
		g.active = append(g.active, b)
	}
}

func (g *group) integrate(to time.Time) {
	if elapsed := to.Sub(g.integratedTo); elapsed > 0 {
		g.integral += g.weight * elapsed.Seconds()
		g.integratedTo = to
	}
}

// removeEnded removes the rights that end at the given time or before.
func (g *group) removeExpired(at time.Time) {
	for name, r := range g.leases {
		if !at.Before(r.end) {
			g.remove(name)
		}
	}
	g.updateNextEnd()
}

func (g *group) updateNextEnd() {
	first := true
	for _, r := range g.leases {
		if first || r.end.Before(g.nextEnd) {
			g.nextEnd, first = r.end, false
		}
	}
}

// remove takes a right away, with its part of every bucket.
func (g *group) remove(name string) {
	g.fillAll()
	delete(g.leases, name)
	g.updateWeight()
	g.clipAll()
}

func (g *group) fillAll() {
	for _, b := range g.buckets {
		b.fill(g.integral, g.weight)
	}
}

func (g *group) clipAll() {
	for _, b := range g.buckets {
		b.clip(g.weight)
	}
}

// setWeight sums up the rights in whole shares, so that no rounding adds up.
func (g *group) updateWeight() {
	shares := map[int]int{}
	for _, r := range g.leases {
		shares[r.Total] += r.Shares
	}
	g.weight = 0
	for total, held := range shares {
		g.weight += float64(held) / float64(total)
	}
	g.weight = min(g.weight, 1)
}

// drop ends a right before its time. Lends sent before are refused from now on.
func (g *group) drop(name string, now time.Time, timing Terms) {
	if g.droppedAt == nil {
		g.droppedAt = map[string]time.Time{}
	}
	for other, at := range g.droppedAt {
		if now.Sub(at) > timing.Lend {
			delete(g.droppedAt, other) // lends sent before have ended by themselves
		}
	}
	g.droppedAt[name] = now
	if _, ok := g.leases[name]; ok {
		g.remove(name)
	}
}

// accept takes a right for what remains of its term.
func (g *group) accept(lease Lend, stamp, now time.Time, timing Terms) {
	end := stamp.Add(timing.Lend)
	if !now.Before(end) || stamp.After(now) || !lease.valid() {
		return
	}
	if at, ok := g.droppedAt[lease.Holder.Name]; ok && !stamp.After(at) {
		return
	}
	known := g.leases[lease.Holder.Name]
	if end.Before(known.end) || lease.Holder.Incarnation < known.Holder.Incarnation {
		return // a newer lend came first
	}
	g.setLease(activeLease{Lend: lease, end: end}, known)
}

// setLease replaces the known right of the same VM, if there is one.
func (g *group) setLease(next, known activeLease) {
	if g.leases == nil {
		g.leases = map[string]activeLease{}
	}
	if next.Shares == known.Shares && next.Total == known.Total {
		g.leases[next.Holder.Name] = next
		return
	}
	g.fillAll()
	g.leases[next.Holder.Name] = next
	g.updateWeight()
	g.updateNextEnd()
	g.clipAll()
	g.addBuckets()
}

// addBuckets adds the buckets of accounts that have none. A new bucket is empty.
func (g *group) addBuckets() {
	if len(g.leases) == 0 || g.complete {
		return
	}
	if g.buckets == nil {
		g.buckets = make(map[string]*bucket, len(g.quotas))
	}
	for account, quota := range g.quotas {
		if g.buckets[account] == nil {
			g.buckets[account] = &bucket{quota: quota, filledTo: g.integral, sessions: map[sessionKey]*session{}}
		}
	}
	g.complete = true
}

// setQuotas changes the buckets' rates and bursts. An account that is gone is
// forgotten once none of its tokens can be spent.
func (g *group) setQuotas(quotas map[string]Quota) {
	g.quotas, g.complete = quotas, false
	for account, b := range g.buckets {
		b.fill(g.integral, g.weight)
		b.expire(g.integratedTo)
		b.quota = quotas[account]
		b.clip(g.weight)
		if b.quota == (Quota{}) && len(b.sessions) == 0 {
			delete(g.buckets, account)
		}
	}
	g.addBuckets()
}
