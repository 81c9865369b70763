package limit

import (
	"math"
	"time"
)

// bucket is a home's token bucket of one account. Its size and rate follow the
// rights that are lent to the home.
type bucket struct {
	quota       Quota
	level       float64 // tokens
	filledTo    float64 // integral of the group's weight at the last fill, in seconds
	outstanding int     // of all sessions
	sessions    map[sessionKey]*session
	nextExpiry  time.Time // not after the first expiry of a session
	unmet       int       // sessions whose last ask was not met
	active      bool      // is among the group's busy buckets
}

// sessionKey names the cache of one entry behind one agent.
type sessionKey struct {
	from VM
	id   uint64
}

// session is what a home knows about one cache.
type session struct {
	seq            uint64
	outstanding    int
	spent          uint64
	unmet          bool      // the last ask was not met
	tokensExpireAt time.Time // when its tokens can no longer be spent
	forgetAt       time.Time // when the session is forgotten
}

// fillMargin keeps the rate below the account's although the home's clock may run
// up to 0.1% fast; clocks are slewed by at most half of that.
const fillMargin = 0.999

// capacity is the largest stock that rights of the given weight allow.
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

// fill adds what the rights have earned since the last fill.
func (b *bucket) fill(integral, weight float64) {
	b.level += b.quota.Rate * fillMargin * (integral - b.filledTo)
	b.filledTo = integral
	b.clip(weight)
}

// clip cuts the level so that the stock is within the capacity.
func (b *bucket) clip(weight float64) {
	room := b.quota.capacity(weight) - float64(b.outstanding)
	b.level = max(0, min(b.level, room))
}

// expire forgets tokens that can no longer be spent, and old sessions. The bucket
// must be filled before, because an expired token leaves room from now on only.
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

// nextExpiry returns when the session has to be looked at again.
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

// session returns the session of an ask, or nil if the ask is not the newest.
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

// applyReport takes over the cache's report. Tokens that are neither held nor spent
// were lost or given back, and return to the level.
func (b *bucket) applyReport(s *session, tokenRequest Ask) {
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
	// spareShare is the part of the capacity that is granted to waiting requests only.
	prefetchReserve = 0.25
	// spareParts bounds what one ask gets of the rest for requests to come.
	prefetchDivisor     = 4
	minRetryAfter       = 5 * time.Millisecond
	maxRetryAfter       = 250 * time.Millisecond
	noLeaseRetryAfter   = 20 * time.Millisecond // while no right is lent or the account is not known yet
	promptReportDelay   = 10 * time.Millisecond
	fullLevelFraction   = 0.5  // of the capacity
	scarceTotalFraction = 0.75 // of the capacity
)

// grant takes tokens out of the level: first for waiting requests, then, while
// the bucket is more than half full, for requests to come.
func (b *bucket) grant(s *session, tokenRequest Ask, weight float64, timing Terms, now time.Time) Grant {
	tokens := min(tokenRequest.Waiting, int(b.level))
	prefetch := min(tokenRequest.Spare, b.prefetch(b.level-float64(tokens), weight))
	life := timing.shortTTL()
	if prefetch > 0 || s.outstanding > 0 {
		life = timing.Life
	}
	b.setUnmet(s, tokens < tokenRequest.Waiting)
	tokens += prefetch
	b.level -= float64(tokens)
	b.outstanding += tokens
	s.outstanding += tokens
	s.tokensExpireAt = later(s.tokensExpireAt, now.Add(withMargin(life)))
	s.forgetAt = now.Add(withMargin(timing.Life))
	b.updateNextExpiry(s.nextCheck())
	return Grant{Account: tokenRequest.Account, Seq: tokenRequest.Seq, Tokens: tokens, Life: life, Wait: b.retryAfter(s, weight), Report: b.reportWithin(weight)}
}

// prefetch returns how many of the remaining tokens one cache may get for requests to come.
func (b *bucket) prefetch(remaining, weight float64) int {
	above := remaining - prefetchReserve*b.quota.capacity(weight)
	if above <= 0 {
		return 0
	}
	return min(int(remaining), int(math.Ceil(above/prefetchDivisor)))
}

// retryAfter spaces the asks of caches that are short, so that each finds about one new token.
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

// reportWithin asks for prompt reports while tokens that were spent but not reported
// leave little room in the bucket. Otherwise they may as well expire.
func (b *bucket) reportWithin(weight float64) time.Duration {
	size := b.quota.capacity(weight)
	if b.level > fullLevelFraction*size || b.level+float64(b.outstanding) < scarceTotalFraction*size {
		return 0
	}
	return promptReportDelay
}
