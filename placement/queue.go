package placement

import (
	"slices"
	"time"
)

const (
	minRetryAfter = 200 * time.Millisecond // shorter ones meet the same queue
	maxRetryAfter = 3 * time.Second        // callers wait up to a third of their time
	idleRetry     = 500 * time.Millisecond // when no server is left; records change about every second
	dispatchDepth = 32                     // waiting requests that are looked at for a free slot
	lateShare     = 0.5                    // part of the time left that a request which is late already may wait
	admitShare    = 0.85                   // of its patience that a new request may have to wait; some servers fail meanwhile
	lostShare     = 1.25                   // of its patience that a waiting request may have to wait; the estimate is off by about a fifth
	minWait       = 10 * time.Microsecond  // of one request for a slot; no service has 100,000 a second at one home
	usableFrom    = 0.6                    // probability of failing from which on a server is no capacity
)

// waiting is a request in the queue.
type waiting struct {
	Ask
	since time.Time
	turn  int // among the requests of its priority
}

func (w *waiting) triedBefore(s *server) bool { return slices.Contains(w.Tried, s.ID) }

// patience is how long the request may wait and still be answered in time.
func (w *waiting) patience(mean time.Duration) time.Duration {
	inTime := w.Target - mean*3/2
	if inTime < 0 {
		inTime = min(w.Left-2*mean, time.Duration(lateShare*float64(w.Left)))
	}
	return max(0, min(inTime, w.Left-mean))
}

// goesBefore orders by priority; retries go first, as they have waited for a
// server that failed, then accounts by turns, then arrivals in their order.
func (w *waiting) goesBefore(other *waiting) bool {
	if w.Priority != other.Priority {
		return w.Priority < other.Priority
	}
	if w.Retry != other.Retry {
		return w.Retry
	}
	return w.turn < other.turn
}

func (b *Broker) enqueue(now time.Time, w *waiting) {
	b.turns.queued(now, w)
	at := len(b.queue)
	for at > 0 && w.goesBefore(b.queue[at-1]) {
		at--
	}
	b.queue = slices.Insert(b.queue, at, w)
}

func (b *Broker) isQueued(id AskID) bool {
	return slices.ContainsFunc(b.queue, func(w *waiting) bool { return w.ID == id })
}

func (b *Broker) removeQueued(now time.Time, leaves func(*waiting) bool) {
	b.queue = slices.DeleteFunc(b.queue, func(w *waiting) bool {
		if !leaves(w) {
			return false
		}
		b.turns.left(now, w)
		return true
	})
}

// dispatch grants free slots to waiting requests, the first ones first.
func (b *Broker) dispatch(now time.Time) []Decision {
	if len(b.queue) == 0 {
		return nil
	}
	var decisions []Decision
	view := b.survey(now)
	for i, looked := 0, 0; i < len(b.queue) && looked < dispatchDepth && len(view.open) > 0; looked++ {
		w := b.queue[i]
		s := b.choose(now, w, view)
		if s == nil {
			i++
			continue
		}
		b.queue = slices.Delete(b.queue, i, i+1)
		b.turns.left(now, w)
		b.turns.granted(now, w)
		decisions = append(decisions, b.grant(now, w, s))
		view = b.survey(now)
	}
	return decisions
}

// expire refuses the requests that have waited as long as they may, and those
// that will, as others went before them.
func (b *Broker) expire(now time.Time) []Decision {
	var decisions []Decision
	mean := b.speed.meanLatency()
	ahead := 0
	b.queue = slices.DeleteFunc(b.queue, func(w *waiting) bool {
		waited, patience, reason := now.Sub(w.since), w.patience(mean), ""
		switch {
		case waited > patience:
			reason = "waited too long"
		case waited+b.expectedWait(now, ahead) > time.Duration(lostShare*float64(patience)):
			reason = "the queue grew"
		default:
			ahead++
			return false
		}
		b.turns.left(now, w)
		d := b.refuse(now, w.ID, reason, b.retryAfter(now))
		d.Waited = waited
		decisions = append(decisions, d)
		return true
	})
	return decisions
}

// hopeless returns why a new request cannot be served in time, or "".
func (b *Broker) hopeless(now time.Time, w *waiting) string {
	usable := 0
	for _, s := range b.order {
		if !s.Draining && !w.triedBefore(s) && s.reachable(now, w.ID.VM) {
			usable++
		}
	}
	if usable == 0 {
		return "no server is left"
	}
	ahead := 0
	for _, other := range b.queue {
		if !w.goesBefore(other) {
			ahead++
		}
	}
	perSecond := 1 / max(minWait.Seconds(), b.expectedWait(now, 1).Seconds())
	wait := max(b.expectedWait(now, ahead+1), b.turns.wait(now, w.Account, perSecond))
	if wait > time.Duration(admitShare*float64(w.patience(b.speed.meanLatency()))) {
		return "the queue is too long"
	}
	return ""
}

// expectedWait is the time until so many slots will have become free.
func (b *Broker) expectedWait(now time.Time, requests int) time.Duration {
	slots := 0
	for _, s := range b.order {
		if !s.Draining && s.record.failing(now, b.share.value) < usableFrom {
			slots += s.Slots
		}
	}
	if slots == 0 {
		slots = len(b.order)
	}
	return b.speed.meanLatency() * time.Duration(requests) / time.Duration(max(1, slots))
}

func (b *Broker) refuse(now time.Time, id AskID, reason string, after time.Duration) Decision {
	b.floor.notServed(now)
	return Decision{ID: id, Verdict: Refused, Reason: reason, RetryAfter: after, Queue: len(b.queue)}
}

// retryAfter is the time after which the queue will have been served.
func (b *Broker) retryAfter(now time.Time) time.Duration {
	if len(b.order) == 0 {
		return idleRetry
	}
	return min(maxRetryAfter, max(minRetryAfter, b.expectedWait(now, len(b.queue))))
}
