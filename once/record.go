package once

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"lacewingmount.dev/errs"
)

// State is the recorded progress of a protected request.
type State uint8

// States of a protected request.
const (
	Claimed  State = iota + 1 // granted; the request may have been sent
	Answered                  // sent and answered
	Released                  // given up without being sent; another attempt may be granted
)

// Record is the stored form of one claim. It is encoded as an array, so the order of
// its fields must not change.
type Record struct {
	ID        ID
	Timestamp int64  // timestamp of the key, milliseconds since the Unix epoch
	Digest    Hash64 // of the request's method, path and body
	Attempt   Hash64 // identifies the only attempt that the claim is granted to
	State     State
	Kept      []byte // the answer to return for duplicates; empty if it is not stored
	Position  uint64 // log position that wrote the record
}

// logEntry is the value of one log position, encoded as an array.
type logEntry struct {
	Position uint64
	Owner    string // the agent that wrote it
	Floor    int64  // keys with a timestamp before it are never granted again; milliseconds since the Unix epoch
	Records  []Record
}

// segment is the value of a store key that holds the compacted records of many log
// positions, encoded as an array.
type segment struct {
	Through uint64 // last log position that it covers
	Newest  int64  // highest timestamp of its records, milliseconds since the Unix epoch
	Records []Record
}

func encode(value any) []byte {
	var content bytes.Buffer
	encoder := msgpack.NewEncoder(&content)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		panic(err) // cannot fail: the structs hold only numbers, strings and bytes
	}
	return content.Bytes()
}

// decode rejects unknown fields: package msgpack skips their values recursively, and one that
// is nested deeply enough overflows the stack.
func decode(key string, content []byte, value any) error {
	decoder := msgpack.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields(true)
	if err := decoder.Decode(value); err != nil {
		return errs.Wrap(err, errs.Invalid, "the claims stored under "+key+" cannot be decoded", "run the same version on all VMs")
	}
	return nil
}
