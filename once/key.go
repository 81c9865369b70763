package once

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"lacewingmount.dev/errs"
)

// Window bounds the timestamps of accepted keys relative to the owner's clock.
type Window struct {
	MaxAge   time.Duration // keys with an older timestamp are refused
	MaxAhead time.Duration // keys with a timestamp further in the future are refused
}

const uuidVersion = 7

// ParseKey returns the timestamp of a key. The key must be a UUIDv7 in the text
// form of RFC 9562, section 4; otherwise the error is of kind errs.Invalid.
func ParseKey(key string) (time.Time, error) {
	const textLength = 36 // refuses the other text forms that uuid.Parse accepts, so that each key has one spelling
	id, err := uuid.Parse(key)
	if err != nil || len(key) != textLength || id.Version() != uuidVersion || id.Variant() != uuid.RFC4122 {
		return time.Time{}, errs.New(errs.Invalid, "the key is not a UUIDv7", "make the key as a UUIDv7 when the request is first sent")
	}
	var padded [8]byte
	copy(padded[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(padded[:]))), nil
}

// ID identifies a protected request. It is a truncated SHA-256 hash of the client
// account, route and key.
type ID [16]byte

// NewID returns the ID of a request. The case of key does not matter. If key is not
// a UUID, the error is of kind errs.Invalid.
func NewID(account, route, key string) (ID, error) {
	parsed, err := uuid.Parse(key)
	if err != nil {
		return ID{}, errs.Wrap(err, errs.Invalid, "the key is not a UUID", "send a UUIDv7")
	}
	hash := sha256.New()
	for _, part := range []string{account, route} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write([]byte(part))
	}
	_, _ = hash.Write(parsed[:])
	return ID(hash.Sum(nil)[:len(ID{})]), nil
}

// BucketOf returns the index of the bucket, from 0 to count-1, that holds id.
func BucketOf(id ID, count int) int {
	return int(binary.BigEndian.Uint64(id[:8]) % uint64(count))
}

// Hash64 is the first 64 bits of a SHA-256 hash, or a random value of that length.
type Hash64 [8]byte

// NewHash64 returns the first 64 bits of the SHA-256 hash of text.
func NewHash64(text string) Hash64 {
	sum := sha256.Sum256([]byte(text))
	return Hash64(sum[:len(Hash64{})])
}
