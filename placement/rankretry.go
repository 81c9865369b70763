package placement

import (
	"math"
	"time"
)

// retryRoomParts is the number of parts of the window for whose retries of higher ranks room
// is kept. The budget shrinks for some seconds after a burst: with 1 part, 4% of the billings
// were refused then.
const retryRoomParts = 5

// rankRetries is the use of the retry budget by the requests of one rank.
type rankRetries struct {
	requested decayedCount
	spent     [retryWindowParts + 1]int // by part of the window, as in retryLimiter
	part      int64
}

// advance clears the parts of the window that have expired.
func (r *rankRetries) advance(part int64) {
	for steps := min(part-r.part, retryWindowParts+1); steps > 0; steps-- {
		r.spent[(part-steps+1)%(retryWindowParts+1)] = 0
	}
	r.part = max(r.part, part)
}

func (r *rankRetries) spend(part int64) {
	r.advance(part)
	r.spent[r.part%(retryWindowParts+1)]++
}

// spentInWindow returns the retries of the rank in the window.
func (r *rankRetries) spentInWindow(part int64) int {
	r.advance(part)
	total := 0
	for _, n := range r.spent {
		total += n
	}
	return total
}

// due returns the retries that the rank is expected to request within retryRoomParts.
func (r *rankRetries) due(now time.Time, window time.Duration) float64 {
	return r.requested.perSecond(now) * (retryRoomParts * window / retryWindowParts).Seconds()
}

// spendRetry counts a retry of the rank.
func (b *Broker) spendRetry(now time.Time, u *rankUsage) {
	b.retries.spend(now)
	u.retries.spend(b.retries.part)
}

// retryBudget is what the retry budget allows the requests of one rank.
type retryBudget struct {
	allowed float64 // retries of all ranks in the window
	spent   int     // the same
	kept    float64 // kept for the retries of higher ranks that are due, and for the minimum of lower ones
	owed    float64 // retries that the rank lacks to its minimum
}

// retryBudgetOf returns what the retry budget allows a rank now. While the rule is not in force
// nothing is kept for others.
func (b *Broker) retryBudgetOf(now time.Time, u *rankUsage) retryBudget {
	allowed, spent := b.retries.allowed(now)
	budget := retryBudget{allowed: allowed, spent: spent}
	if !b.ranks.inForce {
		return budget
	}
	minimum := b.ranks.minShare() * allowed
	for _, other := range b.ranks.usages {
		due := other.retries.due(now, b.retries.Window)
		missing := minimum - float64(other.retries.spentInWindow(b.retries.part))
		switch {
		case other == u:
			budget.owed = max(0, missing)
		case other.rank.precedes(u.rank):
			budget.kept += due
		default:
			budget.kept += max(0, min(due, missing))
		}
	}
	return budget
}

// canSpend reports whether the rank may retry now. A rank below its minimum needs to leave
// nothing to others.
func (r retryBudget) canSpend() bool {
	left := r.allowed - float64(r.spent+1)
	return left >= 0 && (left >= r.kept || r.owed >= 1)
}

// rankRetryWait returns the time until the budget is expected to allow a retry of the rank, given how
// many others precede it.
func (b *Broker) rankRetryWait(now time.Time, u *rankUsage, ahead position) time.Duration {
	budget := b.retryBudgetOf(now, u)
	if float64(ahead.own+1) <= budget.owed {
		return b.retries.waitFor(now, ahead.own+1)
	}
	return b.retries.waitFor(now, ahead.total()+1+int(math.Ceil(budget.kept)))
}
