package limit

import "time"

// group is the set of rights lent for one group of accounts, with their buckets.
type group struct {
	rights   map[string]right     // by the VM that holds the shares
	dropped  map[string]time.Time // when a right was dropped before its end
	weight   float64              // sum of the rights
	integral float64              // of the weight over time, in seconds
	at       time.Time            // up to which the integral counts
	nextEnd  time.Time            // not after the end of any right
	quotas   map[string]Quota
	buckets  map[string]*bucket // of all accounts, once a right was lent
	complete bool               // no account lacks a bucket
	busy     []*bucket          // those that have sessions
	swept    time.Time          // when the busy buckets were last looked through
}

// right is a lend until its end.
type right struct {
	Lend
	end time.Time
}

// advance integrates the weight up to now, ending each right in its time.
func (g *group) advance(now time.Time) {
	for len(g.rights) > 0 && !now.Before(g.nextEnd) {
		g.integrate(g.nextEnd)
		g.removeEnded(g.nextEnd)
	}
	g.integrate(now)
	if now.Sub(g.swept) >= sweepPeriod {
		g.swept = now
		g.sweep(now)
	}
}

// sweepPeriod is how late a bucket may notice that tokens expired. Until then it
// fills as if they could still be spent.
const sweepPeriod = 20 * time.Millisecond

// sweep lets tokens expire in buckets that nobody asks.
func (g *group) sweep(now time.Time) {
	kept := g.busy[:0]
	for _, b := range g.busy {
		if !now.Before(b.nextExpiry) {
			b.fill(g.integral, g.weight)
			b.expire(now)
		}
		b.busy = len(b.sessions) > 0
		if b.busy {
			kept = append(kept, b)
		}
	}
	clear(g.busy[len(kept):])
	g.busy = kept
}

func (g *group) noteBusy(b *bucket) {
	if !b.busy {
		b.busy = true
		g.busy = append(g.busy, b)
	}
}

func (g *group) integrate(to time.Time) {
	if elapsed := to.Sub(g.at); elapsed > 0 {
		g.integral += g.weight * elapsed.Seconds()
		g.at = to
	}
}

// removeEnded removes the rights that end at the given time or before.
func (g *group) removeEnded(at time.Time) {
	for name, r := range g.rights {
		if !at.Before(r.end) {
			g.remove(name)
		}
	}
	g.setNextEnd()
}

func (g *group) setNextEnd() {
	first := true
	for _, r := range g.rights {
		if first || r.end.Before(g.nextEnd) {
			g.nextEnd, first = r.end, false
		}
	}
}

// remove takes a right away, with its part of every bucket.
func (g *group) remove(name string) {
	g.fillAll()
	delete(g.rights, name)
	g.setWeight()
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
func (g *group) setWeight() {
	shares := map[int]int{}
	for _, r := range g.rights {
		shares[r.Total] += r.Shares
	}
	g.weight = 0
	for total, held := range shares {
		g.weight += float64(held) / float64(total)
	}
	g.weight = min(g.weight, 1)
}

// drop ends a right before its time. Lends sent before are refused from now on.
func (g *group) drop(name string, now time.Time, terms Terms) {
	if g.dropped == nil {
		g.dropped = map[string]time.Time{}
	}
	for other, at := range g.dropped {
		if now.Sub(at) > terms.Lend {
			delete(g.dropped, other) // lends sent before have ended by themselves
		}
	}
	g.dropped[name] = now
	if _, ok := g.rights[name]; ok {
		g.remove(name)
	}
}

// accept takes a right for what remains of its term.
func (g *group) accept(lend Lend, stamp, now time.Time, terms Terms) {
	end := stamp.Add(terms.Lend)
	if !now.Before(end) || stamp.After(now) || !lend.valid() {
		return
	}
	if at, ok := g.dropped[lend.Holder.Name]; ok && !stamp.After(at) {
		return
	}
	known := g.rights[lend.Holder.Name]
	if end.Before(known.end) || lend.Holder.Incarnation < known.Holder.Incarnation {
		return // a newer lend came first
	}
	g.put(right{Lend: lend, end: end}, known)
}

// put replaces the known right of the same VM, if there is one.
func (g *group) put(next, known right) {
	if g.rights == nil {
		g.rights = map[string]right{}
	}
	if next.Shares == known.Shares && next.Total == known.Total {
		g.rights[next.Holder.Name] = next
		return
	}
	g.fillAll()
	g.rights[next.Holder.Name] = next
	g.setWeight()
	g.setNextEnd()
	g.clipAll()
	g.addBuckets()
}

// addBuckets adds the buckets of accounts that have none. A new bucket is empty.
func (g *group) addBuckets() {
	if len(g.rights) == 0 || g.complete {
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
		b.expire(g.at)
		b.quota = quotas[account]
		b.clip(g.weight)
		if b.quota == (Quota{}) && len(b.sessions) == 0 {
			delete(g.buckets, account)
		}
	}
	g.addBuckets()
}
