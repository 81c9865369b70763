package limit

import (
	"slices"
	"time"
)

// FairQueue hands out places at a service to the requests of client accounts by
// deficit round robin over the time that places are held. Requests wait in order
// within their account. One that cannot end before it is due is turned away at
// once, or as soon as that is known. T identifies a request.
type FairQueue[T comparable] struct {
	limit       int // places
	held        int
	waiting     int
	mean        movingAverage
	flows       map[string]*flow[T]
	activeFlows []*flow[T] // flows with waiting requests, the next to be served first
}

// flow is the queue of one account.
type flow[T comparable] struct {
	account    string
	queue      []queued[T]
	holdTime   movingAverage // how long its requests hold a place
	deficit    time.Duration
	gotQuantum bool // has got its quantum in this round
}

type queued[T comparable] struct {
	request  T
	deadline time.Time // zero for none
}

// Decision is what FairQueue decides about a new request.
type Decision struct {
	Entry Entry
	// Wait is the time after which the request is expected to start.
	Wait time.Duration
	// LastStart is when a request that waits must be abandoned, because it could
	// no longer end before it is due; zero for never.
	LastStart time.Time
}

// Entry says whether a request holds a place.
type Entry int

// Entries.
const (
	EntryStart   Entry = iota // holds a place
	EntryWait                 // waits
	EntryTooLate              // cannot end before it is deadline, or its account has too many waiting
)

// maxQueued is the number of requests of one account that wait at once.
const maxQueuedPerAccount = 512

// NewFairQueue returns a queue for a service with the given number of places.
func NewFairQueue[T comparable](limit int) *FairQueue[T] {
	return &FairQueue[T]{limit: max(limit, 1), flows: map[string]*flow[T]{}}
}

// Enter decides about a new request that is due at the given time, zero for never.
func (q *FairQueue[T]) Enter(account string, request T, deadline, now time.Time) Decision {
	f := q.flow(account)
	if q.held < q.limit && q.waiting == 0 {
		q.held++
		return Decision{Entry: EntryStart}
	}
	decided := Decision{Entry: EntryWait, Wait: q.estimate(f)}
	if !deadline.IsZero() {
		decided.LastStart = deadline.Add(-q.expectedHold(f))
	}
	if len(f.queue) >= maxQueuedPerAccount || q.missesDeadline(f, deadline, now.Add(decided.Wait)) {
		decided.Entry = EntryTooLate
		return decided
	}
	if len(f.queue) == 0 {
		q.activeFlows = append(q.activeFlows, f)
	}
	f.queue = append(f.queue, queued[T]{request: request, deadline: deadline})
	q.waiting++
	return decided
}

// Leave gives back a place that was held for the given time. It returns the
// requests that may start now and those that are too late.
func (q *FairQueue[T]) Leave(account string, held time.Duration, now time.Time) (start, late []T) {
	q.held--
	q.mean.add(held)
	q.flow(account).holdTime.add(held)
	return q.startWaiting(now)
}

// SetLimit changes the number of places.
func (q *FairQueue[T]) SetLimit(limit int, now time.Time) (start, late []T) {
	q.limit = max(limit, 1)
	return q.startWaiting(now)
}

// Abandon removes a request that waits no longer. It returns false if the
// request does not wait.
func (q *FairQueue[T]) Abandon(account string, request T) bool {
	f := q.flow(account)
	i := slices.IndexFunc(f.queue, func(w queued[T]) bool { return w.request == request })
	if i < 0 {
		return false
	}
	f.queue = slices.Delete(f.queue, i, i+1)
	q.waiting--
	q.deactivateIfEmpty(f)
	return true
}

// Held returns the number of places in use, Waiting that of requests that wait.
func (q *FairQueue[T]) Held() int    { return q.held }
func (q *FairQueue[T]) Waiting() int { return q.waiting }

func (q *FairQueue[T]) flow(account string) *flow[T] {
	f := q.flows[account]
	if f == nil {
		f = &flow[T]{account: account}
		q.flows[account] = f
	}
	return f
}

// estimate returns when another request of the flow would start: after the
// flow's own queue, while the other flows get as much, but not after all that wait.
func (q *FairQueue[T]) estimate(f *flow[T]) time.Duration {
	flows := len(q.activeFlows)
	if len(f.queue) == 0 {
		flows++
	}
	own := time.Duration(len(f.queue)+1) * time.Duration(flows) * q.expectedHold(f)
	all := time.Duration(q.waiting+1) * q.mean.value
	return min(own, all) / time.Duration(q.limit)
}

func (q *FairQueue[T]) missesDeadline(f *flow[T], deadline, start time.Time) bool {
	return !deadline.IsZero() && start.Add(q.expectedHold(f)).After(deadline)
}

// costOf is how long a request of the flow is expected to hold a place.
func (q *FairQueue[T]) expectedHold(f *flow[T]) time.Duration {
	if f.holdTime.value > 0 {
		return f.holdTime.value
	}
	return q.mean.value
}

// startWaiting hands out free places.
func (q *FairQueue[T]) startWaiting(now time.Time) (start, late []T) {
	for q.held < q.limit && q.waiting > 0 {
		f := q.nextFlow()
		first := f.queue[0]
		f.queue = f.queue[1:]
		q.waiting--
		if q.missesDeadline(f, first.deadline, now) {
			late = append(late, first.request)
		} else {
			f.deficit -= q.expectedHold(f)
			q.held++
			start = append(start, first.request)
		}
		q.deactivateIfEmpty(f)
	}
	return start, late
}

// nextFlow returns the flow whose turn it is and moves the ring on.
func (q *FairQueue[T]) nextFlow() *flow[T] {
	for {
		f := q.activeFlows[0]
		if !f.gotQuantum {
			f.gotQuantum = true
			f.deficit += q.quantum()
		}
		if f.deficit >= q.expectedHold(f) {
			return f
		}
		f.gotQuantum = false
		q.activeFlows = append(q.activeFlows[1:], f)
	}
}

// quantum is what a flow may use in one round.
func (q *FairQueue[T]) quantum() time.Duration { return max(q.mean.value, time.Microsecond) }

// deactivateIfEmpty takes a flow without waiting requests out of the ring.
func (q *FairQueue[T]) deactivateIfEmpty(f *flow[T]) {
	if len(f.queue) > 0 {
		return
	}
	f.deficit, f.gotQuantum = 0, false
	q.activeFlows = slices.DeleteFunc(q.activeFlows, func(other *flow[T]) bool { return other == f })
}

// smoothed is an exponentially weighted mean.
type movingAverage struct{ value time.Duration }

const movingAverageDivisor = 16 // one sample counts a sixteenth

func (s *movingAverage) add(sample time.Duration) {
	if s.value == 0 {
		s.value = max(sample, time.Microsecond)
		return
	}
	s.value += (sample - s.value) / movingAverageDivisor
}
