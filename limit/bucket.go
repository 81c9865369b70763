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
	short       int       // sessions whose last ask was not met
	busy        bool      // is among the group's busy buckets
}

// sessionKey names the cache of one entry behind one agent.
type sessionKey struct {
	from VM
	id   uint64
}

// session is what a home knows about one cache.
type session struct {
	seq         uint64
	outstanding int
	spent       uint64
	short       bool      // the last ask was not met
	expires     time.Time // when its tokens can no longer be spent
	forgotten   time.Time // when the session is forgotten
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
		if s.outstanding > 0 && !now.Before(s.expires) {
			b.outstanding -= s.outstanding
			s.outstanding = 0
		}
		if !now.Before(s.forgotten) {
			b.setShort(s, false)
			delete(b.sessions, key)
			continue
		}
		b.noteExpiry(s.next())
	}
}

// next returns when the session has to be looked at again.
func (s *session) next() time.Time {
	if s.outstanding > 0 {
		return earlier(s.expires, s.forgotten)
	}
	return s.forgotten
}

func (b *bucket) noteExpiry(expires time.Time) {
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

// settle takes over the cache's report. Tokens that are neither held nor spent
// were lost or given back, and return to the level.
func (b *bucket) settle(s *session, ask Ask) {
	held := min(ask.Held, s.outstanding)
	spent := 0
	if ask.Spent > s.spent {
		spent = int(min(ask.Spent-s.spent, uint64(s.outstanding-held)))
		s.spent = ask.Spent
	}
	b.level += float64(s.outstanding - held - spent)
	b.outstanding -= s.outstanding - held
	s.outstanding = held
}

func (b *bucket) setShort(s *session, short bool) {
	if s.short == short {
		return
	}
	s.short = short
	if short {
		b.short++
	} else {
		b.short--
	}
}

const (
	// spareShare is the part of the capacity that is granted to waiting requests only.
	spareShare = 0.25
	// spareParts bounds what one ask gets of the rest for requests to come.
	spareParts    = 4
	shortestWait  = 5 * time.Millisecond
	longestWait   = 250 * time.Millisecond
	unsettledWait = 20 * time.Millisecond // while no right is lent or the account is not known yet
	promptReport  = 10 * time.Millisecond
	fullLevel     = 0.5  // of the capacity
	scarceRoom    = 0.75 // of the capacity
)

// grant takes tokens out of the level: first for waiting requests, then, while
// the bucket is more than half full, for requests to come.
func (b *bucket) grant(s *session, ask Ask, weight float64, terms Terms, now time.Time) Grant {
	tokens := min(ask.Waiting, int(b.level))
	spare := min(ask.Spare, b.spare(b.level-float64(tokens), weight))
	life := terms.prompt()
	if spare > 0 || s.outstanding > 0 {
		life = terms.Life
	}
	b.setShort(s, tokens < ask.Waiting)
	tokens += spare
	b.level -= float64(tokens)
	b.outstanding += tokens
	s.outstanding += tokens
	s.expires = later(s.expires, now.Add(withMargin(life)))
	s.forgotten = now.Add(withMargin(terms.Life))
	b.noteExpiry(s.next())
	return Grant{Account: ask.Account, Seq: ask.Seq, Tokens: tokens, Life: life, Wait: b.wait(s, weight), Report: b.report(weight)}
}

// spare returns how many of the remaining tokens one cache may get for requests to come.
func (b *bucket) spare(remaining, weight float64) int {
	above := remaining - spareShare*b.quota.capacity(weight)
	if above <= 0 {
		return 0
	}
	return min(int(remaining), int(math.Ceil(above/spareParts)))
}

// wait spaces the asks of caches that are short, so that each finds about one new token.
func (b *bucket) wait(s *session, weight float64) time.Duration {
	if !s.short {
		return 0
	}
	rate := b.quota.Rate * weight
	if rate <= 0 {
		return unsettledWait
	}
	perToken := time.Duration(float64(b.short) / rate * float64(time.Second))
	return min(max(perToken, shortestWait), longestWait)
}

// report asks for prompt reports while tokens that were spent but not reported
// leave little room in the bucket. Otherwise they may as well expire.
func (b *bucket) report(weight float64) time.Duration {
	size := b.quota.capacity(weight)
	if b.level > fullLevel*size || b.level+float64(b.outstanding) < scarceRoom*size {
		return 0
	}
	return promptReport
}
