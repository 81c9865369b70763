package limit

import "time"

// group is the set of leases held for one group of accounts, with their buckets.
type group struct {
	leases       map[string]activeLease // by the name of the VM that holds the shares
	droppedAt    map[string]time.Time   // when a lease was dropped before its end
	weight       float64                // sum of the leases, as a fraction of all shares
	integral     float64                // of the weight over time, in seconds
	integratedTo time.Time              // up to which the integral counts
	nextEnd      time.Time              // not later than the end of any lease
	quotas       map[string]Quota
	buckets      map[string]*bucket // of all accounts, once a lease was accepted
	complete     bool               // each account has a bucket
	active       []*bucket          // buckets that have sessions
	lastSweep    time.Time          // when sweep last ran
}

// activeLease is a lease that an owner uses until its end.
type activeLease struct {
	Lease
	end time.Time
}

// advance integrates the weight up to now and removes each lease at its end.
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

// sweep expires tokens in buckets that receive no token requests.
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

// removeExpired removes the leases that end at the given time or before.
func (g *group) removeExpired(at time.Time) {
	for name, lease := range g.leases {
		if !at.Before(lease.end) {
			g.remove(name)
		}
	}
	g.updateNextEnd()
}

func (g *group) updateNextEnd() {
	first := true
	for _, lease := range g.leases {
		if first || lease.end.Before(g.nextEnd) {
			g.nextEnd, first = lease.end, false
		}
	}
}

// remove deletes a lease and takes its part of every bucket.
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

// updateWeight adds up the leases in whole shares, so that rounding errors do not accumulate.
func (g *group) updateWeight() {
	shares := map[int]int{}
	for _, lease := range g.leases {
		shares[lease.Total] += lease.Shares
	}
	g.weight = 0
	for total, held := range shares {
		g.weight += float64(held) / float64(total)
	}
	g.weight = min(g.weight, 1)
}

// drop ends a lease before its time. Leases sent before are refused from then on.
func (g *group) drop(name string, now time.Time, timing Timing) {
	if g.droppedAt == nil {
		g.droppedAt = map[string]time.Time{}
	}
	for other, dropped := range g.droppedAt {
		if now.Sub(dropped) > timing.Lease {
			delete(g.droppedAt, other) // leases sent before have expired
		}
	}
	g.droppedAt[name] = now
	if _, ok := g.leases[name]; ok {
		g.remove(name)
	}
}

// accept uses a lease for what remains of its time.
func (g *group) accept(lease Lease, timestamp, now time.Time, timing Timing) {
	end := timestamp.Add(timing.Lease)
	if !now.Before(end) || timestamp.After(now) || !lease.valid() {
		return
	}
	if dropped, ok := g.droppedAt[lease.Holder.Name]; ok && !timestamp.After(dropped) {
		return
	}
	known := g.leases[lease.Holder.Name]
	if end.Before(known.end) || lease.Holder.Incarnation < known.Holder.Incarnation {
		return // a newer lease arrived first
	}
	g.setLease(activeLease{Lease: lease, end: end}, known)
}

// setLease replaces the known lease of the same VM, if there is one.
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

// setQuotas changes the rates and bursts of the buckets. The bucket of a removed
// account is deleted once none of its tokens can be spent.
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
