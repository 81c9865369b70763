package limit

import (
	"slices"
	"time"
)

// FairQueue gives the slots of a service to the requests of client accounts by deficit
// round robin over the time that slots are held. Requests of one account wait in
// order. A request that cannot end before its deadline is rejected at once, or as
// soon as that is known. T identifies a request.
type FairQueue[T comparable] struct {
	limit       int // slots
	held        int
	waiting     int
	mean        movingAverage
	flows       map[string]*flow[T]
	activeFlows []*flow[T] // flows with waiting requests, in the order in which they are served
}

// flow is the queue of one account.
type flow[T comparable] struct {
	account    string
	queue      []queued[T]
	holdTime   movingAverage // how long its requests hold a slot
	deficit    time.Duration
	gotQuantum bool // has received its quantum in this round
}

type queued[T comparable] struct {
	request  T
	deadline time.Time // zero for none
}

// Decision is the outcome of admission for a new request.
type Decision struct {
	Admission Admission
	// ExpectedWait is the time after which the request is expected to start.
	ExpectedWait time.Duration
	// LatestStart is when a waiting request must be cancelled, because it could no
	// longer end before its deadline; zero for never.
	LatestStart time.Time
}

// Admission says whether a request holds a slot.
type Admission int

// The outcomes of admission.
const (
	AdmissionStart  Admission = iota // holds a slot
	AdmissionWait                    // waits
	AdmissionReject                  // cannot end before its deadline, or its account has too many waiting
)

// maxQueuedPerAccount is the number of requests of one account that may wait at once.
const maxQueuedPerAccount = 512

// NewFairQueue returns a queue for a service with the given number of slots.
func NewFairQueue[T comparable](limit int) *FairQueue[T] {
	return &FairQueue[T]{limit: max(limit, 1), flows: map[string]*flow[T]{}}
}

// Admit decides about a new request with the given deadline, zero for none.
func (q *FairQueue[T]) Admit(account string, request T, deadline, now time.Time) Decision {
	f := q.flow(account)
	if q.held < q.limit && q.waiting == 0 {
		q.held++
		return Decision{Admission: AdmissionStart}
	}
	decided := Decision{Admission: AdmissionWait, ExpectedWait: q.estimate(f)}
	if !deadline.IsZero() {
		decided.LatestStart = deadline.Add(-q.expectedHold(f))
	}
	if len(f.queue) >= maxQueuedPerAccount || q.missesDeadline(f, deadline, now.Add(decided.ExpectedWait)) {
		decided.Admission = AdmissionReject
		return decided
	}
	if len(f.queue) == 0 {
		q.activeFlows = append(q.activeFlows, f)
	}
	f.queue = append(f.queue, queued[T]{request: request, deadline: deadline})
	q.waiting++
	return decided
}

// Release frees a slot that was held for the given time. It returns the requests
// that may start now and those that cannot end before their deadline.
func (q *FairQueue[T]) Release(account string, held time.Duration, now time.Time) (start, late []T) {
	q.held--
	q.mean.add(held)
	q.flow(account).holdTime.add(held)
	return q.startWaiting(now)
}

// SetLimit changes the number of slots. It returns the same as Release.
func (q *FairQueue[T]) SetLimit(limit int, now time.Time) (start, late []T) {
	q.limit = max(limit, 1)
	return q.startWaiting(now)
}

// Cancel removes a waiting request. It returns false if the request does not wait.
func (q *FairQueue[T]) Cancel(account string, request T) bool {
	f := q.flow(account)
	i := slices.IndexFunc(f.queue, func(other queued[T]) bool { return other.request == request })
	if i < 0 {
		return false
	}
	f.queue = slices.Delete(f.queue, i, i+1)
	q.waiting--
	q.deactivateIfEmpty(f)
	return true
}

// Held returns the number of slots in use, Waiting that of requests that wait.
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

// estimate returns how long another request of the flow would wait: for the flow's own
// queue while the other flows get as much, but at most for all waiting requests.
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

// expectedHold is how long a request of the flow is expected to hold a slot.
func (q *FairQueue[T]) expectedHold(f *flow[T]) time.Duration {
	if f.holdTime.value > 0 {
		return f.holdTime.value
	}
	return q.mean.value
}

// startWaiting gives free slots to waiting requests.
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

// nextFlow returns the flow to serve next and rotates the others to the end.
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

// quantum is the slot time that a flow may use in one round.
func (q *FairQueue[T]) quantum() time.Duration { return max(q.mean.value, time.Microsecond) }

// deactivateIfEmpty removes a flow without waiting requests from the active flows.
func (q *FairQueue[T]) deactivateIfEmpty(f *flow[T]) {
	if len(f.queue) > 0 {
		return
	}
	f.deficit, f.gotQuantum = 0, false
	q.activeFlows = slices.DeleteFunc(q.activeFlows, func(other *flow[T]) bool { return other == f })
}

// movingAverage is an exponentially weighted moving average.
type movingAverage struct{ value time.Duration }

const movingAverageDivisor = 16 // one sample counts 1/16

func (a *movingAverage) add(sample time.Duration) {
	if a.value == 0 {
		a.value = max(sample, time.Microsecond)
		return
	}
	a.value += (sample - a.value) / movingAverageDivisor
}
