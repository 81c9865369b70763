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

// A section is stored as chunks: its items in a fixed order, one JSON line each,
// cut where the hash of an item's name says so. A change of one item changes one
// chunk, whatever happens before or after it.
const (
	chunkItems    = 256       // items of a chunk on average
	maxChunkBytes = 256 << 10 // a longer chunk is cut anyway
)

// item is one line of a chunk. Kinds that this version does not know are skipped.
type item struct {
	Service *Service       `json:"service,omitempty"`
	Route   *Route         `json:"route,omitempty"`
	Account *ClientAccount `json:"account,omitempty"`
	Key     *Key           `json:"key,omitempty"`
}

// name orders the items of a section.
func (i item) name() string {
	switch {
	case i.Service != nil:
		return "1 " + i.Service.key()
	case i.Route != nil:
		return "2 " + i.Route.key()
	case i.Account != nil:
		return "3 " + i.Account.key()
	default:
		return "4 " + i.Key.key()
	}
}

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
	slices.SortStableFunc(items, func(a, b item) int { return strings.Compare(a.name(), b.name()) })
	return items
}

// add puts the items of a chunk into the section.
func (s *Section) add(chunk []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(chunk))
	for decoder.More() {
		var next item
		if err := decoder.Decode(&next); err != nil {
			return errs.Wrap(err, errs.Invalid, "a chunk of the configuration cannot be read", "apply the section again")
		}
		s.put(next)
	}
	return nil
}

// split returns the chunks of the section, in order.
func (s *Section) split() ([][]byte, error) {
	var chunks [][]byte
	var chunk []byte
	for _, next := range s.items() {
		line, err := json.Marshal(next)
		if err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "cannot encode section "+s.Partner, "report this as a defect")
		}
		chunk = append(append(chunk, line...), '\n')
		if xxhash.Sum64String(next.name())%chunkItems == 0 || len(chunk) >= maxChunkBytes {
			chunks = append(chunks, chunk)
			chunk = nil
		}
	}
	if len(chunk) > 0 {
		chunks = append(chunks, chunk)
	}
	return chunks, nil
}

func hashOf(chunk []byte) string {
	sum := sha256.Sum256(chunk)
	return hex.EncodeToString(sum[:])
}
