package limit

import (
	"math"
	"time"
)

// Source identifies where tokens come from: an incarnation of an owner, reached
// through an incarnation of a lender. It is 0 if not known.
type Source uint64

// Cache holds the tokens of one account in one entry.
type Cache struct {
	timing        Timing
	source        Source
	session       uint64
	seq           uint64 // of the latest token request in any session
	spent         uint64 // in this session
	batch         *batch // of this session
	previous      *batch // of the previous session
	requestedAt   time.Time
	awaitingReply bool
	notBefore     time.Time     // a token request before this time would find no tokens
	retryAt       time.Time     // no token request before, because the last one failed
	reportAt      time.Time     // when to report spent tokens; zero if there is nothing to report
	tokenTTL      time.Duration // of the tokens of the last reply
	reportWithin  time.Duration // how soon spent tokens should be reported; 0 for no need
	replyLatency  time.Duration // of replies, moving average; doubled by each missing reply
	demand        demand
}

// batch is a set of tokens that expire together.
type batch struct {
	free     int
	reserved int
	expires  time.Time
}

func (b *batch) valid(now time.Time) bool { return now.Before(b.expires) }

// Permit is a reserved token.
type Permit struct{ batch *batch }

// NewCache returns a cache without tokens. The session number must never have
// been used by this VM before.
func NewCache(timing Timing, session uint64) *Cache {
	return &Cache{timing: timing, session: session, batch: &batch{}, previous: &batch{}, replyLatency: initialReplyLatency}
}

// RecordArrival counts a request for the estimate of the demand.
func (c *Cache) RecordArrival(now time.Time) { c.demand.add(now) }

// Reserve takes a token for a request, first from the tokens that expire first.
func (c *Cache) Reserve(now time.Time) (Permit, bool) {
	for _, b := range [...]*batch{c.previous, c.batch} {
		if b.free > 0 && b.valid(now) {
			b.free--
			b.reserved++
			return Permit{batch: b}, true
		}
	}
	return Permit{}, false
}

// Spend uses up a reserved token. Call it right before the request is sent; the
// request may be sent only if Spend returns true.
func (c *Cache) Spend(permit Permit, now time.Time) bool {
	permit.batch.reserved--
	if !permit.batch.valid(now) {
		return false
	}
	if permit.batch == c.batch {
		c.spent++
		c.scheduleReport(now)
	}
	return true
}

func (c *Cache) scheduleReport(now time.Time) {
	if c.reportAt.IsZero() && c.reportWithin > 0 {
		c.reportAt = now.Add(c.reportWithin)
	}
}

// Release returns the token of a request that was not sent.
func (c *Cache) Release(permit Permit) {
	permit.batch.reserved--
	permit.batch.free++
}

// Backoff returns how long a token request would find no tokens.
func (c *Cache) Backoff(now time.Time) time.Duration { return max(0, c.notBefore.Sub(now)) }

// AwaitingReply reports whether a reply to a token request is awaited.
func (c *Cache) AwaitingReply(now time.Time) bool {
	return c.awaitingReply && now.Sub(c.requestedAt) < c.replyTimeout()
}

// replyTimeout is how long a reply is awaited before the next token request is sent.
func (c *Cache) replyTimeout() time.Duration {
	return min(max(replyTimeoutFactor*c.replyLatency, minReplyTimeout), c.timing.TokenTTL)
}

const (
	replyTimeoutFactor  = 4
	minReplyTimeout     = 25 * time.Millisecond
	initialReplyLatency = 10 * time.Millisecond
	latencyDivisor      = 8 // one reply counts 1/8
)

// Due returns when the next token request should be sent, given the number of
// requests that wait for a token. ok is false if there is none to send.
func (c *Cache) Due(now time.Time, waiting int) (at time.Time, ok bool) {
	if waiting > 0 {
		at, ok = c.notBefore, true
	}
	if !c.reportAt.IsZero() && (!ok || c.reportAt.Before(at)) {
		at, ok = c.reportAt, true
	}
	if waiting == 0 && c.hasUnneededTokens(now) {
		at, ok = now, true
	}
	if c.holdsTokens(now) {
		renew := c.batch.expires.Add(-c.tokenTTL / 2)
		if !ok || renew.Before(at) {
			at, ok = renew, true
		}
	}
	at = later(at, c.retryAt)
	if ok && c.AwaitingReply(now) {
		at = later(at, c.requestedAt.Add(c.replyTimeout()))
	}
	return at, ok
}

