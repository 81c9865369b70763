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
func (l *retryLimiter) advance(now time.Time) int {
	part := now.UnixNano() / int64(l.Window/retryWindowParts)
	for steps := min(part-l.part, retryWindowParts+1); steps > 0; steps-- {
		index := (part - steps + 1) % (retryWindowParts + 1)
		l.requests[index], l.retries[index] = 0, 0
	}
	l.part = max(l.part, part)
	return int(l.part % (retryWindowParts + 1))
}

func (l *retryLimiter) observeRequest(now time.Time) { l.requests[l.advance(now)]++ }

// trySpend counts a retry and reports true if the budget allows one.
func (l *retryLimiter) trySpend(now time.Time) bool {
	index := l.advance(now)
	requests, retries := 0, 0
	for i := range l.requests {
		requests += l.requests[i]
		retries += l.retries[i]
	}
	if float64(retries+1) > ratioUsable*l.Ratio*float64(requests)+allowanceUsable*float64(l.Allowance) {
		return false
	}
	l.retries[index]++
	return true
}
