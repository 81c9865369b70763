package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingmount.dev/config"
	"lacewingmount.dev/wire"
)

// snapshotTimeout is the maximum time that a snapshot request waits for a change.
const snapshotTimeout = 5 * time.Second

// state holds the data of the snapshots that the entry receives.
type state struct {
	mu                  sync.Mutex
	incarnation         uint64
	sequence            uint64
	members             int
	confirmed           bool // the document may be given to the entry
	document            *config.Document
	stored              config.Stored // the encoded document
	withdrawals         []config.Withdrawal
	withdrawalSequences map[string]uint64 // first sequence with the withdrawal, by partner and hash
	changed             chan struct{}
}

func newState(incarnation uint64) *state {
	return &state{incarnation: incarnation, withdrawalSequences: map[string]uint64{}, changed: make(chan struct{})}
}

// setDocument replaces the document with a verified one if that has a higher revision,
// and reports whether it did.
func (s *state) setDocument(document *config.Document, stored config.Stored) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document != nil && document.Revision <= s.document.Revision {
		return false
	}
	s.document, s.stored = document, stored
	s.withdrawals = slices.DeleteFunc(slices.Clone(s.withdrawals), document.Covers)
	s.publish()
	return true
}

// addWithdrawals adds verified withdrawals and returns those that were not known.
func (s *state) addWithdrawals(withdrawals []config.Withdrawal) []config.Withdrawal {
	s.mu.Lock()
	defer s.mu.Unlock()
	var added []config.Withdrawal
	known := slices.Clone(s.withdrawals)
	for _, withdrawal := range withdrawals {
		covered := s.document != nil && s.document.Covers(withdrawal)
		if covered || slices.ContainsFunc(known, withdrawal.Equal) {
			continue
		}
		known = append(known, withdrawal)
		added = append(added, withdrawal)
		s.withdrawalSequences[withdrawal.Partner+" "+withdrawal.Hash] = s.sequence + 1
	}
	if len(added) > 0 {
		s.withdrawals = known
		s.publish()
	}
	return added
}

// setMembers sets the number of VMs in service.
func (s *state) setMembers(members int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if members == s.members {
		return
	}
	s.members = members
	s.publish()
}

// setConfirmed allows the document to be given to the entry.
func (s *state) setConfirmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmed {
		return
	}
	s.confirmed = true
	s.publish()
}

// publish starts a new snapshot sequence and wakes the waiting requests. The caller
// holds the lock.
func (s *state) publish() {
	s.sequence++
	close(s.changed)
	s.changed = make(chan struct{})
}

// current returns the current snapshot and a channel that is closed when it changes.
func (s *state) current() (wire.Snapshot, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := wire.Snapshot{Incarnation: s.incarnation, Sequence: s.sequence, Members: s.members, Withdrawals: s.withdrawals}
	if s.confirmed && s.document != nil {
		snapshot.Stored, snapshot.Document = &s.stored, s.document
	}
	return snapshot, s.changed
}

// configuration returns the document, or nil if there is none yet, and the withdrawals
// that the document does not contain.
func (s *state) configuration() (*config.Document, []config.Withdrawal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document, s.withdrawals
}

// refusalSequence returns the first sequence whose snapshot refuses the key, or 0 if
// the key was first refused by a document. ok is false if the key is not refused.
func (s *state) refusalSequence(key config.Withdrawal) (sequence uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document != nil && s.document.Covers(key) {
		return s.withdrawalSequences[key.Partner+" "+key.Hash], true
	}
	if slices.ContainsFunc(s.withdrawals, key.Equal) {
		return s.withdrawalSequences[key.Partner+" "+key.Hash], true
	}
	return 0, false
}

// digest summarizes the configuration for an exchange.
func (s *state) digest() wire.ConfigDigest {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := wire.ConfigDigest{Confirmed: s.confirmed, Withdrawals: hashWithdrawals(s.withdrawals)}
	if s.document != nil {
		digest.Revision = s.document.Revision
	}
	return digest
}

// hashWithdrawals returns a hash that does not depend on the order; it is 0 for none.
func hashWithdrawals(withdrawals []config.Withdrawal) uint64 {
	var sum uint64
	for _, withdrawal := range withdrawals {
		sum += xxhash.Sum64String(withdrawal.Partner + " " + withdrawal.Hash)
	}
	return sum
}

// snapshot handles wire.MethodSnapshot. It returns the current snapshot as soon as it
// differs from the entry's. After snapshotTimeout it returns only the unchanged sequence.
func (a *Agent) snapshot(ctx context.Context, request wire.SnapshotRequest) (wire.Snapshot, error) {
	deadline := time.NewTimer(snapshotTimeout)
	defer deadline.Stop()
	for {
		current, changed := a.state.current()
		if current.Sequence != request.Have || current.Incarnation != request.Incarnation {
			return current, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return wire.Snapshot{Incarnation: current.Incarnation, Sequence: current.Sequence}, nil
		case <-ctx.Done():
			return current, ctx.Err()
		}
	}
}
