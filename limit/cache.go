package limit

import (
	"math"
	"time"
)

// Source names where tokens come from: an incarnation of a home, reached
// through an incarnation of a lender. It is 0 if not known.
type Source uint64

// Cache holds the tokens of one account in one entry.
type Cache struct {
	timing        Terms
	source        Source
	session       uint64
	seq           uint64 // of the latest ask, of whatever session
	spent         uint64 // in this session
	batch         *batch // of this session
	previous      *batch // of the session before
	requestedAt   time.Time
	awaitingReply bool
	notBefore     time.Time     // no use in asking before
	retryAt       time.Time     // no ask before, because the last one failed
	reportAt      time.Time     // when to report spent tokens; zero if there is nothing to report
	tokenTTL      time.Duration // of the tokens of the last reply
	reportWithin  time.Duration // for reports; 0 for no need
	replyLatency  time.Duration // of replies, smoothed; doubled by each that does not come
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
func NewCache(timing Terms, session uint64) *Cache {
	return &Cache{timing: timing, session: session, batch: &batch{}, previous: &batch{}, replyLatency: initialReplyLatency}
}

// Arrive counts a request for the estimate of the demand.
func (c *Cache) Arrive(now time.Time) { c.demand.add(now) }

// Reserve takes a token for a request. Tokens that expire first go first.
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

// Spend uses up a reserved token. It must be called right before the request
// leaves, and the request may leave only if it returns true.
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

// Release gives back the token of a request that did not leave.
func (c *Cache) Release(permit Permit) {
	permit.batch.reserved--
	permit.batch.free++
}

// Quiet returns how long asking is of no use.
func (c *Cache) Quiet(now time.Time) time.Duration { return max(0, c.notBefore.Sub(now)) }

// Asking reports whether a reply is awaited.
func (c *Cache) Asking(now time.Time) bool {
	return c.awaitingReply && now.Sub(c.requestedAt) < c.replyTimeout()
}

// patience is how long a reply is awaited before the next ask is sent.
func (c *Cache) replyTimeout() time.Duration {
	return min(max(replyTimeoutFactor*c.replyLatency, minReplyTimeout), c.timing.Life)
}

const (
	replyTimeoutFactor  = 4
	minReplyTimeout     = 25 * time.Millisecond
	initialReplyLatency = 10 * time.Millisecond
	latencyWeight       = 8 // one reply counts an eighth
)

// Due returns when the next ask should be sent, given the number of requests
// that wait for a token. ok is false if there is none to send.
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
	if ok && c.Asking(now) {
		at = later(at, c.requestedAt.Add(c.replyTimeout()))
	}
	return at, ok
}

// unwanted reports whether tokens came for requests that wait no longer. Giving
// them back at once is better than to let them expire.
func (c *Cache) hasUnneededTokens(now time.Time) bool {
	return c.batch.free > 0 && c.batch.valid(now) && c.tokenTTL < c.timing.Life
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

// Ask returns the next ask. Replies to earlier ones are ignored from now on.
// Tokens beyond the demand are given back with it.
func (c *Cache) Ask(account string, waiting int, now time.Time) Ask {
	c.expire(now)
	if c.awaitingReply {
		c.replyLatency = min(2*c.replyLatency, c.timing.Life)
	}
	c.seq++
	c.requestedAt, c.awaitingReply, c.reportAt = now, true, time.Time{}
	spare := c.demand.expected(now, c.timing.Life/2)
	c.batch.free = min(c.batch.free, spare)
	return Ask{
		Account: account, Session: c.session, Seq: c.seq,
		Held: c.batch.free + c.batch.reserved, Spent: c.spent,
		Waiting: waiting, Spare: spare - c.batch.free,
	}
}

// expire replaces a batch whose time is over, so that no reply renews it.
func (c *Cache) expire(now time.Time) {
	if !c.batch.valid(now) {
		c.batch = &batch{}
	}
}

// Apply takes over the reply to the latest ask and renews the tokens held.
func (c *Cache) Apply(grant Grant, now time.Time) {
	if !c.awaitingReply || grant.Seq != c.seq {
		return
	}
	c.awaitingReply = false
	c.replyLatency += (now.Sub(c.requestedAt) - c.replyLatency) / latencyWeight
	c.reportWithin = grant.Report
	c.notBefore = now.Add(grant.Wait)
	c.expire(now)
	expires := later(c.batch.expires, c.requestedAt.Add(min(grant.Life, c.timing.Life)))
	if !now.Before(expires) {
		return
	}
	c.batch.free += grant.Tokens
	c.batch.expires = expires
	c.tokenTTL = grant.Life
}

// Fail ends the ask with the given number, which gets no reply, if it is the
// latest. The next one is due after wait at the soonest.
func (c *Cache) Fail(seq uint64, wait time.Duration, now time.Time) {
	if seq == c.seq {
		c.awaitingReply = false
		c.retryAt = now.Add(wait)
	}
}

// Source returns where the tokens of this session come from.
func (c *Cache) Source() Source { return c.source }

// Move starts a new session with another source. Tokens held keep their expiry.
func (c *Cache) Move(source Source) {
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

const demandTimeConstant = 500 * time.Millisecond // age at which an arrival counts 1/e

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

// negligibleDemand is the expected number of requests that no token is held for.
const negligibleDemand = 0.8

// expected returns the number of requests to expect within the span.
func (d *demand) expected(now time.Time, span time.Duration) int {
	d.decay(now)
	return int(math.Ceil(max(0, d.rate*span.Seconds()-negligibleDemand)))
}
