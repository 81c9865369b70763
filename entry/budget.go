package entry

import (
	"slices"
	"sync"
	"time"
)

// Retry budget of a service. Each request adds a fraction of a retry. In addition, the
// budget is refilled at a low constant rate, so that services with few requests can
// retry as well.
const (
	retriesPerRequest  = 0.2  // retries added by one request
	retriesPerSecond   = 1.0  // retries added per second
	maxRetryTokens     = 20.0 // maximum budget, retries
	initialRetryTokens = 5.0  // budget of a new service, retries
)

// retryBudget limits the retries and hedged requests of one service on this VM, so that
// they add little load when all servers fail.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newRetryBudget(now time.Time) *retryBudget {
	return &retryBudget{tokens: initialRetryTokens, last: now}
}

// deposit adds the budget for one request; it is called at the first attempt.
func (b *retryBudget) deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+retriesPerRequest, maxRetryTokens)
}

// spend takes one retry from the budget. It returns false if none is left.
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
	b.tokens = min(b.tokens+retriesPerSecond*max(now.Sub(b.last), 0).Seconds(), maxRetryTokens)
	b.last = now
}

const (
	latencySamples           = 128  // latest samples that are kept
	minLatencySamples        = 32   // samples below which there is no estimate
	latencyRecomputeInterval = 16   // samples between two computations
	hedgePercentile          = 0.95 // of the response times of a route; a safe request that takes longer is hedged
)

// latencies estimates hedgePercentile of the latest response times of one route.
type latencies struct {
	mu           sync.Mutex
	samples      []time.Duration
	next         int
	sinceCompute int // samples since the last computation
	high         time.Duration
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
	l.sinceCompute++
	if l.sinceCompute >= latencyRecomputeInterval && len(l.samples) >= minLatencySamples {
		l.compute()
	}
}

func (l *latencies) compute() {
	sorted := slices.Clone(l.samples)
	slices.Sort(sorted)
	l.high, l.sinceCompute = sorted[int(hedgePercentile*float64(len(sorted)-1))], 0
}

// percentile returns the estimate. ok is false until there are enough samples.
func (l *latencies) percentile() (high time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.high, l.high > 0
}
