package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"lacewingmount.dev/errs"
)

// A section is stored as chunks: its items in a fixed order, one line of JSON
// each. The hash of an item's sort key decides whether a chunk ends after the item
// (content-defined chunking), so that a change of one item changes one chunk and
// leaves the boundaries of the others in place.
const (
	meanChunkItems = 256       // mean number of items per chunk
	maxChunkBytes  = 256 << 10 // a chunk also ends when it reaches this size
)

// item is one line of a chunk. Exactly one field is set, or none if the item is
// of a kind that only newer versions know; such items are skipped.
type item struct {
	Service *Service       `json:"service,omitempty"`
	Route   *Route         `json:"route,omitempty"`
	Account *ClientAccount `json:"account,omitempty"`
	Key     *Key           `json:"key,omitempty"`
}

// sortKey identifies the item within its section and determines its position.
func (i item) sortKey() string {
	switch {
	case i.Service != nil:
		return "1 " + i.Service.id()
	case i.Route != nil:
		return "2 " + i.Route.id()
	case i.Account != nil:
		return "3 " + i.Account.id()
	default:
		return "4 " + i.Key.id()
	}
}

// items returns the items of the section, sorted by sortKey.
func (s *Section) items() []item {
	var items []item
	for i := range s.Services {
		items = append(items, item{Service: &s.Services[i]})
	}
	for i := range s.Routes {
		items = append(items, item{Route: &s.Routes[i]})
	}
	for i := range s.Accounts {
		items = append(items, item{Account: &s.Accounts[i]})
	}
	for i := range s.Keys {
		items = append(items, item{Key: &s.Keys[i]})
	}
	slices.SortStableFunc(items, func(a, b item) int { return strings.Compare(a.sortKey(), b.sortKey()) })
	return items
}

// addChunk decodes a chunk and adds its items to the section.
func (s *Section) addChunk(chunk []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(chunk))
	for decoder.More() {
		var next item
		if err := decoder.Decode(&next); err != nil {
			return errs.Wrap(err, errs.Invalid, "a chunk of the configuration cannot be read", "apply the section again")
		}
		s.addItem(next)
	}
	return nil
}

// encodeChunks returns the chunks of the section, in order.
func (s *Section) encodeChunks() ([][]byte, error) {
	var chunks [][]byte
	var chunk []byte
	for _, next := range s.items() {
		line, err := json.Marshal(next)
		if err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "cannot encode section "+s.Partner, "report this as a defect")
		}
		chunk = append(append(chunk, line...), '\n')
		if xxhash.Sum64String(next.sortKey())%meanChunkItems == 0 || len(chunk) >= maxChunkBytes {
			chunks = append(chunks, chunk)
			chunk = nil
		}
	}
	if len(chunk) > 0 {
		chunks = append(chunks, chunk)
	}
	return chunks, nil
}

// chunkHash returns the SHA-256 hash of a chunk in hexadecimal.
func chunkHash(chunk []byte) string {
	sum := sha256.Sum256(chunk)
	return hex.EncodeToString(sum[:])
}
