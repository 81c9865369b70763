package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// roomWaitShare is the share of the slack of higher ranks that they may wait for the next
	// slot that ends, without room. Waits are about exponential, so that at a quarter 2% are late.
	// In a service of 464 slots a slot ends each 0.7 ms, and room would only leave slots empty.
	roomWaitShare = 0.25
	maxOwed       = 2   // grants that a rank may have out of turn at once
	maxRoomShare  = 0.5 // of the free and held slots of the service, which the room for higher ranks may take
)

// higherUse returns the slots that the ranks above the given one are expected to use, by
// their arrivals and their work, and those that they hold.
func (b *Broker) higherUse(now time.Time, u *rankUsage) (expected float64, held int) {
	for _, higher := range b.ranks.usages {
		if !higher.rank.precedes(u.rank) {
			break
		}
		expected += higher.arrivals.perSecond(now) * b.workOf(higher)
		held += higher.held
	}
	return expected, held
}

// room returns how many free slots requests of the rank leave to those of higher ranks that
// are due, if these cannot wait for one. Higher ranks that hold fewer slots than expected get
// the next slots that become free, so the room only covers the variation of their number.
func (b *Broker) room(now time.Time, u *rankUsage) int {
	expected, held := b.higherUse(now, u)
	deviation := math.Sqrt(expected)
	return int(math.Ceil(min(expected+deviation-float64(held), deviation)))
}

// higherCanWait reports whether slots become free so often that requests of higher ranks can
// wait for the next one.
func (b *Broker) higherCanWait(now time.Time, u *rankUsage) bool {
	wait := b.rankWait(now, u)
	return wait.share > 0 && wait.slotWait/wait.share <= roomWaitShare*b.higherSlack(u)
}

// higherSlack returns the shortest time that a request of a rank above the given one may
// wait and still be answered within its target latency, in seconds.
func (b *Broker) higherSlack(u *rankUsage) float64 {
	slack := math.Inf(1)
	for _, higher := range b.ranks.usages {
		if !higher.rank.precedes(u.rank) {
			break
		}
		slack = min(slack, higher.target-1.5*b.workOf(higher)) // as in maxWait
	}
	return max(0, slack)
}

// workOf returns the mean work of the requests of a rank, in seconds.
func (b *Broker) workOf(u *rankUsage) float64 {
	if u.work == 0 {
		return b.latencyEstimate.mean
	}
	return u.work
}

// leavesRoom reports whether the request may take one of the free slots, so that those of
// higher ranks that are due find one. A rank that has had less than its minimum share may
// take any, and so may a request that the in-use floor demands, or that goes to a server
// which others avoid.
func (b *Broker) leavesRoom(now time.Time, r *queued, s *server, set *candidateSet) bool {
	if !b.ranks.inForce || r.usage == b.ranks.usages[0] || b.belowMinimum(r.usage) {
		return true
	}
	room := b.room(now, r.usage)
	if room <= 0 {
		return true
	}
	free := 0
	for i := range set.candidates {
		c := &set.candidates[i]
		avoided := c.failingProbability > baseTolerance
		if c.server == s && (avoided || c.nearlyIdle && set.tooFewInUse) {
			return true
		}
		if !avoided {
			free += c.Slots - len(c.running)
		}
	}
	room = min(room, int(maxRoomShare*float64(free+b.grants.count)))
	return free > room || b.higherCanWait(now, r.usage)
}

// countRankGrant counts a slot that a request of the rank got. Each grant adds the minimum share to
// what every rank may have out of turn. What a rank gets in turn leaves it no debt, so that
// it has its minimum as soon as higher ranks take all slots.
func (b *Broker) countRankGrant(u *rankUsage) {
	u.held++
	for _, other := range b.ranks.usages {
		other.owed = min(maxOwed, other.owed+b.ranks.minShare())
	}
	u.owed = max(0, u.owed-1)
}

