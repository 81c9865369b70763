// Package memory decides how much a process may hold for its callers, and who has to go
// when that is used up. It has no goroutine, clock or socket and is not safe for concurrent
// use; daemon.Budget adds those.
package memory

import (
	"math"
	"slices"
	"time"
)

const (
	SmallHolder  = 64 << 10               // bytes; a holder of at most this much may use the whole budget
	maxReserve   = 4 << 20                // bytes of the budget that only small holders may use
	reserveShare = 1.0 / 8                // of the budget, if that is less than maxReserve
	accountShare = 7.0 / 8                // of what large holders may use, for one account with several requests
	progressTime = 2 * time.Second        // in which the progress of a holder is forgotten
	minWait      = 500 * time.Millisecond // in which a request is not ended for its slowness alone
	maxOverrun   = 4                      // connections beyond the limit while ended requests are refused, as a divisor of it
	overuse      = 4                      // weight of holders of an account that holds more than an equal part
)

// Limits bound what is held. 0 sets no limit.
type Limits struct {
	Bytes       int64
	Connections int // of callers
	Requests    int // in progress
}

// Phase is what a Holder does. It determines whether the Holder may be ended.
type Phase int

// Phases.
const (
	Kept       Phase = iota // must go on; its request may be at a server
	Arriving                // its body is being received
	Delivering              // its caller is taking the response
	Idle                    // a connection without a request
)

// Verdict is the decision about bytes that a Holder asks for.
type Verdict string

// Verdicts.
const (
	Granted      Verdict = "granted"
	Wait         Verdict = "wait"         // Holders were ended and the bytes are not released yet
	TooLarge     Verdict = "too-large"    // more than one caller may hold
	AccountFull  Verdict = "account-full" // more than the account may hold
	NoMemory     Verdict = "no-memory"    // the Holder is the one with the most bytes for the least progress
	AlreadyEnded Verdict = "ended"        // the Holder was ended before
	NoConnection Verdict = "connections"  // all connections are used by requests
	NoRequest    Verdict = "requests"     // too many requests in progress
)

// Holder is a connection, or a request in progress. Value is for the user of the package.
type Holder struct {
	Value      any
	account    *account // nil for a connection
	bytes      int64
	moved      float64 // bytes received or delivered, which decay with progressTime
	movedAt    time.Time
	phase      Phase
	waiting    bool // its last verdict is Wait, so it cannot make progress
	ended      bool
	served     bool // a connection on which a request has ended
	phaseSince time.Time
	index      int // in Budget.holders; -1 if closed
}

// Bytes returns what the Holder holds.
func (h *Holder) Bytes() int64 { return h.bytes }

// Ended reports whether the Holder was chosen to end.
func (h *Holder) Ended() bool { return h.ended }

// Phase returns what the Holder does.
func (h *Holder) Phase() Phase { return h.phase }

type account struct {
	name    string
	bytes   int64
	holders int
}

// Budget holds all Holders of a process.
type Budget struct {
	limits      Limits
	used        int64
	leaving     int64 // bytes of ended Holders that are not closed
	holders     []*Holder
	accounts    map[string]*account
	connections int
	closing     int // ended connections that are not closed
	requests    int
	ending      int // ended requests that are not closed
}

// NewBudget returns an empty Budget.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, accounts: map[string]*account{}}
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used }

// Connections returns the number of open connections.
func (b *Budget) Connections() int { return b.connections }

// Requests returns the number of requests in progress.
func (b *Budget) Requests() int { return b.requests }

// largeShare is what all large Holders may hold, and so what one caller may hold.
func (b *Budget) largeShare() int64 {
	return b.limits.Bytes - min(maxReserve, int64(float64(b.limits.Bytes)*reserveShare))
}

// Open adds a request of the account. If there are too many, it ends the one that makes the
// least progress. ok is false if none can end; then the request is not added.
func (b *Budget) Open(now time.Time, accountName string) (h *Holder, ended []*Holder, ok bool) {
	if b.limits.Requests > 0 && b.requests-b.ending >= b.limits.Requests {
		slowest := b.slowest(now)
		if slowest == nil {
			return nil, nil, false
		}
		ended = b.end([]*Holder{slowest})
	}
	a := b.accounts[accountName]
	if a == nil {
		a = &account{name: accountName}
		b.accounts[accountName] = a
	}
	a.holders++
	b.requests++
	return b.add(now, &Holder{account: a, phase: Kept, phaseSince: now}), ended, true
}

