package placement

import "time"

const (
	retryWindowParts  = 10  // parts of the retry window; smaller parts expire more evenly
	allowanceUsable   = 0.8 // share of the allowance that is used, because a VM that cannot reach the owner adds its own retries
	newOwnerAllowance = 0.1 // the same in the first window of a new owner; the ownership may move twice in a window
	ratioUsable       = 0.9 // share of the ratio that is used, because the owner does not see all requests
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
	started           time.Time // of counting
}

// advance clears the parts of the window that have expired and returns the index of
// the current part.
func (l *retryLimiter) advance(now time.Time) int {
	if l.started.IsZero() {
		l.started = now
	}
	part := now.UnixNano() / int64(l.Window/retryWindowParts)
	for steps := min(part-l.part, retryWindowParts+1); steps > 0; steps-- {
		index := (part - steps + 1) % (retryWindowParts + 1)
		l.requests[index], l.retries[index] = 0, 0
	}
	l.part = max(l.part, part)
	return int(l.part % (retryWindowParts + 1))
}

func (l *retryLimiter) observeRequest(now time.Time) { l.requests[l.advance(now)]++ }

// allowed returns the retries that the budget allows in the window that ends now, and
// those that were spent in it. In its first window a new owner uses little of the
// allowance, because the owner before it may have spent its whole part.
func (l *retryLimiter) allowed(now time.Time) (allowed float64, spent int) {
	l.advance(now)
	requests := 0
	for i := range l.requests {
		requests += l.requests[i]
		spent += l.retries[i]
	}
	share := allowanceUsable
	if now.Sub(l.started) < l.Window {
		share = newOwnerAllowance
	}
	return ratioUsable*l.Ratio*float64(requests) + share*float64(l.Allowance), spent
}

// canSpend reports whether the budget allows a retry now.
func (l *retryLimiter) canSpend(now time.Time) bool {
	allowed, spent := l.allowed(now)
	return float64(spent+1) <= allowed
}

// spend counts a retry.
func (l *retryLimiter) spend(now time.Time) { l.retries[l.advance(now)]++ }

// waitFor returns the time until the budget will have allowed n more retries, if
// requests go on arriving at the present rate.
func (l *retryLimiter) waitFor(now time.Time, n int) time.Duration {
	allowed, spent := l.allowed(now)
	missing := float64(spent+n) - allowed
	partLength := l.Window / retryWindowParts
	sincePartStart := time.Duration(now.UnixNano() - l.part*int64(partLength))
	for age := int64(retryWindowParts); age >= 0 && missing > 0; age-- {
		missing -= float64(l.retries[(l.part-age+retryWindowParts+1)%(retryWindowParts+1)])
		if missing <= 0 {
			return time.Duration(retryWindowParts+1-age)*partLength - sincePartStart
		}
	}
	if missing <= 0 {
		return 0
	}
	windows := 1 + missing/max(1, allowed) // further retries wait for those of the next windows
	return time.Duration(windows * float64(l.Window))
}
