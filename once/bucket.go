package once

import (
	"bytes"
	"time"
)

// Settings limit the store load and memory of one bucket.
type Settings struct {
	Window              Window
	RingSize            int           // number of log positions; the next write overwrites the oldest one
	CompactAfter        int           // number of uncompacted positions that starts a compaction
	BatchBytes          int           // of records in one log entry
	WriteRate           float64       // store writes per second
	WriteBurst          float64       // store writes without waiting after an idle time
	SettleDelay         time.Duration // longest time that a settlement waits to share a write with a claim, while less than half of the write tokens are left
	RetryDelay          time.Duration // after a failed store call
	MaxClaims           int           // claims in memory from which new ones are refused
	MaxAnswerBytes      int           // a longer answer is not stored
	MaxTotalAnswerBytes int           // total of the stored answers
}

// DefaultSettings are the settings of the fleet. All VMs must use the same Window.
var DefaultSettings = Settings{
	Window:              Window{MaxAge: time.Hour, MaxAhead: 5 * time.Minute},
	RingSize:            64,
	CompactAfter:        32,
	BatchBytes:          24 << 10,
	WriteRate:           25,
	WriteBurst:          8,
	SettleDelay:         200 * time.Millisecond,
	RetryDelay:          100 * time.Millisecond,
	MaxClaims:           200_000,
	MaxAnswerBytes:      2 << 10,
	MaxTotalAnswerBytes: 4 << 20,
}

// BucketCount is the number of buckets in the fleet. All VMs must use the same number.
const BucketCount = 8

// Role is an agent's ownership state for a bucket.
type Role string

// Roles of an agent for a bucket.
const (
	Idle      Role = "idle"   // not the owner; another agent may be
	Acquiring Role = "taking" // reading the log and writing the next position
	Owning    Role = "owning" // grants claims until a write shows that another agent wrote the next position
)

// Reply is the reply to one call of Bucket.Claim.
type Reply struct {
	Ticket  uint64 // as passed to Bucket.Claim
	Verdict Verdict
	Kept    []byte // with the verdict Replay: the stored answer, if there is one
}

// Bucket is one agent's state of one bucket of claims. It is not safe for concurrent
// use.
type Bucket struct {
	name        string
	self        string
	settings    Settings
	tokenBucket tokenBucket
	role        Role
	leaving     bool
	owner       string // agent that the bucket was last lost to, or "" if not known
	claims      *claims
	log         log
	queued      []waiter // claims that arrived while acquiring the bucket
	op          *Op      // store call in progress
	batch       []Record // records of the write in progress
	retryAt     time.Time
	failing     bool      // the last store call failed
	settleBy    time.Time // when settlements are written without waiting for a claim; zero if none waits
	replies     []Reply
	loadErr     error // why the log could not be read
}

// NewBucket returns a bucket that this agent does not own. self identifies the agent
// process and must differ between runs of the agent.
func NewBucket(name, self string, settings Settings) *Bucket {
	return &Bucket{
		name: name, self: self, settings: settings, role: Idle,
		tokenBucket: tokenBucket{rate: settings.WriteRate, burst: settings.WriteBurst, tokens: settings.WriteBurst},
		claims:      newClaims(settings), log: newLog(name, settings),
	}
}

// Role returns this agent's ownership state.
func (b *Bucket) Role() Role { return b.role }

// Owner returns the self of the agent that this agent last lost the bucket to, or "" if
// it is not known.
func (b *Bucket) Owner() string { return b.owner }

// LoadError returns why the bucket's log could not be decoded, or nil.
func (b *Bucket) LoadError() error { return b.loadErr }

// Unwritten returns the number of claims and settlements that are not confirmed in the
// log yet.
func (b *Bucket) Unwritten() int { return len(b.claims.dirty) + len(b.batch) }

// Claims returns the number of claims in memory.
func (b *Bucket) Claims() int { return len(b.claims.records) }

// Acquire starts to acquire the bucket. This agent becomes the owner once it has written
// the next log position. Acquire does nothing if the agent is not idle or is leaving.
func (b *Bucket) Acquire() {
	if b.role != Idle || b.leaving {
		return
	}
	b.role = Acquiring
	b.claims, b.log = newClaims(b.settings), newLog(b.name, b.settings)
	b.failing = false
}

// Leave stops accepting claims for good. Flushed reports when the settlements are written;
// from then on, Settle accepts no more of them.
func (b *Bucket) Leave() {
	b.leaving = true
	if b.role == Acquiring {
		b.stepDown("")
	}
}

// Left reports whether the bucket was given up for good.
func (b *Bucket) Left() bool { return b.leaving && b.role == Idle }

// Flushed reports whether there is nothing left to write, also no write that failed and is to
// be repeated.
func (b *Bucket) Flushed() bool { return b.op == nil && (b.role != Owning || b.Unwritten() == 0) }