// belowMinimum reports whether the rank has had less than its minimum share of the grants.
func (b *Broker) belowMinimum(u *rankUsage) bool { return u.owed >= 1 }

// position counts the requests that get a slot up to one in the queue.
type position struct {
	higher int // of higher ranks
	own    int // of its own rank
}

func (p *position) count(higher bool) {
	if higher {
		p.higher++
		return
	}
	p.own++
}

func (p position) total() int { return p.higher + p.own }

// rankWait tells how long requests of one rank wait.
type rankWait struct {
	slotWait float64 // seconds per request that gets a slot
	share    float64 // share of the capacity that the arrivals of higher ranks leave; it may be negative
	minShare float64
}

func (b *Broker) rankWait(now time.Time, u *rankUsage) rankWait {
	slotWait := max(minSlotWait.Seconds(), b.expectedWait(now, 1).Seconds())
	minShare := b.ranks.minShare()
	return rankWait{slotWait: slotWait, share: b.shareLeft(now, u, slotWait, minShare), minShare: minShare}
}

// perSecond returns how many requests of the rank get a slot each second.
func (w rankWait) perSecond() float64 { return max(w.share, w.minShare) / w.slotWait }

// until returns the expected time until the requests up to the position have got a slot.
// They wait for those of higher ranks that precede them and that arrive meanwhile, or
// until their rank has got its minimum share.
func (w rankWait) until(p position) time.Duration {
	wait := float64(p.own) * w.slotWait / w.minShare
	if w.share > 0 {
		wait = min(wait, float64(p.total())*w.slotWait/w.share)
	}
	return time.Duration(wait * float64(time.Second))
}

// admissionWait returns the expected wait of a new request behind the others that precede
// it, and by its account's queued requests.
func (b *Broker) admissionWait(now time.Time, r *queued, ahead position) time.Duration {
	if !b.ranks.inForce {
		perSecond := 1 / max(minSlotWait.Seconds(), b.expectedWait(now, 1).Seconds())
		return max(b.expectedWait(now, ahead.total()+1), r.fair.wait(now, r.Account, perSecond))
	}
	wait := b.rankWait(now, r.usage)
	ahead.own++
	return max(wait.until(ahead), r.fair.wait(now, r.Account, wait.perSecond()))
}

// queueWait returns a function that returns the expected time until a queued request gets a
// slot that the given others precede. It is fastest if called in the order of the queue.
func (b *Broker) queueWait(now time.Time) func(*queued, position) time.Duration {
	if !b.ranks.inForce {
		return func(_ *queued, ahead position) time.Duration { return b.expectedWait(now, ahead.total()) }
	}
	var usage *rankUsage
	var wait rankWait
	return func(r *queued, ahead position) time.Duration {
		if r.usage != usage {
			usage, wait = r.usage, b.rankWait(now, r.usage)
		}
		return wait.until(ahead)
	}
}

// shareLeft returns the share of the service's capacity that the arrivals of higher ranks and
// the minimum shares of lower ones leave to a rank; it may be negative.
func (b *Broker) shareLeft(now time.Time, u *rankUsage, slotWait, minShare float64) float64 {
	perSlot := slotWait / b.latencyEstimate.mean // share of the capacity
	share := 1.0
	for _, other := range b.ranks.usages {
		use := other.arrivals.perSecond(now) * b.workOf(other) * perSlot
		switch {
		case other.rank.precedes(u.rank):
			share -= use
		case other != u:
			share -= min(use, minShare)
		}
	}
	return share
}