// slowest returns the request that may end and moves the least, those of accounts with many
// requests first; nil if there is none.
func (b *Budget) slowest(now time.Time) *Holder {
	var slowest *Holder
	highest := 0.0
	for _, h := range b.holders {
		if h.account == nil || h.ended || h.waiting || h.phase != Arriving && h.phase != Delivering || now.Sub(h.phaseSince) < minWait {
			continue
		}
		if score := float64(h.account.holders) / (h.progress(now) + 1); score > highest {
			slowest, highest = h, score
		}
	}
	return slowest
}

// OpenConnection adds a connection of a caller. If there are too many, it ends the one that
// has waited longest for its first request, or else has been idle longest, or else the
// request that makes the least progress. ok is false if none can end; then the connection is
// not added.
func (b *Budget) OpenConnection(now time.Time) (h *Holder, ended []*Holder, ok bool) {
	if b.limits.Connections > 0 && b.connections-b.closing >= b.limits.Connections {
		victim := b.idlest()
		if victim == nil && b.connections-b.closing < b.limits.Connections+b.limits.Connections/maxOverrun {
			victim = b.slowest(now) // its connection is closed after the refusal
		}
		if victim == nil {
			return nil, nil, false
		}
		ended = b.end([]*Holder{victim})
	}
	h = b.add(now, &Holder{phase: Idle, phaseSince: now})
	b.connections++
	return h, ended, true
}

func (b *Budget) idlest() *Holder {
	var idlest *Holder
	for _, h := range b.holders {
		if h.phase != Idle || h.ended {
			continue
		}
		if idlest == nil || idlest.served && !h.served || idlest.served == h.served && h.phaseSince.Before(idlest.phaseSince) {
			idlest = h
		}
	}
	return idlest
}

// add adds a Holder. It begins as one that makes progress, since it has had no time for any.
func (b *Budget) add(now time.Time, h *Holder) *Holder {
	h.moved, h.movedAt, h.index = SmallHolder, now, len(b.holders)
	b.holders = append(b.holders, h)
	return h
}

// SetPhase records what the Holder does from now on. It reports false if the Holder was
// ended; then its phase does not change.
func (b *Budget) SetPhase(now time.Time, h *Holder, phase Phase) bool {
	if h.ended {
		return false
	}
	h.served = h.served || h.account == nil && h.phase == Kept && phase == Idle
	h.phase, h.phaseSince = phase, now
	return true
}

// SetIdle records that a connection may be ended, although no request on it was served.
func (b *Budget) SetIdle(now time.Time, h *Holder) {
	if !h.ended {
		h.phase, h.phaseSince = Idle, now
	}
}

// Move records progress of the Holder.
func (b *Budget) Move(now time.Time, h *Holder, bytes int64) {
	h.moved = h.progress(now) + float64(bytes)
	h.movedAt, h.waiting = now, false
}

// progress returns the bytes moved lately.
func (h *Holder) progress(now time.Time) float64 {
	if h.waiting {
		return h.moved
	}
	return h.moved * math.Exp(-max(0, now.Sub(h.movedAt).Seconds())/progressTime.Seconds())
}

// Reserve decides whether the Holder gets the bytes. With Wait and Granted, ended are the
// Holders to end now for it.
func (b *Budget) Reserve(now time.Time, h *Holder, bytes int64) (verdict Verdict, ended []*Holder) {
	verdict, ended = b.reserve(now, h, bytes)
	switch {
	case verdict == Granted && h.waiting:
		h.waiting, h.movedAt = false, now
	case verdict == Wait && !h.waiting:
		h.moved, h.movedAt, h.waiting = h.progress(now), now, true
	}
	return verdict, ended
}

func (b *Budget) reserve(now time.Time, h *Holder, bytes int64) (Verdict, []*Holder) {
	if h.ended || h.index < 0 {
		return AlreadyEnded, nil
	}
	if b.limits.Bytes <= 0 || bytes <= 0 {
		b.grant(h, bytes)
		return Granted, nil
	}
	size := h.bytes + bytes
	if size > b.largeShare() {
		return TooLarge, nil
	}
	if missing := b.missingOfAccount(h, bytes); missing > 0 {
		victims, enough := b.choose(now, h, bytes, missing, h.account)
		if !enough {
			return AccountFull, nil
		}
		return Wait, b.end(victims)
	}
	missing := b.missing(size, bytes)
	if missing <= 0 {
		b.grant(h, bytes)
		return Granted, nil
	}
	victims, enough := b.choose(now, h, bytes, missing-b.leaving, nil)
	if !enough {
		return NoMemory, nil
	}
	return Wait, b.end(victims)
}

// missing returns how many bytes must be released before a Holder may grow by bytes to size.
func (b *Budget) missing(size, bytes int64) int64 {
	if size <= SmallHolder {
		return b.used + bytes - b.limits.Bytes
	}
	return b.used + bytes - b.largeShare()
}

