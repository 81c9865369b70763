package placement

import (
	"slices"
	"time"
)

const (
	workMargin   = 2  // multiple of the mean latency that a retry needs until its deadline: its work, and as much again for a slower server
	maxRetryScan = 32 // retries that are examined for a free slot in one dispatch
)

// retryQueue holds the retries, which wait for the retry budget and for a free slot, in
// the order in which they get them. A request that no server has run loses nothing but
// time by waiting, so it is refused only when it cannot be served before its deadline.
// Within a priority, client accounts take turns: each retry of an account is one round
// after the account's previous one.
type retryQueue struct {
	waiting []*queued
	round   int // highest round of a retry that got a slot
}

// add inserts a retry and returns its position.
func (q *retryQueue) add(r *queued) int {
	r.round = q.round
	for _, other := range q.waiting {
		if r.Account != "" && other.Account == r.Account {
			r.round = max(r.round, other.round+1)
		}
	}
	q.waiting = insertInOrder(q.waiting, r)
	return slices.Index(q.waiting, r)
}

// remove removes the retry at the position.
func (q *retryQueue) remove(position int) {
	q.waiting = slices.Delete(q.waiting, position, position+1)
}

// requestRetry grants the retry a slot, queues it, or refuses it at once if the budget
// or the servers' limits are not expected to allow it in time.
func (b *Broker) requestRetry(now time.Time, r *queued) []Decision {
	if !b.hasUsableServer(now, r) {
		reason, after := b.refusalWithoutServer(now, r, position{own: len(b.queue)})
		return []Decision{b.refuse(now, r.ID, reason, after)}
	}
	at := b.retryQueue.add(r)
	var ahead position
	for _, other := range b.retryQueue.waiting[:at] {
		ahead.count(other.usage != r.usage)
	}
	wait, reason := b.retryWait(now, r, ahead)
	longest := b.maxRetryWait(r)
	if reason == limitsReached { // as for new requests
		longest = time.Duration(admitWaitShare * float64(longest))
	}
	if wait > longest {
		b.retryQueue.remove(at)
		return []Decision{b.refuse(now, r.ID, reason, b.retryRetryAfter(wait, reason))}
	}
	return b.decideOrQueue(r, b.dispatch(now))
}

// maxRetryWait returns how long the retry may wait and still be answered before its
// deadline.
func (b *Broker) maxRetryWait(r *queued) time.Duration {
	return max(0, r.Left-workMargin*b.latencyEstimate.meanLatency())
}

// dispatchRetries grants free slots to the retries that the budget allows. They come
// before all other requests, because they have already waited for a server.
func (b *Broker) dispatchRetries(now time.Time) []Decision {
	if len(b.retryQueue.waiting) == 0 || !b.retries.canSpend(now) {
		return nil
	}
	var decisions []Decision
	set := b.candidateSet(now)
	for i, scanned := 0, 0; i < len(b.retryQueue.waiting) && scanned < maxRetryScan && b.retries.canSpend(now); scanned++ {
		r := b.retryQueue.waiting[i]
		s := b.choose(now, r, set)
		if s == nil {
			i++
			continue
		}
		b.retryQueue.remove(i)
		b.retryQueue.round = max(b.retryQueue.round, r.round)
		b.spendRetry(now, r.usage)
		r.fair.countGrant(now, r.Account)
		decisions = append(decisions, b.grant(now, r, s))
		set = b.candidateSet(now)
	}
	return decisions
}

// expireRetries refuses the retries that cannot be served in time any more, because
// the budget shrank, other retries came before them, or no slot was free.
func (b *Broker) expireRetries(now time.Time) []Decision {
	var decisions []Decision
	var ahead position
	var usage *rankUsage
	b.retryQueue.waiting = slices.DeleteFunc(b.retryQueue.waiting, func(r *queued) bool {
		waited := now.Sub(r.queuedAt)
		if r.usage != usage {
			usage, ahead = r.usage, position{higher: ahead.total()}
		}
		wait, reason := b.retryWait(now, r, ahead)
		if waited+wait <= b.maxRetryWait(r) {
			ahead.own++
			return false
		}
		decision := b.refuse(now, r.ID, reason, b.retryRetryAfter(wait, reason))
		decision.Waited = waited
		decisions = append(decisions, decision)
		return true
	})
	return decisions
}

// retryWait returns after which time the budget and the servers' limits are expected to
// allow the retry that the given others precede, and the reason if that is too
// late.
func (b *Broker) retryWait(now time.Time, r *queued, ahead position) (wait time.Duration, reason string) {
	wait, reason = b.rankRetryWait(now, r.usage, ahead), "retry budget is spent"
	if limitWait := b.limitWait(now, r, ahead.total()); limitWait > wait {
		return limitWait, limitsReached
	}
	if wait == 0 {
		reason = "waited too long"
	}
	return wait, reason
}

// retryRetryAfter returns when the caller of a refused retry may try again.
func (b *Broker) retryRetryAfter(wait time.Duration, reason string) time.Duration {
	if reason == limitsReached {
		return limitRetryAfter(wait)
	}
	return b.spreadRetryAfter(wait)
}
