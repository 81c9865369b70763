package gateway

import (
	"net/http"
	"time"

	"lacewingmount.dev/membership"
	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
)

func (q *request) admit() *refusal {
	ok, retryAfter, by := q.g.admit(q.r.Context(), q.account, q.route.Priority)
	if !ok {
		q.g.sendRelease(q.service, q.g.nextSeq(), q.g.peers.ownerOf(q.service).Name, ending{outcome: placement.Unadmitted})
		return &refusal{http.StatusTooManyRequests, retryAfter, "account is over its rate, decided by " + by}
	}
	return nil
}

// isOverRate reports whether the account cannot have a token now, by what its owner told with
// its last reply: the tokens that were left, and all that can have been added since. It takes
// no token. retryAfter is the time until there may be one.
func (g *Gateway) isOverRate(account *platform.Account) (retryAfter time.Duration, over bool) {
	if account == nil || account.Rate <= 0 || !g.peers.hasOwners() {
		return 0, false
	}
	level, known := g.quotas.highestLevel(g.now(), account, g.peers.ownerOf(account.Name))
	if !known || level >= 1 {
		return 0, false
	}
	return max(minRateRetryAfter, time.Duration((1-level)/account.Rate*float64(time.Second))), true
}

// minRateRetryAfter is the shortest time after which a caller over its rate may retry, as of
// the owners of accounts.
const minRateRetryAfter = 100 * time.Millisecond

// highestLevel returns the most tokens that the account's bucket can hold at its owner, by the
// last reply of this owner to this VM. known is false if it has sent none since its start.
func (q *quotas) highestLevel(now time.Time, account *platform.Account, owner membership.Member) (level float64, known bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	last, ok := q.replies[account.Name]
	if !ok || last.owner.Name != owner.Name || last.owner.Incarnation != owner.Incarnation {
		return 0, false
	}
	return last.level + account.Rate*now.Sub(last.at).Seconds(), true
}
