package placement

import (
	"math"
	"time"
)

const (
	usageDecay            = time.Second     // time constant with which the grants of an account lose their weight
	usageTTL              = 5 * time.Second // time after which an account without requests may be dropped
	waitMargin            = 1.25            // factor on the estimated wait; the rate that the other accounts leave varies within a second
	fairShareMinQueued    = 4               // queued requests of an account from which later requests of other accounts precede its newest one
	usageSweepMinAccounts = 256             // accounts from which idle ones are dropped
)

// fairQueue assigns requests to rounds, so that client accounts share the slots
// fairly while requests are queued. Each request of an account is one round after the
// account's previous queued request, and no earlier than the current round. Requests
// without an account are served in order of arrival.
type fairQueue struct {
	currentRound int
	accounts     map[string]*accountUsage
	totalGrants  float64 // decayed sum of the grants of all accounts, at totalUpdated
	totalUpdated time.Time
}

// accountUsage holds the recent use of the service by one client account.
type accountUsage struct {
	lastRound    int     // round of its newest queued request
	queued       int     // number of queued requests
	recentGrants float64 // decayed number of grants, at updated
	updated      time.Time
}

func newFairQueue() fairQueue { return fairQueue{accounts: map[string]*accountUsage{}} }

// decay returns the value after exponential decay with time constant usageDecay.
func decay(value float64, since time.Duration) float64 {
	return value * math.Exp(-since.Seconds()/usageDecay.Seconds())
}

// usageOf returns the usage of an account, decayed to now.
func (q *fairQueue) usageOf(now time.Time, account string) *accountUsage {
	u := q.accounts[account]
	if u == nil {
		if len(q.accounts) >= usageSweepMinAccounts {
			q.sweep(now)
		}
		u = &accountUsage{updated: now}
		q.accounts[account] = u
	}
	u.recentGrants, u.updated = decay(u.recentGrants, now.Sub(u.updated)), now
	return u
}

// sweep drops the accounts that have been idle for usageTTL.
func (q *fairQueue) sweep(now time.Time) {
	for account, u := range q.accounts {
		if u.queued == 0 && now.Sub(u.updated) > usageTTL {
			delete(q.accounts, account)
		}
	}
}

// assignRound sets the round of a request that arrives now.
func (q *fairQueue) assignRound(now time.Time, r *queued) {
	r.round = q.currentRound
	if r.Account == "" {
		return
	}
	if u := q.usageOf(now, r.Account); u.queued > 0 {
		r.round = max(q.currentRound, u.lastRound+1)
	}
}

// markQueued records that the request was queued.
func (q *fairQueue) markQueued(now time.Time, r *queued) {
	u := q.usageOf(now, r.Account)
	u.lastRound = r.round
	u.queued++
}

// markDequeued records that the request left the queue.
func (q *fairQueue) markDequeued(now time.Time, r *queued) {
	q.usageOf(now, r.Account).queued--
}

// markGranted records that the request got a slot.
func (q *fairQueue) markGranted(now time.Time, r *queued) {
	q.currentRound = max(q.currentRound, r.round)
	q.countGrant(now, r.Account)
}

// countGrant counts a slot that a request of the account got.
func (q *fairQueue) countGrant(now time.Time, account string) {
	q.usageOf(now, account).recentGrants++
	q.totalGrants, q.totalUpdated = decay(q.totalGrants, now.Sub(q.totalUpdated))+1, now
}

// wait estimates how long one more request of an account with many queued
// requests waits, if perSecond requests a second get a slot. The account gets the
// rate that the other accounts leave, or an equal share if that is more. The
// result is 0 for an account with few queued requests.
func (q *fairQueue) wait(now time.Time, account string, perSecond float64) time.Duration {
	if account == "" || perSecond <= 0 {
		return 0
	}
	u := q.usageOf(now, account)
	if u.queued < fairShareMinQueued {
		return 0
	}
	active := 0
	for _, other := range q.accounts {
		if other.queued > 0 {
			active++
		}
	}
	others := (decay(q.totalGrants, now.Sub(q.totalUpdated)) - u.recentGrants) / usageDecay.Seconds()
	rate := max(perSecond-others, perSecond/float64(max(1, active)))
	return time.Duration(waitMargin * float64(u.queued+1) / rate * float64(time.Second))
}
