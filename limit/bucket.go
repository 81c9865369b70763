package limit

import (
	"math"
	"time"
)

// bucket is an owner's token bucket for one account. Its size and rate follow the
// sum of the leases that the owner holds.
type bucket struct {
	quota       Quota
	level       float64 // tokens
	filledTo    float64 // integral of the group's weight at the last fill, in seconds
	outstanding int     // granted to all sessions, neither reported spent nor expired
	sessions    map[sessionKey]*session
	nextExpiry  time.Time // not later than the earliest nextCheck of a session
	unmet       int       // sessions whose last token request was not fully met
	active      bool      // is in the group's list of active buckets
}

// sessionKey identifies the cache of one entry by its agent's VM and its session number.
type sessionKey struct {
	from VM
	id   uint64
}

// session is an owner's record of one cache.
type session struct {
	seq            uint64
	outstanding    int
	spent          uint64
	unmet          bool      // the last token request was not fully met
	tokensExpireAt time.Time // when its tokens can no longer be spent
	forgetAt       time.Time // when the session is removed
}

// fillMargin keeps the fill rate below the account's rate although the owner's clock
// may run up to 0.1% fast; clocks are slewed by at most half of that.
const fillMargin = 0.999

// capacity is the largest sum of level and outstanding tokens that leases of the
// given weight allow. Tokens are whole: a size below 1 counts as 0, except that an
// owner with more than half of the weight may keep one token.
func (q Quota) capacity(weight float64) float64 {
	size := weight * q.Burst
	if size >= 1 {
		return size
	}
	if weight > 0.5 && q.Burst >= 1 {
		return 1
	}
	return 0
}

// fill adds the tokens earned since the last fill.
func (b *bucket) fill(integral, weight float64) {
	b.level += b.quota.Rate * fillMargin * (integral - b.filledTo)
	b.filledTo = integral
	b.clip(weight)
}

// clip reduces the level so that level and outstanding tokens stay within the capacity.
func (b *bucket) clip(weight float64) {
	room := b.quota.capacity(weight) - float64(b.outstanding)
	b.level = max(0, min(b.level, room))
}

// expire removes tokens that can no longer be spent, and old sessions. The bucket
// must be filled before, because an expired token leaves room only from now on.
func (b *bucket) expire(now time.Time) {
	if len(b.sessions) == 0 || now.Before(b.nextExpiry) {
		return
	}
	b.nextExpiry = time.Time{}
	for key, s := range b.sessions {
		if s.outstanding > 0 && !now.Before(s.tokensExpireAt) {
			b.outstanding -= s.outstanding
			s.outstanding = 0
		}
		if !now.Before(s.forgetAt) {
			b.setUnmet(s, false)
			delete(b.sessions, key)
			continue
		}
		b.updateNextExpiry(s.nextCheck())
	}
}

// nextCheck returns when the session's tokens expire or the session is removed,
// whichever comes first.
func (s *session) nextCheck() time.Time {
	if s.outstanding > 0 {
		return earlier(s.tokensExpireAt, s.forgetAt)
	}
	return s.forgetAt
}

func (b *bucket) updateNextExpiry(expires time.Time) {
	if b.nextExpiry.IsZero() || expires.Before(b.nextExpiry) {
		b.nextExpiry = expires
	}
}

// session returns the session of a token request, or nil if the request is not the newest.
func (b *bucket) session(key sessionKey, seq uint64) *session {
	s := b.sessions[key]
	if s == nil {
		s = &session{}
		b.sessions[key] = s
	}
	if seq <= s.seq {
		return nil
	}
	s.seq = seq
	return s
}

// applyReport updates the counts from the cache's report. Tokens that are neither
// held nor spent were lost or given back, and return to the level.
func (b *bucket) applyReport(s *session, tokenRequest TokenRequest) {
	held := min(tokenRequest.Held, s.outstanding)
	spent := 0
	if tokenRequest.Spent > s.spent {
		spent = int(min(tokenRequest.Spent-s.spent, uint64(s.outstanding-held)))
		s.spent = tokenRequest.Spent
	}
	b.level += float64(s.outstanding - held - spent)
	b.outstanding -= s.outstanding - held
	s.outstanding = held
}

func (b *bucket) setUnmet(s *session, unmet bool) {
	if s.unmet == unmet {
		return
	}
	s.unmet = unmet
	if unmet {
		b.unmet++
	} else {
		b.unmet--
	}
}

const (
	// prefetchReserve is the part of the capacity that is granted to waiting requests only.
	prefetchReserve = 0.25
	// prefetchDivisor limits one prefetch to 1/prefetchDivisor of the level above the reserve.
	prefetchDivisor     = 4
	minRetryAfter       = 5 * time.Millisecond
	maxRetryAfter       = 250 * time.Millisecond
	noLeaseRetryAfter   = 20 * time.Millisecond // while no lease is held or the account is not known yet
	promptReportDelay   = 10 * time.Millisecond
	fullLevelFraction   = 0.5  // of the capacity
	scarceTotalFraction = 0.75 // of the capacity
)

// grant takes tokens out of the level: first for waiting requests, then, while the
// level is above the reserve, for prefetching.
func (b *bucket) grant(s *session, tokenRequest TokenRequest, weight float64, timing Timing, now time.Time) Grant {
	tokens := min(tokenRequest.Waiting, int(b.level))
	prefetch := min(tokenRequest.Prefetch, b.prefetch(b.level-float64(tokens), weight))
	ttl := timing.shortTTL()
	if prefetch > 0 || s.outstanding > 0 {
		ttl = timing.TokenTTL
	}
	b.setUnmet(s, tokens < tokenRequest.Waiting)
	tokens += prefetch
	b.level -= float64(tokens)
	b.outstanding += tokens
	s.outstanding += tokens
	s.tokensExpireAt = later(s.tokensExpireAt, now.Add(withMargin(ttl)))
	s.forgetAt = now.Add(withMargin(timing.TokenTTL))
	b.updateNextExpiry(s.nextCheck())
	return Grant{Account: tokenRequest.Account, Seq: tokenRequest.Seq, Tokens: tokens, TokenTTL: ttl, RetryAfter: b.retryAfter(s, weight), ReportWithin: b.reportWithin(weight)}
}

// prefetch returns how many of the remaining tokens one cache may get in advance.
func (b *bucket) prefetch(remaining, weight float64) int {
	above := remaining - prefetchReserve*b.quota.capacity(weight)
	if above <= 0 {
		return 0
	}
	return min(int(remaining), int(math.Ceil(above/prefetchDivisor)))
}

// retryAfter spaces the requests of caches whose last one was not met, so that each
// finds about one new token.
func (b *bucket) retryAfter(s *session, weight float64) time.Duration {
	if !s.unmet {
		return 0
	}
	rate := b.quota.Rate * weight
	if rate <= 0 {
		return noLeaseRetryAfter
	}
	perToken := time.Duration(float64(b.unmet) / rate * float64(time.Second))
	return min(max(perToken, minRetryAfter), maxRetryAfter)
}

// reportWithin returns how soon spent tokens should be reported, or 0 for no need.
// Reports are prompt while the level is low and tokens that were spent but not
// reported leave little room in the bucket. Otherwise the tokens may as well expire.
func (b *bucket) reportWithin(weight float64) time.Duration {
	size := b.quota.capacity(weight)
	if b.level > fullLevelFraction*size || b.level+float64(b.outstanding) < scarceTotalFraction*size {
		return 0
	}
	return promptReportDelay
}