// Claim requests a grant. The reply with this ticket comes from Replies, now or later.
func (b *Bucket) Claim(now time.Time, ticket uint64, claim Claim) {
	switch {
	case b.role == Idle || b.leaving:
		b.reply(ticket, NotOwner, nil)
	case b.role == Acquiring:
		b.queue(ticket, claim)
	default:
		b.decide(now, waiter{ticket: ticket, claim: claim})
	}
}

func (b *Bucket) queue(ticket uint64, claim Claim) {
	if b.failing || len(b.queued) >= b.settings.MaxClaims {
		b.reply(ticket, Refused, nil)
		return
	}
	b.queued = append(b.queued, waiter{ticket: ticket, claim: claim})
}

func (b *Bucket) decide(now time.Time, w waiter) {
	if verdict := b.claims.checkTimestamp(now, w.claim.Timestamp); verdict != "" {
		b.reply(w.ticket, verdict, nil)
		return
	}
	if verdict, kept, final := b.claims.lookup(w.claim); final {
		b.reply(w.ticket, verdict, kept)
		return
	}
	if b.failing || len(b.claims.records) >= b.settings.MaxClaims {
		b.reply(w.ticket, Refused, nil)
		return
	}
	b.claims.add(w.ticket, w.claim)
}

// Settle records how an attempt ended. It returns false if this agent does not own the
// bucket; the caller must then pass the settlement to the owner.
func (b *Bucket) Settle(now time.Time, s Settlement) bool {
	if b.role != Owning {
		return false
	}
	if b.claims.settle(s) && b.settleBy.IsZero() {
		b.settleBy = now.Add(b.settings.SettleDelay)
	}
	return true
}

// Replies removes and returns the replies that are ready.
func (b *Bucket) Replies() []Reply {
	ready := b.replies
	b.replies = nil
	return ready
}

func (b *Bucket) reply(ticket uint64, verdict Verdict, kept []byte) {
	b.replies = append(b.replies, Reply{Ticket: ticket, Verdict: verdict, Kept: kept})
}

func (b *Bucket) replyAll(waiters []waiter, verdict Verdict) {
	for _, w := range waiters {
		b.reply(w.ticket, verdict, nil)
	}
}

// Next returns the store call to perform now, if any; its result must be passed to Done.
// Otherwise wake is when to call Next again; zero means after the next event.
func (b *Bucket) Next(now time.Time) (op *Op, wake time.Time) {
	if b.leaving && b.role == Owning && b.Flushed() {
		b.stepDown("")
	}
	if b.op != nil || b.role == Idle {
		return nil, time.Time{}
	}
	if now.Before(b.retryAt) {
		return nil, b.retryAt
	}
	next, wake := b.chooseOp(now)
	if next == nil {
		return nil, wake
	}
	if next.Kind == OpSwap || next.Kind == OpDelete {
		if wait := b.tokenBucket.take(now); wait > 0 {
			return nil, now.Add(wait)
		}
	}
	if next.purpose == writeEntry && next.Value == nil {
		b.fillEntry(now, next)
	}
	b.log.repeat = nil
	b.op = next
	return next, time.Time{}
}

// chooseOp returns the store call that is due. The value of a new log entry is still
// missing.
func (b *Bucket) chooseOp(now time.Time) (*Op, time.Time) {
	switch {
	case b.log.unresolved != nil:
		return b.log.readBackOp(), time.Time{}
	case b.log.repeat != nil:
		return b.log.repeat, time.Time{}
	case b.role == Acquiring && !b.log.loaded:
		return b.log.listOp(), time.Time{}
	case b.log.ringFull() || (b.log.compactionDue() && !b.claims.hasUnwrittenClaims()):
		return b.log.compactOp(), time.Time{}
	case b.role == Acquiring:
		return b.log.entryOp(), time.Time{}
	case b.claims.hasUnwrittenClaims():
		return b.log.entryOp(), time.Time{}
	}
	return b.chooseIdleOp(now)
}

// chooseIdleOp returns the store call that is due when no claim waits for a write.
func (b *Bucket) chooseIdleOp(now time.Time) (*Op, time.Time) {
	floorDue := time.UnixMilli(b.claims.floor).Add(b.settings.Window.MaxAge * (floorRaisesPerWindow + 1) / floorRaisesPerWindow)
	switch {
	case len(b.claims.dirty) > 0 && (b.leaving || b.tokenBucket.halfFull(now) || !now.Before(b.settleBy)):
		return b.log.entryOp(), time.Time{}
	case len(b.claims.dirty) > 0:
		return nil, b.settleBy
	case b.log.expiredSegment(b.claims.floor) != nil:
		return b.log.deleteOp(b.claims.floor), time.Time{}
	case len(b.claims.records) > 0 && !now.Before(floorDue):
		return b.log.entryOp(), time.Time{}
	case len(b.claims.records) > 0:
		return nil, floorDue
	}
	return nil, time.Time{}
}

