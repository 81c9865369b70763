package once

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"lacewingmount.dev/errs"
)

// State is what is known about a protected request.
type State uint8

// States.
const (
	Claimed  State = iota + 1 // granted; it may have run
	Answered                  // run and answered
	Released                  // granted, but never sent
)

// Record is the stored form of one claim.
type Record struct {
	ID       ID
	Stamp    int64 // of the key, milliseconds since the Unix epoch
	Digest   Short // of the request's method, path and body
	Attempt  Short // identifies the one caller that the claim was granted to
	State    State
	Kept     []byte // the answer for duplicates, if it is kept
	Position uint64 // of the log entry that wrote it
}

// logEntry is the value of one log position.
type logEntry struct {
	Position uint64
	Owner    string // the agent that wrote it
	Floor    int64  // keys stamped before it are never granted again, milliseconds
	Records  []Record
}

// segment is the value of a key that holds the records of many positions.
type segment struct {
	Through uint64 // last position that it holds
	Newest  int64  // highest Stamp
	Records []Record
}

func encode(value any) []byte {
	var content bytes.Buffer
	encoder := msgpack.NewEncoder(&content)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		panic(err) // structs of numbers, strings and bytes always encode
	}
	return content.Bytes()
}

func decode(key string, content []byte, value any) error {
	if err := msgpack.Unmarshal(content, value); err != nil {
		return errs.Wrap(err, errs.Invalid, "claims under "+key+" cannot be read", "run the same version on all VMs")
	}
	return nil
}
