package placement

import "time"

const (
	retryWindowParts = 10  // parts of the retry window; smaller parts expire more evenly
	allowanceUsable  = 0.8 // share of the allowance that is used, because a VM that cannot reach the owner adds its own retries
	ratioUsable      = 0.9 // share of the ratio that is used, because the owner does not see all requests
)

// RetryBudget limits the retries of a service: in any span of length Window there
// are at most Ratio times its requests plus Allowance.
type RetryBudget struct {
	Ratio     float64       // retries per request
	Allowance int           // retries in a window in addition to the ratio
	Window    time.Duration // length of the window; it may start at any time
}

// retryLimiter enforces a RetryBudget by counting the first attempts and the retries
// of the last window.
type retryLimiter struct {
	RetryBudget
	requests, retries [retryWindowParts + 1]int // first attempts and retries by part; one part more, because the oldest is dropped as a whole
	part              int64
}

// advance clears the parts of the window that have expired and returns the index of
// the current part.
func (b *retryLimiter) advance(now time.Time) int {
	part := now.UnixNano() / int64(b.Window/retryWindowParts)
	for steps := min(part-b.part, retryWindowParts+1); steps > 0; steps-- {
		index := (part - steps + 1) % (retryWindowParts + 1)
		b.requests[index], b.retries[index] = 0, 0
	}
	b.part = max(b.part, part)
	return int(b.part % (retryWindowParts + 1))
}

func (b *retryLimiter) observeRequest(now time.Time) { b.requests[b.advance(now)]++ }

// trySpend counts a retry and reports true if the budget allows one.
func (b *retryLimiter) trySpend(now time.Time) bool {
	index := b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > ratioUsable*b.Ratio*float64(requests)+allowanceUsable*float64(b.Allowance) {
		return false
	}
	b.retries[index]++
	return true
}