// floorRaisesPerWindow is how many times per window an idle bucket raises its floor.
const floorRaisesPerWindow = 8

// fillEntry sets the value of a log entry: the new floor and, as owner, the next batch of
// records.
func (b *Bucket) fillEntry(now time.Time, op *Op) {
	if b.role == Owning {
		b.batch = b.claims.batch(b.settings.BatchBytes)
		b.settleBy = time.Time{}
		if len(b.claims.dirty) > 0 {
			b.settleBy = now
		}
	}
	position := b.log.last + 1
	for i := range b.batch {
		b.batch[i].Position = position
	}
	floor := max(b.claims.floor, now.Add(-b.settings.Window.MaxAge).UnixMilli())
	op.Value = encode(logEntry{Position: position, Owner: b.self, Floor: floor, Records: b.batch})
	op.floor = floor
}

// Done handles the result of the store call that Next returned.
func (b *Bucket) Done(now time.Time, result Result) {
	op := b.op
	b.op = nil
	if b.role == Idle {
		return // this agent stopped acquiring the bucket in the meantime
	}
	if result.Failed {
		b.storeFailed(now, op)
		return
	}
	b.failing, b.retryAt = false, time.Time{}
	switch op.purpose {
	case listLog:
		b.handleList(result)
	case writeEntry:
		b.handleWrite(now, op, result)
	case readBack:
		b.handleReadBack(now, result)
	case writeSegment:
		b.log.segmentWritten(op, result) // on a conflict, an earlier owner wrote the same segment
	case deleteSegment:
		b.log.segmentDeleted(op, result)
	}
}

// storeFailed refuses the waiting claims and schedules a retry. A write of a log entry
// may have been applied, so its claims get InDoubt and the position is read back.
func (b *Bucket) storeFailed(now time.Time, op *Op) {
	if op.purpose == writeEntry {
		b.log.unresolved = op
	}
	b.failing, b.retryAt = true, now.Add(b.settings.RetryDelay)
	b.replyAll(b.claims.dropUnwritten(), Refused)
	b.replyAll(b.claims.takeWaiters(), InDoubt)
	b.replyAll(b.queued, Refused)
	b.queued = nil
}

func (b *Bucket) handleList(result Result) {
	if b.loadErr = b.log.load(result.Entries, b.claims); b.loadErr != nil {
		b.stepDown("")
	}
}

func (b *Bucket) handleWrite(now time.Time, op *Op, result Result) {
	if result.Conflict {
		b.log.unresolved = op // an earlier try of the same write may have been applied
		return
	}
	b.confirm(now, op, result.Version)
}

// handleReadBack decides from the stored value whether the unresolved write was applied.
func (b *Bucket) handleReadBack(now time.Time, result Result) {
	op := b.log.unresolved
	switch {
	case bytes.Equal(result.Value, op.Value):
		b.log.unresolved = nil
		b.confirm(now, op, result.Version)
	case result.Version == op.Expect:
		b.log.unresolved, b.log.repeat = nil, op // not applied, or not yet: only the same bytes may be written, in case the first write is still applied
	default:
		b.log.unresolved = nil
		b.handleLostPosition(result.Value)
	}
}

// confirm handles a log entry that is known to be in the store.
func (b *Bucket) confirm(now time.Time, op *Op, version uint64) {
	b.log.entryWritten(op, version, b.batch)
	batch := b.batch
	b.batch = nil
	b.claims.raiseFloor(op.floor)
	if b.role == Acquiring {
		b.role = Owning
		waiting := b.queued
		b.queued = nil
		for _, w := range waiting {
			b.decide(now, w)
		}
		return
	}
	for _, record := range batch {
		for _, w := range b.claims.confirm(record, op.position) {
			b.decide(now, w)
		}
	}
	b.claims.pruneWaiting()
}

// handleLostPosition handles a position that another agent wrote.
func (b *Bucket) handleLostPosition(value []byte) {
	if b.role == Acquiring {
		b.claims, b.log = newClaims(b.settings), newLog(b.name, b.settings) // read the log again
		return
	}
	var entry logEntry
	owner := ""
	if decode(b.name, value, &entry) == nil {
		owner = entry.Owner
	}
	b.stepDown(owner)
}

// stepDown gives up the bucket. The waiting claims were not granted by this agent, and
// their callers may claim at the new owner.
func (b *Bucket) stepDown(owner string) {
	b.role, b.owner = Idle, owner
	b.replyAll(b.claims.takeWaiters(), NotOwner)
	b.replyAll(b.queued, NotOwner)
	b.queued, b.batch = nil, nil
	b.claims, b.log = newClaims(b.settings), newLog(b.name, b.settings)
}
