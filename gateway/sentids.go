package gateway

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSendings is the number of requests after which a connection to a server is not reused,
// so that the memory of their IDs is bounded (8 bytes each).
const maxSendings = 256

// sentIDs remembers which requests were sent on a connection. A server may send a copy of
// an answer at any later time, and the ID does not tell which sending of a request an answer
// belongs to. A request is therefore sent at most once on a connection.
type sentIDs struct {
	hashes []uint64
}

// accepts reports whether a request may be sent. Answers to requests without an ID cannot be
// told from any other answer without one, so such a request must be the first.
func (s *sentIDs) accepts(id string) bool {
	if id == "" {
		return len(s.hashes) == 0
	}
	return !slices.Contains(s.hashes, xxhash.Sum64String(id))
}

func (s *sentIDs) add(id string) { s.hashes = append(s.hashes, xxhash.Sum64String(id)) }

// full reports whether no further request may be sent.
func (s *sentIDs) full() bool { return len(s.hashes) >= maxSendings }
