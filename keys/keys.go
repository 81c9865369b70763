// Package keys creates and hashes client keys and removes them from requests.
// Only hashes are stored, logged or passed between processes.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"strings"
)

// Header is the request header in which a caller sends its key.
const Header = "X-Client-Key"

// AccountHeader is the request header that passes the client account to the backend server.
const AccountHeader = "X-Client-Account"

const keyBytes = 32 // random bytes in a key

// New returns a new random key in hexadecimal.
func New() string {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw) // never fails; see crypto/rand
	return hex.EncodeToString(raw)
}

// Hash returns the SHA-256 hash of a key in hexadecimal, the form in which it is stored.
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

// minSearchedBytes is the shortest key, in bytes, that is searched for outside Header.
const minSearchedBytes = 16

// AppearsOutsideHeader reports whether a key sent in Header also appears in the request
// target or in another header, where it would reach the backend server. Keys shorter
// than minSearchedBytes are not searched for.
func AppearsOutsideHeader(request *http.Request) bool {
	for name, values := range request.Header {
		if !strings.EqualFold(name, Header) {
			continue
		}
		for _, key := range values {
			if len(key) >= minSearchedBytes && appearsOutsideHeader(request, key) {
				return true
			}
		}
	}
	return false
}

func appearsOutsideHeader(request *http.Request, key string) bool {
	target := request.URL.RequestURI()
	if decoded, err := url.QueryUnescape(target); err == nil && strings.Contains(decoded, key) {
		return true
	}
	if strings.Contains(target, key) {
		return true
	}
	for name, values := range request.Header {
		if strings.Contains(name, key) {
			return true
		}
		for _, value := range values {
			if !strings.EqualFold(name, Header) && strings.Contains(value, key) {
				return true
			}
		}
	}
	return false
}