// hasUnneededTokens reports whether tokens arrived for requests that no longer wait.
// They are given back at once rather than left to expire.
func (c *Cache) hasUnneededTokens(now time.Time) bool {
	return c.batch.free > 0 && c.batch.valid(now) && c.tokenTTL < c.timing.TokenTTL
}

func (c *Cache) holdsTokens(now time.Time) bool {
	return c.batch.valid(now) && c.batch.free+c.batch.reserved > 0
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// TokenRequest returns the next token request. Replies to earlier ones are ignored
// from then on. Tokens beyond the demand are given back with it.
func (c *Cache) TokenRequest(account string, waiting int, now time.Time) TokenRequest {
	c.expire(now)
	if c.awaitingReply {
		c.replyLatency = min(2*c.replyLatency, c.timing.TokenTTL)
	}
	c.seq++
	c.requestedAt, c.awaitingReply, c.reportAt = now, true, time.Time{}
	prefetch := c.demand.expected(now, c.timing.TokenTTL/2)
	c.batch.free = min(c.batch.free, prefetch)
	return TokenRequest{
		Account: account, Session: c.session, Seq: c.seq,
		Held: c.batch.free + c.batch.reserved, Spent: c.spent,
		Waiting: waiting, Prefetch: prefetch - c.batch.free,
	}
}

// expire replaces an expired batch, so that no reply renews it.
func (c *Cache) expire(now time.Time) {
	if !c.batch.valid(now) {
		c.batch = &batch{}
	}
}

// Apply adds the tokens of the reply to the latest token request and renews those held.
func (c *Cache) Apply(grant Grant, now time.Time) {
	if !c.awaitingReply || grant.Seq != c.seq {
		return
	}
	c.awaitingReply = false
	c.replyLatency += (now.Sub(c.requestedAt) - c.replyLatency) / latencyDivisor
	c.reportWithin = grant.ReportWithin
	c.notBefore = now.Add(grant.RetryAfter)
	c.expire(now)
	expires := later(c.batch.expires, c.requestedAt.Add(min(grant.TokenTTL, c.timing.TokenTTL)))
	if !now.Before(expires) {
		return
	}
	c.batch.free += grant.Tokens
	c.batch.expires = expires
	c.tokenTTL = grant.TokenTTL
}

// Fail marks the token request with the given number as unanswered, if it is the
// latest. The next one is due after wait at the earliest.
func (c *Cache) Fail(seq uint64, wait time.Duration, now time.Time) {
	if seq == c.seq {
		c.awaitingReply = false
		c.retryAt = now.Add(wait)
	}
}

// Source returns where the tokens of this session come from.
func (c *Cache) Source() Source { return c.source }

// SwitchSource starts a new session with another source. Tokens held keep their expiry.
func (c *Cache) SwitchSource(source Source) {
	c.source = source
	c.session++
	c.spent, c.awaitingReply, c.reportAt = 0, false, time.Time{}
	c.previous, c.batch = c.batch, &batch{}
}

// demand estimates how many requests arrive per second.
type demand struct {
	rate float64
	at   time.Time
}

const demandTimeConstant = 500 * time.Millisecond // an arrival of this age counts 1/e

func (d *demand) add(now time.Time) {
	d.decay(now)
	d.rate += 1 / demandTimeConstant.Seconds()
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.rate *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
		d.at = now
	}
}

// negligibleDemand is the expected number of requests for which no token is held in advance.
const negligibleDemand = 0.8

// expected returns the number of requests to expect within the span.
func (d *demand) expected(now time.Time, span time.Duration) int {
	d.decay(now)
	return int(math.Ceil(max(0, d.rate*span.Seconds()-negligibleDemand)))
}