// dispatchByRank grants free slots by rank, and within a rank to the retries that the
// budget allows before the others. Ranks that have had less than their minimum share come
// first, the lowest before the others.
func (b *Broker) dispatchByRank(now time.Time) []Decision {
	if len(b.queue) == 0 && (len(b.retryQueue.waiting) == 0 || !b.retries.canSpend(now)) {
		return nil
	}
	d := rankDispatch{Broker: b, now: now, set: b.candidateSet(now)}
	for i := len(b.ranks.usages) - 1; i > 0; i-- {
		d.grantMinimum(b.ranks.usages[i])
	}
	for len(d.set.candidates) > 0 {
		retry, first := d.next()
		switch {
		case retry != nil && (first == nil || !first.rank().precedes(retry.rank())):
			d.grantRetry(retry)
		case first != nil:
			d.grantFirst(first)
		default:
			return d.decisions
		}
	}
	return d.decisions
}

// rankDispatch is one pass over the waiting requests by rank.
type rankDispatch struct {
	*Broker
	now                          time.Time
	set                          *candidateSet
	retry, first                 int // positions up to which no request got a slot
	scannedRetries, scannedFirst int
	spent                        *rankUsage // whose retries the budget does not allow
	decisions                    []Decision
}

// grantMinimum grants slots to the waiting requests of a rank until it has had its minimum
// share.
func (d *rankDispatch) grantMinimum(u *rankUsage) {
	ofRank := func(r *queued) bool { return r.usage == u }
	for d.belowMinimum(u) && len(d.set.candidates) > 0 {
		if at := slices.IndexFunc(d.retryQueue.waiting, ofRank); at >= 0 && d.retryBudgetOf(d.now, u).canSpend() {
			if r := d.retryQueue.waiting[at]; d.grantRetryAt(at, r, d.choose(d.now, r, d.set)) {
				continue
			}
		}
		at := slices.IndexFunc(d.Broker.queue, ofRank)
		if at < 0 {
			return
		}
		if r := d.Broker.queue[at]; !d.grantAt(at, r, d.choose(d.now, r, d.set)) {
			return
		}
	}
}

// next returns the next retry that the budget allows and the next queued request, or nil
// if there is none.
func (d *rankDispatch) next() (retry, first *queued) {
	for ; d.retry < len(d.retryQueue.waiting) && d.scannedRetries < maxRetryScan; d.retry++ {
		r := d.retryQueue.waiting[d.retry]
		if r.usage != d.spent && d.retryBudgetOf(d.now, r.usage).canSpend() {
			retry = r
			break
		}
		d.spent = r.usage
	}
	if d.first < len(d.Broker.queue) && d.scannedFirst < maxDispatchScan {
		first = d.Broker.queue[d.first]
	}
	return retry, first
}

func (d *rankDispatch) grantRetry(r *queued) {
	d.scannedRetries++
	if !d.grantRetryAt(d.retry, r, d.chooseLeavingRoom(d.now, r, d.set)) {
		d.retry++
	}
}

// grantRetryAt grants the server to the retry at the position. It reports false if there is
// no server.
func (d *rankDispatch) grantRetryAt(at int, r *queued, s *server) bool {
	if s == nil {
		return false
	}
	d.retryQueue.remove(at)
	d.retryQueue.round = max(d.retryQueue.round, r.round)
	d.spendRetry(d.now, r.usage)
	r.fair.countGrant(d.now, r.Account)
	d.decisions = append(d.decisions, d.grant(d.now, r, s))
	d.set = d.candidateSet(d.now)
	return true
}

func (d *rankDispatch) grantFirst(r *queued) {
	d.scannedFirst++
	if !d.grantAt(d.first, r, d.chooseLeavingRoom(d.now, r, d.set)) {
		d.first++
	}
}

// grantAt grants the server to the request at the position of the queue. It reports false
// if there is no server.
func (d *rankDispatch) grantAt(at int, r *queued, s *server) bool {
	if s == nil {
		return false
	}
	d.Broker.queue = slices.Delete(d.Broker.queue, at, at+1)
	r.fair.markDequeued(d.now, r)
	r.fair.markGranted(d.now, r)
	d.decisions = append(d.decisions, d.grant(d.now, r, s))
	d.set = d.candidateSet(d.now)
	return true
}