// missingOfAccount is the same for the share of the Holder's account. A small Holder, and
// the only request of an account, are not bound by it.
func (b *Budget) missingOfAccount(h *Holder, bytes int64) int64 {
	if h.account == nil || h.account.holders == 1 || h.bytes+bytes <= SmallHolder {
		return 0
	}
	return h.account.bytes + bytes - int64(float64(b.largeShare())*accountShare)
}

func (b *Budget) grant(h *Holder, bytes int64) {
	h.bytes += bytes
	b.used += bytes
	if h.account != nil {
		h.account.bytes += bytes
	}
	if h.ended {
		b.leaving += bytes
	}
}

// Charge grants bytes to the Holder although others have not released them yet.
func (b *Budget) Charge(h *Holder, bytes int64) {
	if h.index >= 0 {
		b.grant(h, bytes)
	}
}

// TryReserve grants bytes to the Holder if there is room, and ends nobody.
func (b *Budget) TryReserve(h *Holder, bytes int64) bool {
	if h.index < 0 || b.limits.Bytes > 0 && (b.missing(h.bytes+bytes, bytes) > 0 || h.bytes+bytes > b.largeShare()) {
		return false
	}
	b.grant(h, bytes)
	return true
}

// Announce decides whether a body of the announced size may be received. It grants
// nothing: bytes are reserved as they arrive.
func (b *Budget) Announce(now time.Time, h *Holder, bytes int64) Verdict {
	switch {
	case h.ended:
		return AlreadyEnded
	case b.limits.Bytes <= 0 || h.bytes+bytes <= SmallHolder:
		return Granted
	case h.bytes+bytes > b.largeShare():
		return TooLarge
	}
	if missing := b.missing(SmallHolder+1, SmallHolder) - b.leaving; missing > 0 {
		if _, enough := b.choose(now, h, SmallHolder, missing, nil); !enough {
			return NoMemory
		}
	}
	return Granted
}

// choose returns the Holders with the most bytes for the least progress, enough to release
// missing bytes, that rank before h if it grew by bytes. only restricts them to an account.
func (b *Budget) choose(now time.Time, h *Holder, bytes, missing int64, only *account) (victims []*Holder, enough bool) {
	if missing <= 0 {
		return nil, true
	}
	type ranked struct {
		*Holder
		score float64
	}
	own := b.score(now, h, bytes)
	var candidates []ranked
	for _, other := range b.holders {
		if other == h || other.phase == Kept || other.bytes == 0 || only != nil && other.account != only {
			continue
		}
		if other.ended {
			if only != nil {
				missing -= other.bytes
			}
			continue
		}
		if score := b.score(now, other, 0); score > own {
			candidates = append(candidates, ranked{other, score})
		}
	}
	slices.SortStableFunc(candidates, func(a, c ranked) int {
		switch {
		case a.score > c.score:
			return -1
		case a.score < c.score:
			return 1
		}
		return 0
	})
	for _, c := range candidates {
		if missing <= 0 {
			break
		}
		victims = append(victims, c.Holder)
		missing -= c.bytes
	}
	return victims, missing <= 0
}

// score ranks the Holder as if it held further bytes: it is high with many bytes for little
// progress.
func (b *Budget) score(now time.Time, h *Holder, bytes int64) float64 {
	score := float64(h.bytes+bytes) / (h.progress(now) + SmallHolder)
	if h.account != nil && len(b.accounts) > 1 && h.account.bytes+bytes > b.limits.Bytes/int64(len(b.accounts)) {
		score *= overuse
	}
	return score
}

func (b *Budget) end(victims []*Holder) []*Holder {
	for _, h := range victims {
		h.ended = true
		b.leaving += h.bytes
		if h.account == nil {
			b.closing++
		} else {
			b.ending++
		}
	}
	return victims
}

// Release returns bytes of the Holder.
func (b *Budget) Release(h *Holder, bytes int64) {
	if h.index < 0 {
		return // all was released when it was closed
	}
	h.bytes -= bytes
	b.used -= bytes
	if h.account != nil {
		h.account.bytes -= bytes
	}
	if h.ended {
		b.leaving -= bytes
	}
}

// Close removes the Holder with all that it holds.
func (b *Budget) Close(h *Holder) {
	if h.index < 0 {
		return
	}
	b.Release(h, h.bytes)
	last := b.holders[len(b.holders)-1]
	b.holders[h.index], last.index = last, h.index
	b.holders[len(b.holders)-1] = nil
	b.holders = b.holders[:len(b.holders)-1]
	h.index = -1
	if h.account == nil {
		b.connections--
		if h.ended {
			b.closing--
		}
		return
	}
	b.requests--
	if h.ended {
		b.ending--
	}
	h.account.holders--
	if h.account.holders == 0 {
		delete(b.accounts, h.account.name)
	}
}
