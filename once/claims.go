package once

import (
	"slices"
	"time"
)

// Verdict is the answer to a claim.
type Verdict string

// Verdicts.
const (
	Granted  Verdict = "granted"   // may be sent, once
	Pending  Verdict = "pending"   // granted before; whether it ran is not known yet
	Replay   Verdict = "answered"  // answered before
	Mismatch Verdict = "mismatch"  // the key came before with another request
	TooOld   Verdict = "too-old"   // the key is outside the window; whether it ran is no longer known
	TooEarly Verdict = "too-early" // the key is ahead of the clock
	Refused  Verdict = "refused"   // nothing was recorded
	InDoubt  Verdict = "in-doubt"  // not granted, but may have been recorded
	NotOwner Verdict = "not-owner" // nothing was recorded; the bucket has another owner

	Abandoned Verdict = "abandoned" // the attempt was given up before
)

// Claim asks for the right to send a protected request.
type Claim struct {
	ID      ID
	Stamp   time.Time // of the key
	Digest  Short
	Attempt Short
}

// Settlement says how a granted request ended.
type Settlement struct {
	ID      ID
	Stamp   time.Time
	Digest  Short
	Attempt Short
	NotRun  bool
	Kept    []byte // the answer for duplicates, or nil
}

// trackedRecord is a record in memory.
type trackedRecord struct {
	Record
	confirmed bool // the log holds it at least as claimed
	dirty     bool // the log does not hold its present state
	waiters   []waiter
}

type waiter struct {
	ticket uint64
	claim  Claim
}

// claims holds the claims of one bucket.
type claims struct {
	settings  Settings
	floor     int64 // confirmed; milliseconds
	sweptFloor     int64 // floor up to which records were dropped
	records   map[ID]*trackedRecord
	dirty     []ID // in order of change
	waiting      []ID // have claims that wait
	answerOrder []ID
	answerBytes int
}

func newClaims(settings Settings) *claims {
	return &claims{settings: settings, records: map[ID]*trackedRecord{}}
}

// checkTimestamp returns the verdict on a key's timestamp, or "" inside the window.
func (c *claims) checkTimestamp(now, stamp time.Time) Verdict {
	window := c.settings.Window
	switch {
	case stamp.UnixMilli() < c.floor || stamp.Before(now.Add(-window.Past)):
		return TooOld
	case stamp.After(now.Add(window.Ahead)):
		return TooEarly
	}
	return ""
}

// lookup returns the verdict on a claim if it is final. Otherwise the claim needs
// a write first.
func (c *claims) lookup(claim Claim) (verdict Verdict, kept []byte, final bool) {
	known := c.records[claim.ID]
	switch {
	case known == nil || !known.confirmed:
		return "", nil, false
	case known.State == Released:
		if known.Attempt == claim.Attempt {
			return Abandoned, nil, true
		}
		return "", nil, false
	case known.Digest != claim.Digest:
		return Mismatch, nil, true
	case known.State == Answered:
		return Replay, known.Kept, true
	case known.Attempt == claim.Attempt:
		return Granted, nil, true
	}
	return Pending, nil, true
}

// add records a claim that waits for its write.
func (c *claims) add(ticket uint64, claim Claim) {
	known := c.records[claim.ID]
	if known == nil || (known.confirmed && known.State == Released) {
		known = &trackedRecord{Record: Record{
			ID: claim.ID, Stamp: claim.Stamp.UnixMilli(), Digest: claim.Digest, Attempt: claim.Attempt, State: Claimed,
		}}
		c.records[claim.ID] = known
		c.markDirty(known)
	}
	if len(known.waiters) == 0 {
		c.waiting = append(c.waiting, claim.ID)
	}
	known.waiters = append(known.waiters, waiter{ticket: ticket, claim: claim})
}

// settle applies the end of a request and reports whether it changed anything.
func (c *claims) settle(s Settlement) bool {
	known := c.records[s.ID]
	if known == nil {
		return s.NotRun && c.recordAbandoned(s)
	}
	if known.Attempt != s.Attempt || known.State != Claimed {
		return false
	}
	known.State = Answered
	if s.NotRun {
		known.State = Released
	} else if len(s.Kept) > 0 && len(s.Kept) <= c.settings.MaxKeptAnswer {
		c.storeAnswer(known, s.Kept)
	}
	c.markDirty(known)
	return true
}

