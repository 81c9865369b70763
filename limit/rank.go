package limit

import (
	"math"
	"slices"
	"time"
)

const (
	poolRankMemory   = 30 * time.Second // for which a rank counts as used by an account after its last request
	poolRankDecay    = 2 * time.Second  // time constant with which the requests of a rank lose their weight
	poolRoomTime     = time.Second      // for whose requests of higher ranks tokens are kept; these vary by about their square root
	maxPoolRoom      = 0.5              // share of the bucket that is kept for higher ranks at most
	minPoolRankShare = 0.1              // share of the tokens that each rank with requests keeps
	minPoolRankRate  = 0.2              // requests per second from which the minimum of a rank is kept for it
	maxPoolOwed      = 2                // tokens that a rank may have out of turn at once
	overRateMemory   = time.Second      // since a bucket without ranks would have refused a request, in which the account counts as over its rate
	poolReturnSpread = 0.5              // part of its Retry-After by which a caller is told to return later at most
	goldenRatio      = 0.6180339887498949
	maxPoolRanks     = 8 // ranks of an account that are counted; lower ones count as the lowest of them
)

// bucketRanks is what a Pool knows of the ranks of an account's requests. While the account is
// over its rate, part of the bucket is kept for its higher ranks. It is over its rate while
// a bucket without ranks would refuse some of its requests, so that no request of an
// account within its rate is refused because of its rank.
type bucketRanks struct {
	uses    []rankUse // highest rank first
	plain   float64   // level of a bucket without ranks, while the account is over its rate
	overAt  time.Time // when that bucket last refused a request; zero if it did not
	inForce bool      // the account is over its rate and its newest request was one of several ranks
}

// rankUse is the use of an account's tokens by the requests of one rank.
type rankUse struct {
	rank      int
	requested float64 // decayed number of requests, at updated
	updated   time.Time
	owed      float64 // tokens that the rank may have out of turn, so that it has its minimum share
}

// rate returns the requests of the rank per second.
func (u *rankUse) rate(now time.Time) float64 {
	return u.requested * math.Exp(-max(0, now.Sub(u.updated)).Seconds()/poolRankDecay.Seconds()) / poolRankDecay.Seconds()
}

// use returns the use of a rank.
func (r *bucketRanks) use(now time.Time, rank int) *rankUse {
	at := slices.IndexFunc(r.uses, func(u rankUse) bool { return u.rank >= rank })
	if at < 0 {
		at = len(r.uses)
	}
	if at == len(r.uses) || r.uses[at].rank != rank {
		if len(r.uses) >= maxPoolRanks {
			return &r.uses[min(at, len(r.uses)-1)]
		}
		r.uses = slices.Insert(r.uses, at, rankUse{rank: rank, updated: now})
	}
	return &r.uses[at]
}

// keepFor counts a request of the rank and returns how many tokens it leaves to other ranks.
// gained is what the bucket has gained since the last request, and size its size.
func (b *poolBucket) keepFor(now time.Time, rank int, gained, size float64) float64 {
	if b.ranks == nil {
		b.ranks = &bucketRanks{}
	}
	r := b.ranks
	r.uses = slices.DeleteFunc(r.uses, func(u rankUse) bool { return now.Sub(u.updated) > poolRankMemory })
	use := r.use(now, rank)
	use.requested, use.updated = use.rate(now)*poolRankDecay.Seconds()+1, now
	r.inForce = r.observePlain(now, gained, size) && len(r.uses) > 1
	if !r.inForce || use.owed >= 1 {
		return 0
	}
	keep := 0.0
	for i := range r.uses {
		switch other := &r.uses[i]; {
		case other.rank < use.rank:
			keep += other.rate(now) * poolRoomTime.Seconds()
		case other.rank > use.rank && other.owed >= 1 && other.rate(now) >= minPoolRankRate:
			keep++ // the next token is that of the lower rank
		}
	}
	return max(0, min(keep, maxPoolRoom*size, size-1))
}

// observePlain counts a request in the bucket without ranks, and reports whether the account
// is over its rate.
func (r *bucketRanks) observePlain(now time.Time, gained, size float64) bool {
	if r.overAt.IsZero() {
		return false
	}
	if r.plain = min(size, r.plain+gained); r.plain >= 1 {
		r.plain--
	} else {
		r.overAt = now
	}
	if now.Sub(r.overAt) > overRateMemory {
		r.overAt = time.Time{}
		return false
	}
	return true
}

// countGrant counts a token that a request of the rank got. Each token adds the minimum share
// to what every rank may have out of turn.
func (b *poolBucket) countGrant(rank *int) {
	if rank == nil || b.ranks == nil {
		return
	}
	for i := range b.ranks.uses {
		u := &b.ranks.uses[i]
		u.owed = min(maxPoolOwed, u.owed+minPoolRankShare)
		if u.rank == *rank {
			u.owed = max(0, u.owed-1)
		}
	}
}

// countRefusal records that the bucket had no token for a request.
func (b *poolBucket) countRefusal(now time.Time) {
	if b.ranks != nil && b.ranks.overAt.IsZero() {
		b.ranks.plain, b.ranks.overAt = b.level, now
	}
}

// backlog returns how long the tokens that higher ranks leave to a rank serve what it requests
// in poolRoomTime beyond them. Callers that return earlier mostly find no token again.
func (r *bucketRanks) backlog(now time.Time, rank int, rate float64) time.Duration {
	left, requested := rate, 0.0
	for i := range r.uses {
		switch other := &r.uses[i]; {
		case other.rank < rank:
			left -= other.rate(now)
		case other.rank == rank:
			requested = other.rate(now)
		}
	}
	left = max(left, minPoolRankShare*rate)
	return time.Duration(min(maxPoolRetryAfter.Seconds(), max(0, requested/left-1)) * float64(poolRoomTime))
}

// rankedRetryAfter returns a Retry-After for an expected wait that differs from those before, so
// that refused callers do not return together.
func (p *Pool) rankedRetryAfter(wait time.Duration) time.Duration {
	_, p.spread = math.Modf(p.spread + goldenRatio) // fills the interval evenly, however many values are taken
	longest := float64(maxPoolRetryAfter) / (1 + poolReturnSpread)
	return time.Duration(min(longest, float64(max(minPoolRetryAfter, wait))) * (1 + poolReturnSpread*p.spread))
}
