package once

import (
	"slices"
	"time"
)

// Verdict is the decision on a claim.
type Verdict string

// Verdicts on a claim.
const (
	Granted  Verdict = "granted"   // the caller may send the request, once
	Pending  Verdict = "pending"   // granted to another attempt that has not been settled
	Replay   Verdict = "answered"  // the request was answered before
	Mismatch Verdict = "mismatch"  // the key was used before for a different request
	TooOld   Verdict = "too-old"   // the key is older than the window; whether the request ran is no longer known
	TooEarly Verdict = "too-early" // the timestamp of the key is too far in the future
	Refused  Verdict = "refused"   // not granted and nothing was recorded
	InDoubt  Verdict = "in-doubt"  // not granted, but the claim may have been recorded
	NotOwner Verdict = "not-owner" // not granted and nothing was recorded; another agent may own the bucket

	Abandoned Verdict = "abandoned" // this attempt was given up before
)

// Claim requests permission to send a protected request.
type Claim struct {
	ID        ID
	Timestamp time.Time // timestamp of the key
	Digest    Hash64
	Attempt   Hash64
}

// Settlement says how an attempt ended.
type Settlement struct {
	ID        ID
	Timestamp time.Time
	Digest    Hash64
	Attempt   Hash64
	NotRun    bool   // the request was not sent
	Kept      []byte // the answer to return for duplicates, or nil
}

// trackedRecord is a record in memory.
type trackedRecord struct {
	Record
	confirmed bool // the log holds the claim, or the attempt was released before it claimed
	dirty     bool // the current state is not in a log entry yet
	waiters   []waiter
}

// waiter is a claim that waits for its verdict.
type waiter struct {
	ticket uint64
	claim  Claim
}

// claims holds the claims of one bucket.
type claims struct {
	settings    Settings
	floor       int64 // as confirmed in the log; milliseconds since the Unix epoch
	sweptFloor  int64 // floor at the last sweep of the records
	records     map[ID]*trackedRecord
	dirty       []ID // records to write, in order of change
	waiting     []ID // records with waiters
	answerOrder []ID // records with a stored answer, oldest answer first
	answerBytes int  // total size of the stored answers
}

func newClaims(settings Settings) *claims {
	return &claims{settings: settings, records: map[ID]*trackedRecord{}}
}

// checkTimestamp returns the verdict on a key's timestamp, or "" if it is inside the
// window.
func (c *claims) checkTimestamp(now, timestamp time.Time) Verdict {
	window := c.settings.Window
	switch {
	case timestamp.UnixMilli() < c.floor || timestamp.Before(now.Add(-window.MaxAge)):
		return TooOld
	case timestamp.After(now.Add(window.MaxAhead)):
		return TooEarly
	}
	return ""
}

// lookup returns the verdict on a claim if it is final. Otherwise the claim must first
// be written to the log.
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

// add adds a claim that waits for a write, and a new record for it if there is none or
// the known one was released.
func (c *claims) add(ticket uint64, claim Claim) {
	known := c.records[claim.ID]
	if known == nil || (known.confirmed && known.State == Released) {
		known = &trackedRecord{Record: Record{
			ID: claim.ID, Timestamp: claim.Timestamp.UnixMilli(), Digest: claim.Digest, Attempt: claim.Attempt, State: Claimed,
		}}
		c.records[claim.ID] = known
		c.markDirty(known)
	}
	if len(known.waiters) == 0 {
		c.waiting = append(c.waiting, claim.ID)
	}
	known.waiters = append(known.waiters, waiter{ticket: ticket, claim: claim})
}

// settle applies a settlement and reports whether it changed a record.
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
	} else if len(s.Kept) > 0 && len(s.Kept) <= c.settings.MaxAnswerBytes {
		c.storeAnswer(known, s.Kept)
	}
	c.markDirty(known)
	return true
}

// recordAbandoned records that an attempt was given up before its claim arrived, so
// that a late claim of this attempt is not granted.
func (c *claims) recordAbandoned(s Settlement) bool {
	if s.Timestamp.UnixMilli() < c.floor {
		return false
	}
	known := &trackedRecord{confirmed: true, Record: Record{
		ID: s.ID, Timestamp: s.Timestamp.UnixMilli(), Digest: s.Digest, Attempt: s.Attempt, State: Released,
	}}
	c.records[s.ID] = known
	c.markDirty(known)
	return true
}

// storeAnswer stores an answer for duplicates and drops the oldest stored answers while
// their total size exceeds the limit.
func (c *claims) storeAnswer(record *trackedRecord, answer []byte) {
	record.Kept = answer
	c.answerBytes += len(answer)
	c.answerOrder = append(c.answerOrder, record.ID)
	for c.answerBytes > c.settings.MaxTotalAnswerBytes {
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

// batch removes and returns the next records to write, at most the given number of
// bytes but at least one record.
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

// recordBytes is the encoded size in bytes of a record without an answer.
const recordBytes = 56

// apply adds a record read from the log unless a newer one is known.
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

// confirm marks a record as held by the log and returns the waiters it had.
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

// pruneWaiting removes records without waiters from waiting.
func (c *claims) pruneWaiting() {
	c.waiting = slices.DeleteFunc(c.waiting, func(id ID) bool {
		known := c.records[id]
		return known == nil || len(known.waiters) == 0
	})
}

// takeWaiters removes and returns all waiters.
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

// dropUnwritten deletes the claims that are not part of a write yet and returns their
// waiters.
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

// sweepsPerWindow is how many times per window old records are dropped.
const sweepsPerWindow = 64

// raiseFloor raises the floor, before which no timestamp is granted, and drops the
// older records at most sweepsPerWindow times per window.
func (c *claims) raiseFloor(floor int64) {
	c.floor = max(c.floor, floor)
	if c.floor-c.sweptFloor < c.settings.Window.MaxAge.Milliseconds()/sweepsPerWindow {
		return
	}
	c.sweptFloor = c.floor
	for id, known := range c.records {
		if known.Timestamp < c.floor && known.confirmed {
			c.answerBytes -= len(known.Kept)
			delete(c.records, id)
		}
	}
	c.answerOrder = slices.DeleteFunc(c.answerOrder, func(id ID) bool {
		known := c.records[id]
		return known == nil || len(known.Kept) == 0
	})
}
