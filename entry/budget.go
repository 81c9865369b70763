package entry

import (
	"slices"
	"sync"
	"time"
)

// Retry budget of a service: each request earns a share of a retry, and a slow
// refill lets quiet services retry at all.
const (
	budgetShare   = 0.2  // retries earned by one request
	budgetRefill  = 1.0  // retries per second
	budgetMost    = 20.0 // retries that can be saved up
	budgetInitial = 5.0  // retries of a service that was just started
)

// retryBudget bounds the retries and hedges of one service on this VM, so that
// they add little load when everything fails.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newRetryBudget(now time.Time) *retryBudget {
	return &retryBudget{tokens: budgetInitial, last: now}
}

// earn counts one first attempt.
func (b *retryBudget) earn(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+budgetShare, budgetMost)
}

// spend takes one retry, if there is one.
func (b *retryBudget) spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *retryBudget) refill(now time.Time) {
	b.tokens = min(b.tokens+budgetRefill*max(now.Sub(b.last), 0).Seconds(), budgetMost)
	b.last = now
}

const (
	latencySamples  = 128
	latencyMinimum  = 32   // samples before the percentile means anything
	latencyEvery    = 16   // samples between two computations
	hedgePercentile = 0.95 // of a route's answers; a read that takes longer is hedged
)

// latencies estimates a high percentile of the latest answers of one route.
type latencies struct {
	mu      sync.Mutex
	samples []time.Duration
	next    int
	fresh   int // samples since the last computation
	high    time.Duration
}

func (l *latencies) add(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.samples) < latencySamples {
		l.samples = append(l.samples, took)
	} else {
		l.samples[l.next] = took
		l.next = (l.next + 1) % latencySamples
	}
	l.fresh++
	if l.fresh >= latencyEvery && len(l.samples) >= latencyMinimum {
		l.compute()
	}
}

func (l *latencies) compute() {
	sorted := slices.Clone(l.samples)
	slices.Sort(sorted)
	l.high, l.fresh = sorted[int(hedgePercentile*float64(len(sorted)-1))], 0
}

// percentile returns the estimate; ok is false until there are enough answers.
func (l *latencies) percentile() (high time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.high, l.high > 0
}
