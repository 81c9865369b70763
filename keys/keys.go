// Package keys creates and hashes client keys and removes them from requests.
// Only hashes are stored, logged or passed between processes.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
)

// Header is the request header in which a caller shows its key.
const Header = "X-Client-Key"

// AccountHeader is the header that tells the backend server the client account.
const AccountHeader = "X-Client-Account"

const keyBytes = 32

// New returns a random key in text form.
func New() string {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw) // never fails; see crypto/rand
	return hex.EncodeToString(raw)
}

// Hash returns the form in which a key is stored.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// FromHeader returns the key of a request. ok is false unless there is exactly one.
func FromHeader(header http.Header) (key string, ok bool) {
	values := header.Values(Header)
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

// Strip removes every copy of the key and any identity header from a header or trailer.
func Strip(header http.Header) {
	for name := range header {
		if strings.EqualFold(name, Header) || strings.EqualFold(name, AccountHeader) {
			delete(header, name)
		}
	}
}
