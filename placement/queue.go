package placement

import (
	"slices"
	"time"
)

const (
	maxLimitRetryAfter = time.Minute // while all servers have reached their limits; callers that return earlier are refused again
	maxDispatchScan    = 32          // queued requests that are examined for a free slot in one dispatch
	lateWaitShare      = 0.5         // share of the time left that a request may wait if it can no longer meet its target latency
	lateRefusalDivisor = 8           // a refusal after 1/8 of the target latency comes too late for its caller
	admitWaitShare     = 0.85        // share of maxWait that the expected wait of a new request may reach; some servers fail meanwhile
	earlyWaitShare     = 1.0         // the same for a request that has waited for less than an eighth of its target latency and may lose its place to higher ranks: it can still be served elsewhere
	expireWaitShare    = 1.25        // multiple of maxWait that the expected wait of a queued request may reach; the estimate is off by about a fifth
)

// queued is a request that waits for a slot.
type queued struct {
	Request
	queuedAt time.Time
	usage    *rankUsage // of its rank
	fair     *fairQueue // that assigned the round
	round    int        // fair-queueing round among the requests of its rank
}

// mayUse reports whether the request may be sent to the server.
func (r *queued) mayUse(s *server) bool {
	if len(r.Only) > 0 && !slices.Contains(r.Only, s.ID) {
		return false
	}
	return !slices.Contains(r.Tried, s.ID)
}

// maxWait returns how long the request may wait for a slot and still be answered
// within its target latency or, if that is no longer possible, its time limit.
func (r *queued) maxWait(mean time.Duration) time.Duration {
	inTime := r.Target - mean*3/2
	if inTime < 0 {
		inTime = min(r.Left-2*mean, time.Duration(lateWaitShare*float64(r.Left)))
	}
	return max(0, min(inTime, r.Left-mean))
}

// precedes orders a queue by rank, then by fair-queueing round, and within a round by
// arrival.
func (r *queued) precedes(other *queued) bool {
	if rank, otherRank := r.rank(), other.rank(); rank != otherRank {
		return rank.precedes(otherRank)
	}
	return r.round < other.round
}

func (b *Broker) enqueue(now time.Time, r *queued) {
	r.fair.markQueued(now, r)
	b.queue = insertInOrder(b.queue, r)
}

// insertInOrder inserts the request behind those that it does not precede.
func insertInOrder(queue []*queued, r *queued) []*queued {
	at := len(queue)
	for at > 0 && r.precedes(queue[at-1]) {
		at--
	}
	return slices.Insert(queue, at, r)
}

func (b *Broker) isQueued(id RequestID) bool {
	hasID := func(r *queued) bool { return r.ID == id }
	return slices.ContainsFunc(b.queue, hasID) || slices.ContainsFunc(b.retryQueue.waiting, hasID)
}

func (b *Broker) removeQueued(now time.Time, remove func(*queued) bool) {
	b.retryQueue.waiting = slices.DeleteFunc(b.retryQueue.waiting, remove)
	b.queue = slices.DeleteFunc(b.queue, func(r *queued) bool {
		if !remove(r) {
			return false
		}
		r.fair.markDequeued(now, r)
		return true
	})
}

// dispatch grants free slots to retries that the budget allows, and then to queued
// requests in queue order.
func (b *Broker) dispatch(now time.Time) []Decision {
	if b.ranks.inForce {
		return b.dispatchByRank(now)
	}
	decisions := b.dispatchRetries(now)
	if len(b.queue) == 0 {
		return decisions
	}
	set := b.candidateSet(now)
	for i, scanned := 0, 0; i < len(b.queue) && scanned < maxDispatchScan && len(set.candidates) > 0; scanned++ {
		r := b.queue[i]
		s := b.choose(now, r, set)
		if s == nil {
			i++
			continue
		}
		b.queue = slices.Delete(b.queue, i, i+1)
		r.fair.markDequeued(now, r)
		r.fair.markGranted(now, r)
		decisions = append(decisions, b.grant(now, r, s))
		set = b.candidateSet(now)
	}
	return decisions
}

