package once

import (
	"bytes"
	"time"
)

// Settings bound the work and memory of one bucket.
type Settings struct {
	Window        Window
	Ring          int           // log positions before one is overwritten
	CompactAfter  int           // positions that are not in a segment yet
	BatchBytes    int           // of records in one position
	WriteRate     float64       // writes per second
	WriteBurst    float64       // writes at once when idle
	SettleDelay   time.Duration // longest wait of an end for a claim to be written with, when writes are short
	RetryDelay    time.Duration // after a failed call of the store
	MaxClaims     int           // in memory
	MaxKeptAnswer int           // bytes; a longer answer is not kept
	MaxKeptTotal  int           // bytes
}

// DefaultSettings are the settings of the fleet; all VMs must use the same window.
var DefaultSettings = Settings{
	Window:        Window{Past: time.Hour, Ahead: 5 * time.Minute},
	Ring:          64,
	CompactAfter:  32,
	BatchBytes:    24 << 10,
	WriteRate:     25,
	WriteBurst:    8,
	SettleDelay:   200 * time.Millisecond,
	RetryDelay:    100 * time.Millisecond,
	MaxClaims:     200_000,
	MaxKeptAnswer: 2 << 10,
	MaxKeptTotal:  4 << 20,
}

// Buckets is the number of buckets of the fleet; all VMs must use the same.
const Buckets = 8

// Role is a bucket's state at one agent.
type Role string

// Roles.
const (
	Idle   Role = "idle"   // another agent may own the bucket
	Taking Role = "taking" // the log is being read and the next position won
	Owning Role = "owning"
)

// Reply is the answer to a claim.
type Reply struct {
	Ticket  uint64
	Verdict Verdict
	Kept    []byte
}

// Bucket is one agent's part in one bucket of claims.
type Bucket struct {
	name     string
	self     string
	settings Settings
	tokenBucket     tokenBucket
	role     Role
	leaving  bool
	owner    string // last other owner seen
	claims   *claims
	log      log
	queued   []waiter // claims that arrived while taking over
	op       *Op      // in progress
	batch    []Record // of the write in progress
	retryAt  time.Time
	failing  bool      // the last call of the store failed
	settleBy time.Time // when ends are written without a claim; zero for none
	replies  []Reply
	loadErr    error // why the log cannot be read
}

// NewBucket returns a bucket that this agent does not own. self identifies the
// agent and this run of it.
func NewBucket(name, self string, settings Settings) *Bucket {
	return &Bucket{
		name: name, self: self, settings: settings, role: Idle,
		tokenBucket:   tokenBucket{rate: settings.WriteRate, burst: settings.WriteBurst, tokens: settings.WriteBurst},
		claims: newClaims(settings), log: newLog(name, settings),
	}
}

// Role returns the bucket's state.
func (b *Bucket) Role() Role { return b.role }

// Owner returns the last other agent that was seen to own the bucket, or "".
func (b *Bucket) Owner() string { return b.owner }

// Fault returns why the bucket's log could not be read, or nil.
func (b *Bucket) Fault() error { return b.loadErr }

// Unwritten returns the number of claims and ends that the log does not hold yet.
func (b *Bucket) Unwritten() int { return len(b.claims.dirty) + len(b.batch) }

// Claims returns the number of claims in memory.
func (b *Bucket) Claims() int { return len(b.claims.records) }

// Take makes this agent the owner as soon as it has won the next log position.
func (b *Bucket) Take() {
	if b.role != Idle || b.leaving {
		return
	}
	b.role = Taking
	b.claims, b.log = newClaims(b.settings), newLog(b.name, b.settings)
	b.failing = false
}

// Leave stops granting; Flushed says when the ends are written.
func (b *Bucket) Leave() {
	b.leaving = true
	if b.role == Taking {
		b.stepDown("")
	}
}

// Flushed reports whether nothing is left to write.
func (b *Bucket) Flushed() bool { return b.op == nil && (b.role != Owning || len(b.claims.dirty) == 0) }