// recordAbandoned records that an attempt was given up before its claim arrived, so that
// the claim is not granted when it does.
func (c *claims) recordAbandoned(s Settlement) bool {
	if s.Stamp.UnixMilli() < c.floor {
		return false
	}
	known := &trackedRecord{confirmed: true, Record: Record{
		ID: s.ID, Stamp: s.Stamp.UnixMilli(), Digest: s.Digest, Attempt: s.Attempt, State: Released,
	}}
	c.records[s.ID] = known
	c.markDirty(known)
	return true
}

// storeAnswer stores an answer for duplicates; the oldest give way to the newest.
func (c *claims) storeAnswer(record *trackedRecord, answer []byte) {
	record.Kept = answer
	c.answerBytes += len(answer)
	c.answerOrder = append(c.answerOrder, record.ID)
	for c.answerBytes > c.settings.MaxKeptTotal {
		oldest := c.records[c.answerOrder[0]]
		c.answerOrder = c.answerOrder[1:]
		if oldest != nil {
			c.answerBytes -= len(oldest.Kept)
			oldest.Kept = nil
		}
	}
}

func (c *claims) markDirty(record *trackedRecord) {
	if !record.dirty {
		record.dirty = true
		c.dirty = append(c.dirty, record.ID)
	}
}

// batch returns records that are to be written, up to a number of bytes.
func (c *claims) batch(most int) []Record {
	var batch []Record
	size, taken := 0, 0
	for _, id := range c.dirty {
		known := c.records[id]
		if known != nil && known.dirty {
			size += recordBytes + len(known.Kept)
			if size > most && len(batch) > 0 {
				break
			}
			known.dirty = false
			batch = append(batch, known.Record)
		}
		taken++
	}
	c.dirty = c.dirty[taken:]
	return batch
}

// recordBytes is the encoded size of a record without an answer.
const recordBytes = 56

// apply takes over a record that the log holds.
func (c *claims) apply(record Record) {
	known := c.records[record.ID]
	if known != nil && known.Position > record.Position {
		return
	}
	if known != nil {
		c.answerBytes -= len(known.Kept)
	}
	kept := record.Kept
	record.Kept = nil
	fresh := &trackedRecord{Record: record, confirmed: true}
	c.records[record.ID] = fresh
	if len(kept) > 0 {
		c.storeAnswer(fresh, kept)
	}
}

// confirm notes that the log holds a record and returns the claims that waited for it.
func (c *claims) confirm(record Record, position uint64) []waiter {
	known := c.records[record.ID]
	if known == nil || known.Attempt != record.Attempt {
		return nil
	}
	known.confirmed, known.Position = true, position
	waiting := known.waiters
	known.waiters = nil
	return waiting
}

// pruneWaiting drops from open what has no claims that wait.
func (c *claims) pruneWaiting() {
	c.waiting = slices.DeleteFunc(c.waiting, func(id ID) bool {
		known := c.records[id]
		return known == nil || len(known.waiters) == 0
	})
}

// takeWaiters returns all claims that wait, which then wait no longer.
func (c *claims) takeWaiters() []waiter {
	var all []waiter
	for _, id := range c.waiting {
		if known := c.records[id]; known != nil {
			all = append(all, known.waiters...)
			known.waiters = nil
		}
	}
	c.waiting = nil
	return all
}

// dropUnwritten forgets the claims that no write contains yet and returns those that wait for them.
func (c *claims) dropUnwritten() []waiter {
	var all []waiter
	var rest []ID
	for _, id := range c.dirty {
		known := c.records[id]
		if known != nil && known.dirty && !known.confirmed && known.State == Claimed {
			all = append(all, known.waiters...)
			delete(c.records, id)
			continue
		}
		rest = append(rest, id)
	}
	c.dirty = rest
	return all
}

// hasUnwrittenClaims reports whether a claim waits for a write.
func (c *claims) hasUnwrittenClaims() bool {
	for _, id := range c.dirty {
		if known := c.records[id]; known != nil && !known.confirmed {
			return true
		}
	}
	return false
}

// sweepsPerWindow is how often per window records are dropped.
const sweepsPerWindow = 64

// raiseFloor raises the floor, below which nothing is granted, and drops the records
// below it from time to time.
func (c *claims) raiseFloor(floor int64) {
	c.floor = max(c.floor, floor)
	if c.floor-c.sweptFloor < c.settings.Window.Past.Milliseconds()/sweepsPerWindow {
		return
	}
	c.sweptFloor = c.floor
	for id, known := range c.records {
		if known.Stamp < c.floor && known.confirmed {
			c.answerBytes -= len(known.Kept)
			delete(c.records, id)
		}
	}
	c.answerOrder = slices.DeleteFunc(c.answerOrder, func(id ID) bool {
		known := c.records[id]
		return known == nil || len(known.Kept) == 0
	})
}
