package once

import (
	"fmt"
	"slices"
	"strings"
)

// Prefix is the prefix of all store keys of this package.
const Prefix = "claims/"

// OpKind is a kind of store call.
type OpKind string

// Kinds of store calls.
const (
	OpList   OpKind = "list"
	OpGet    OpKind = "get"
	OpSwap   OpKind = "swap"
	OpDelete OpKind = "delete"
)

// opPurpose says why a store call is made, which decides how its result is handled.
type opPurpose int

const (
	listLog opPurpose = iota
	writeEntry
	readBack
	writeSegment
	deleteSegment
)

// Op is a store call that the caller of Bucket.Next must perform.
type Op struct {
	Kind   OpKind
	Key    string // for OpList the prefix of the keys
	Value  []byte
	Expect uint64 // expected version for OpSwap and OpDelete; 0 means that the key must not exist

	purpose  opPurpose
	position uint64
	floor    int64
	newest   int64
}

// StoredEntry is a key of the store with its value and version.
type StoredEntry struct {
	Key     string
	Value   []byte
	Version uint64
}

// Result is the result of an Op. A key that does not exist has version 0.
type Result struct {
	Version  uint64        // for OpGet and OpSwap
	Value    []byte        // for OpGet
	Entries  []StoredEntry // for OpList
	Conflict bool          // the key did not have the expected version
	Failed   bool          // the store did not answer; a write may have been applied
}

// log is what one agent knows of a bucket's log in the store.
type log struct {
	bucket           string
	settings         Settings
	loaded           bool
	last             uint64   // last position known to be written
	versions         []uint64 // of the store keys of the ring, by position modulo ring size
	compactedThrough uint64   // last position whose records are in a segment
	uncompacted      []Record // of the positions after compactedThrough
	segments         []segmentInfo
	unresolved       *Op // a write that may or may not have been applied
	repeat           *Op // a write that was read back as not applied and must be repeated unchanged
}

type segmentInfo struct {
	key     string
	version uint64
	newest  int64
}

func newLog(bucket string, settings Settings) log {
	return log{bucket: bucket, settings: settings, versions: make([]uint64, settings.RingSize)}
}

func (l *log) prefix() string { return Prefix + l.bucket + "/" }

func (l *log) positionKey(position uint64) string {
	return fmt.Sprintf("%sposition-%02d", l.prefix(), position%uint64(l.settings.RingSize))
}

func (l *log) segmentKey(through uint64) string {
	return fmt.Sprintf("%ssegment-%016x", l.prefix(), through)
}

func (l *log) listOp() *Op { return &Op{Kind: OpList, Key: l.prefix(), purpose: listLog} }

// entryOp returns the write of the next position, without its value.
func (l *log) entryOp() *Op {
	position := l.last + 1
	return &Op{
		Kind: OpSwap, Key: l.positionKey(position), Expect: l.versions[position%uint64(l.settings.RingSize)],
		purpose: writeEntry, position: position,
	}
}

// readBackOp returns the read of the position whose write is unresolved.
func (l *log) readBackOp() *Op { return &Op{Kind: OpGet, Key: l.unresolved.Key, purpose: readBack} }

// load rebuilds the log and the claims from the bucket's store keys.
func (l *log) load(entries []StoredEntry, claims *claims) error {
	var positions []logEntry
	for _, stored := range entries {
		if strings.HasPrefix(stored.Key, l.prefix()+"segment-") {
			if err := l.loadSegment(stored, claims); err != nil {
				return err
			}
			continue
		}
		var entry logEntry
		if err := decode(stored.Key, stored.Value, &entry); err != nil {
			return err
		}
		l.versions[entry.Position%uint64(l.settings.RingSize)] = stored.Version
		positions = append(positions, entry)
	}
	slices.SortFunc(positions, func(a, b logEntry) int { return int(int64(a.Position) - int64(b.Position)) })
	for _, entry := range positions {
		l.last = entry.Position
		claims.floor = max(claims.floor, entry.Floor)
		for _, record := range entry.Records {
			claims.apply(record)
		}
		if entry.Position > l.compactedThrough {
			l.uncompacted = append(l.uncompacted, entry.Records...)
		}
	}
	claims.raiseFloor(claims.floor)
	l.loaded = true
	return nil
}

func (l *log) loadSegment(stored StoredEntry, claims *claims) error {
	var content segment
	if err := decode(stored.Key, stored.Value, &content); err != nil {
		return err
	}
	for _, record := range content.Records {
		claims.apply(record)
	}
	l.compactedThrough = max(l.compactedThrough, content.Through)
	l.segments = append(l.segments, segmentInfo{key: stored.Key, version: stored.Version, newest: content.Newest})
	return nil
}

// entryWritten records that the write of a position is confirmed.
func (l *log) entryWritten(op *Op, version uint64, records []Record) {
	l.last = op.position
	l.versions[op.position%uint64(l.settings.RingSize)] = version
	l.uncompacted = append(l.uncompacted, records...)
}

// ringFull reports whether the next position would overwrite records that no segment holds.
func (l *log) ringFull() bool { return l.last-l.compactedThrough >= uint64(l.settings.RingSize)-1 }

func (l *log) compactionDue() bool {
	return l.last-l.compactedThrough >= uint64(l.settings.CompactAfter)
}

// compactOp returns the write of a segment with the latest record of each claim
// that was written since the previous segment.
func (l *log) compactOp() *Op {
	latest := map[ID]int{}
	content := segment{Through: l.last}
	for _, record := range l.uncompacted {
		content.Newest = max(content.Newest, record.Timestamp)
		if at, seen := latest[record.ID]; seen {
			content.Records[at] = record
			continue
		}
		latest[record.ID] = len(content.Records)
		content.Records = append(content.Records, record)
	}
	return &Op{
		Kind: OpSwap, Key: l.segmentKey(l.last), Value: encode(content),
		purpose: writeSegment, position: l.last, newest: content.Newest,
	}
}

func (l *log) segmentWritten(op *Op, result Result) {
	l.compactedThrough, l.uncompacted = op.position, nil
	l.segments = append(l.segments, segmentInfo{key: op.Key, version: result.Version, newest: op.newest})
}

// expiredSegment returns a segment whose claims are all older than the floor, or nil.
func (l *log) expiredSegment(floor int64) *segmentInfo {
	for i := range l.segments {
		if l.segments[i].newest < floor {
			return &l.segments[i]
		}
	}
	return nil
}

// deleteOp returns the deletion of an expired segment, or the read of its version if
// that is not known. expiredSegment(floor) must not be nil.
func (l *log) deleteOp(floor int64) *Op {
	old := l.expiredSegment(floor)
	if old.version == 0 {
		return &Op{Kind: OpGet, Key: old.key, purpose: deleteSegment}
	}
	return &Op{Kind: OpDelete, Key: old.key, Expect: old.version, purpose: deleteSegment}
}

// segmentDeleted handles the result of deleteOp.
func (l *log) segmentDeleted(op *Op, result Result) {
	if op.Kind == OpGet && result.Version != 0 {
		for i := range l.segments {
			if l.segments[i].key == op.Key {
				l.segments[i].version = result.Version
			}
		}
		return
	}
	l.segments = slices.DeleteFunc(l.segments, func(s segmentInfo) bool { return s.key == op.Key })
}
