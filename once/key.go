package once

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"lacewingmount.dev/errs"
)

// Window bounds the timestamps of keys that are accepted.
type Window struct {
	Past  time.Duration // older keys are refused
	Ahead time.Duration // keys further ahead of the owner's clock are refused
}

const uuidVersion = 7

// ParseKey returns the timestamp of a key, which must be a UUIDv7 in the form
// of RFC 9562, section 4.
func ParseKey(key string) (time.Time, error) {
	const textLength = 36 // other forms that the parser knows are refused: one key has one spelling
	id, err := uuid.Parse(key)
	if err != nil || len(key) != textLength || id.Version() != uuidVersion || id.Variant() != uuid.RFC4122 {
		return time.Time{}, errs.New(errs.Invalid, "the key is not a UUIDv7", "make the key as a UUIDv7 when the request is first sent")
	}
	var padded [8]byte
	copy(padded[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(padded[:]))), nil
}

// ID identifies a protected request by its client account, route and key.
type ID [16]byte

// NewID returns the identity of a request. Upper and lower case of key are the same.
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

// BucketOf returns the bucket of an identity among count buckets.
func BucketOf(id ID, count int) int {
	return int(binary.BigEndian.Uint64(id[:8]) % uint64(count))
}

// Short is the start of a SHA-256 sum, or a random value as long.
type Short [8]byte

// NewShort shortens a text to a Short.
func NewShort(text string) Short {
	sum := sha256.Sum256([]byte(text))
	return Short(sum[:len(Short{})])
}
