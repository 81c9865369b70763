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

// snapshotWait bounds one wait for a newer snapshot.
const snapshotWait = 5 * time.Second

// state holds what the entry's snapshots are made of.
type state struct {
	mu          sync.Mutex
	incarnation uint64
	sequence    uint64
	members     int
	trusted     bool // the document may be given to the entry
	document    *config.Document
	stored      config.Stored // the document as it is passed on
	withdrawals []config.Withdrawal
	withdrawnIn map[string]uint64 // first sequence with the withdrawal, by partner and hash
	changed     chan struct{}
}

func newState(incarnation uint64) *state {
	return &state{incarnation: incarnation, withdrawnIn: map[string]uint64{}, changed: make(chan struct{})}
}

// setDocument adopts a verified document if its revision is higher, and reports whether it was.
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

// addWithdrawals takes in verified withdrawals and returns those that are new.
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
		s.withdrawnIn[withdrawal.Partner+" "+withdrawal.Hash] = s.sequence + 1
	}
	if len(added) > 0 {
		s.withdrawals = known
		s.publish()
	}
	return added
}

// setMembers changes the number of VMs in service.
func (s *state) setMembers(members int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if members == s.members {
		return
	}
	s.members = members
	s.publish()
}

// setTrusted lets the document go to the entry.
func (s *state) setTrusted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trusted {
		return
	}
	s.trusted = true
	s.publish()
}

func (s *state) publish() {
	s.sequence++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) current() (wire.Snapshot, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := wire.Snapshot{Incarnation: s.incarnation, Sequence: s.sequence, Members: s.members, Withdrawals: s.withdrawals}
	if s.trusted && s.document != nil {
		snapshot.Stored, snapshot.Document = &s.stored, s.document
	}
	return snapshot, s.changed
}

// held returns the document, nil if there is none yet, and the withdrawals besides its own.
func (s *state) held() (*config.Document, []config.Withdrawal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document, s.withdrawals
}

// refusedFrom returns the first sequence whose snapshot refuses the key; ok is
// false if the key is not refused.
func (s *state) refusedFrom(key config.Withdrawal) (sequence uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document != nil && s.document.Covers(key) {
		return s.withdrawnIn[key.Partner+" "+key.Hash], true
	}
	if slices.ContainsFunc(s.withdrawals, key.Equal) {
		return s.withdrawnIn[key.Partner+" "+key.Hash], true
	}
	return 0, false
}

// digest sums up the configuration for an exchange.
func (s *state) digest() wire.ConfigDigest {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := wire.ConfigDigest{Confirmed: s.trusted, Withdrawals: hashWithdrawals(s.withdrawals)}
	if s.document != nil {
		digest.Revision = s.document.Revision
	}
	return digest
}

// hashWithdrawals returns a number that is equal for equal sets, and 0 for none.
func hashWithdrawals(withdrawals []config.Withdrawal) uint64 {
	var sum uint64
	for _, withdrawal := range withdrawals {
		sum += xxhash.Sum64String(withdrawal.Partner + " " + withdrawal.Hash)
	}
	return sum
}

// snapshot answers wire.MethodSnapshot. It returns the present snapshot at once
// if the entry has another one, and after snapshotWait in any case.
func (a *Agent) snapshot(ctx context.Context, request wire.SnapshotRequest) (wire.Snapshot, error) {
	deadline := time.NewTimer(snapshotWait)
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