// expire refuses the queued requests that have waited for longer than their maxWait,
// and those that are expected to, because other requests were queued before them.
func (b *Broker) expire(now time.Time) []Decision {
	decisions := b.expireRetries(now)
	mean := b.latencyEstimate.meanLatency()
	var ahead position
	var usage *rankUsage
	expectedWait := b.queueWait(now)
	b.queue = slices.DeleteFunc(b.queue, func(r *queued) bool {
		waited, maxWait, reason := now.Sub(r.queuedAt), r.maxWait(mean), ""
		if r.usage != usage {
			usage, ahead = r.usage, position{higher: ahead.total()}
		}
		switch {
		case waited > maxWait:
			reason = "waited too long"
		case waited+expectedWait(r, ahead) > time.Duration(b.expireShare(r, waited)*float64(maxWait)):
			reason = "the queue grew"
		default:
			ahead.own++
			return false
		}
		r.fair.markDequeued(now, r)
		retryAfter := b.retryAfterFor(now, r, ahead)
		if limitWait := b.limitWait(now, r, ahead.total()); limitWait > 0 {
			reason, retryAfter = limitsReached, limitRetryAfter(limitWait)
		}
		d := b.refuse(now, r.ID, reason, retryAfter)
		d.Waited = waited
		decisions = append(decisions, d)
		return true
	})
	return decisions
}

// expireShare returns the multiple of maxWait that the expected wait of a queued request may
// reach.
func (b *Broker) expireShare(r *queued, waited time.Duration) float64 {
	if b.ranks.inForce && r.usage != b.ranks.usages[0] && waited <= r.Target/lateRefusalDivisor {
		return earlyWaitShare
	}
	return expireWaitShare
}

// Reasons to refuse a request.
const (
	noServerLeft   = "no server is left"
	limitsReached  = "all servers have reached the limits that they named"
	serversCold    = "all servers are cold or have reached the limits that they named"
	zonesEvacuated = "all servers are in evacuated zones"
)

// hasUsableServer reports whether the request may be sent to a server, now or later.
func (b *Broker) hasUsableServer(now time.Time, r *queued) bool {
	return slices.ContainsFunc(b.serversByID, func(s *server) bool {
		return s.accepts() && r.mayUse(s) && s.reachableFrom(now, r.ID.VM)
	})
}

// rejectionReason returns why a new request cannot be served in time and when its caller
// may try again, or "" if it can.
func (b *Broker) rejectionReason(now time.Time, r *queued) (reason string, retryAfter time.Duration) {
	var ahead position
	for _, other := range b.queue {
		if !r.precedes(other) {
			ahead.count(other.usage != r.usage)
		}
	}
	if !b.hasUsableServer(now, r) {
		return b.refusalWithoutServer(now, r, ahead)
	}
	wait := b.admissionWait(now, r, ahead)
	maxWait := time.Duration(admitWaitShare * float64(r.maxWait(b.latencyEstimate.meanLatency())))
	limitWait := b.limitWait(now, r, ahead.total())
	switch {
	case max(wait, limitWait) <= maxWait:
		return "", 0
	case limitWait > 0:
		return limitsReached, limitRetryAfter(limitWait)
	}
	return "the queue is too long", b.retryAfterFor(now, r, ahead)
}

// limitRetryAfter returns when the caller of a request may try again that waits at least
// the given time for a server to accept it.
func limitRetryAfter(wait time.Duration) time.Duration {
	return min(maxLimitRetryAfter, max(minRetryAfter, wait))
}

func (b *Broker) refuse(now time.Time, id RequestID, reason string, after time.Duration) Decision {
	if reason == limitsReached && b.ColdServers(now) > 0 {
		reason = serversCold
	}
	b.inUseFloor.observeUnserved(now)
	return Decision{ID: id, Verdict: Refused, Reason: reason, RetryAfter: after, Queue: len(b.queue), AtLimit: b.limits.reached}
}