// Claim asks for a grant. The reply to ticket comes from Replies, now or later.
func (b *Bucket) Claim(now time.Time, ticket uint64, claim Claim) {
	switch {
	case b.role == Idle || b.leaving:
		b.reply(ticket, NotOwner, nil)
	case b.role == Taking:
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
	if verdict := b.claims.checkTimestamp(now, w.claim.Stamp); verdict != "" {
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

// Settle records how a granted request ended. It reports false if the bucket is
// not owned; the end then has to be told to the owner.
func (b *Bucket) Settle(now time.Time, s Settlement) bool {
	if b.role != Owning {
		return false
	}
	if b.claims.settle(s) && b.settleBy.IsZero() {
		b.settleBy = now.Add(b.settings.SettleDelay)
	}
	return true
}

// Replies returns the answers that are ready.
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

// Next returns the operation to perform now, if any; Done must follow. Without
// an operation, wake is when to ask again; zero means after the next event.
func (b *Bucket) Next(now time.Time) (op *Op, wake time.Time) {
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

// chooseOp returns the operation that is due, still without the records of a log entry.
func (b *Bucket) chooseOp(now time.Time) (*Op, time.Time) {
	switch {
	case b.log.unresolved != nil:
		return b.log.readBackOp(), time.Time{}
	case b.log.repeat != nil:
		return b.log.repeat, time.Time{}
	case b.role == Taking && !b.log.loaded:
		return b.log.listOp(), time.Time{}
	case b.log.ringFull() || (b.log.compactionDue() && !b.claims.hasUnwrittenClaims()):
		return b.log.compactOp(), time.Time{}
	case b.role == Taking:
		return b.log.entryOp(), time.Time{}
	case b.claims.hasUnwrittenClaims():
		return b.log.entryOp(), time.Time{}
	}
	return b.chooseIdleOp(now)
}

// chooseIdleOp returns the work that can wait for claims.
func (b *Bucket) chooseIdleOp(now time.Time) (*Op, time.Time) {
	floorDue := time.UnixMilli(b.claims.floor).Add(b.settings.Window.Past * (floorRaisesPerWindow + 1) / floorRaisesPerWindow)
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

// floorRaisesPerWindow is how often per window an idle bucket raises its floor.
const floorRaisesPerWindow = 8

// fillEntry completes a log entry with all that is to be written.
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
	floor := max(b.claims.floor, now.Add(-b.settings.Window.Past).UnixMilli())
	op.Value = encode(logEntry{Position: position, Owner: b.self, Floor: floor, Records: b.batch})
	op.floor = floor
}

// Done takes in the result of the operation that Next returned.
func (b *Bucket) Done(now time.Time, result Result) {
	op := b.op
	b.op = nil
	if b.role == Idle {
		return // the bucket was given up in the meantime
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
		b.log.segmentWritten(op, result) // a conflict means that an earlier owner wrote the same segment
	case deleteSegment:
		b.log.segmentDeleted(op, result)
	}
}

// storeFailed refuses what waits and tries again later. A write may have taken effect.
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
		b.log.unresolved = op // an earlier try of the same write may have won
		return
	}
	b.confirm(now, op, result.Version)
}

// handleReadBack decides about a write in doubt by the value that the store holds.
func (b *Bucket) handleReadBack(now time.Time, result Result) {
	op := b.log.unresolved
	switch {
	case bytes.Equal(result.Value, op.Value):
		b.log.unresolved = nil
		b.confirm(now, op, result.Version)
	case result.Version == op.Expect:
		b.log.unresolved, b.log.repeat = nil, op // not applied, or not yet: only the very same bytes may follow
	default:
		b.log.unresolved = nil
		b.handleLostPosition(result.Value)
	}
}

// confirm takes in a log entry that the store holds.
func (b *Bucket) confirm(now time.Time, op *Op, version uint64) {
	b.log.entryWritten(op, version, b.batch)
	batch := b.batch
	b.batch = nil
	b.claims.raiseFloor(op.floor)
	if b.role == Taking {
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

// handleLostPosition handles a position that another agent won.
func (b *Bucket) handleLostPosition(value []byte) {
	if b.role == Taking {
		b.claims, b.log = newClaims(b.settings), newLog(b.name, b.settings) // to be read again
		return
	}
	var entry logEntry
	owner := ""
	if decode(b.name, value, &entry) == nil {
		owner = entry.Owner
	}
	b.stepDown(owner)
}

// stepDown gives the bucket up. What waits was not granted and may be claimed elsewhere.
func (b *Bucket) stepDown(owner string) {
	b.role, b.owner = Idle, owner
	b.replyAll(b.claims.takeWaiters(), NotOwner)
	b.replyAll(b.queued, NotOwner)
	b.queued, b.batch = nil, nil
	b.claims, b.log = newClaims(b.settings), newLog(b.name, b.settings)
}
