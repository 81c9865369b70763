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

// held is a record in memory.
type held struct {
	Record
	confirmed bool // the log holds it at least as claimed
	dirty     bool // the log does not hold its present state
	waiters   []waiter
}

type waiter struct {
	ticket uint64
	claim  Claim
}

// ledger holds the claims of one bucket.
type ledger struct {
	settings  Settings
	floor     int64 // confirmed; milliseconds
	swept     int64 // floor up to which records were dropped
	records   map[ID]*held
	dirty     []ID // in order of change
	open      []ID // have claims that wait
	keptOrder []ID
	keptBytes int
}

func newLedger(settings Settings) *ledger {
	return &ledger{settings: settings, records: map[ID]*held{}}
}

// check returns the verdict on a key's timestamp, or "" inside the window.
func (l *ledger) check(now, stamp time.Time) Verdict {
	window := l.settings.Window
	switch {
	case stamp.UnixMilli() < l.floor || stamp.Before(now.Add(-window.Past)):
		return TooOld
	case stamp.After(now.Add(window.Ahead)):
		return TooEarly
	}
	return ""
}

// look returns the verdict on a claim if it is final. Otherwise the claim needs
// a write first.
func (l *ledger) look(claim Claim) (verdict Verdict, kept []byte, final bool) {
	known := l.records[claim.ID]
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
func (l *ledger) add(ticket uint64, claim Claim) {
	known := l.records[claim.ID]
	if known == nil || (known.confirmed && known.State == Released) {
		known = &held{Record: Record{
			ID: claim.ID, Stamp: claim.Stamp.UnixMilli(), Digest: claim.Digest, Attempt: claim.Attempt, State: Claimed,
		}}
		l.records[claim.ID] = known
		l.mark(known)
	}
	if len(known.waiters) == 0 {
		l.open = append(l.open, claim.ID)
	}
	known.waiters = append(known.waiters, waiter{ticket: ticket, claim: claim})
}

// settle applies the end of a request and reports whether it changed anything.
func (l *ledger) settle(s Settlement) bool {
	known := l.records[s.ID]
	if known == nil {
		return s.NotRun && l.bury(s)
	}
	if known.Attempt != s.Attempt || known.State != Claimed {
		return false
	}
	known.State = Answered
	if s.NotRun {
		known.State = Released
	} else if len(s.Kept) > 0 && len(s.Kept) <= l.settings.MaxKeptAnswer {
		l.keep(known, s.Kept)
	}
	l.mark(known)
	return true
}

// bury records that an attempt was given up before its claim arrived, so that
// the claim is not granted when it does.
func (l *ledger) bury(s Settlement) bool {
	if s.Stamp.UnixMilli() < l.floor {
		return false
	}
	known := &held{confirmed: true, Record: Record{
		ID: s.ID, Stamp: s.Stamp.UnixMilli(), Digest: s.Digest, Attempt: s.Attempt, State: Released,
	}}
	l.records[s.ID] = known
	l.mark(known)
	return true
}

// keep stores an answer for duplicates; the oldest give way to the newest.
func (l *ledger) keep(record *held, answer []byte) {
	record.Kept = answer
	l.keptBytes += len(answer)
	l.keptOrder = append(l.keptOrder, record.ID)
	for l.keptBytes > l.settings.MaxKeptTotal {
		oldest := l.records[l.keptOrder[0]]
		l.keptOrder = l.keptOrder[1:]
		if oldest != nil {
			l.keptBytes -= len(oldest.Kept)
			oldest.Kept = nil
		}
	}
}

func (l *ledger) mark(record *held) {
	if !record.dirty {
		record.dirty = true
		l.dirty = append(l.dirty, record.ID)
	}
}

// batch returns records that are to be written, up to a number of bytes.
func (l *ledger) batch(most int) []Record {
	var batch []Record
	size, taken := 0, 0
	for _, id := range l.dirty {
		known := l.records[id]
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
	l.dirty = l.dirty[taken:]
	return batch
}

// recordBytes is the encoded size of a record without an answer.
const recordBytes = 56

// apply takes over a record that the log holds.
func (l *ledger) apply(record Record) {
	known := l.records[record.ID]
	if known != nil && known.Position > record.Position {
		return
	}
	if known != nil {
		l.keptBytes -= len(known.Kept)
	}
	kept := record.Kept
	record.Kept = nil
	fresh := &held{Record: record, confirmed: true}
	l.records[record.ID] = fresh
	if len(kept) > 0 {
		l.keep(fresh, kept)
	}
}

// confirm notes that the log holds a record and returns the claims that waited for it.
func (l *ledger) confirm(record Record, position uint64) []waiter {
	known := l.records[record.ID]
	if known == nil || known.Attempt != record.Attempt {
		return nil
	}
	known.confirmed, known.Position = true, position
	waiting := known.waiters
	known.waiters = nil
	return waiting
}

// closeAnswered drops from open what has no claims that wait.
func (l *ledger) closeAnswered() {
	l.open = slices.DeleteFunc(l.open, func(id ID) bool {
		known := l.records[id]
		return known == nil || len(known.waiters) == 0
	})
}

// takeWaiters returns all claims that wait, which then wait no longer.
func (l *ledger) takeWaiters() []waiter {
	var all []waiter
	for _, id := range l.open {
		if known := l.records[id]; known != nil {
			all = append(all, known.waiters...)
			known.waiters = nil
		}
	}
	l.open = nil
	return all
}

// dropUnwritten forgets the claims that no write contains yet and returns those that wait for them.
func (l *ledger) dropUnwritten() []waiter {
	var all []waiter
	var rest []ID
	for _, id := range l.dirty {
		known := l.records[id]
		if known != nil && known.dirty && !known.confirmed && known.State == Claimed {
			all = append(all, known.waiters...)
			delete(l.records, id)
			continue
		}
		rest = append(rest, id)
	}
	l.dirty = rest
	return all
}

// hasClaims reports whether a claim waits for a write.
func (l *ledger) hasClaims() bool {
	for _, id := range l.dirty {
		if known := l.records[id]; known != nil && !known.confirmed {
			return true
		}
	}
	return false
}

// sweepSteps is how often per window records are dropped.
const sweepSteps = 64

// forget raises the floor, below which nothing is granted, and drops the records
// below it from time to time.
func (l *ledger) forget(floor int64) {
	l.floor = max(l.floor, floor)
	if l.floor-l.swept < l.settings.Window.Past.Milliseconds()/sweepSteps {
		return
	}
	l.swept = l.floor
	for id, known := range l.records {
		if known.Stamp < l.floor && known.confirmed {
			l.keptBytes -= len(known.Kept)
			delete(l.records, id)
		}
	}
	l.keptOrder = slices.DeleteFunc(l.keptOrder, func(id ID) bool {
		known := l.records[id]
		return known == nil || len(known.Kept) == 0
	})
}
