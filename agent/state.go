package agent

import (
	"context"
	"sync"
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/wire"
)

// snapshotWait bounds one wait for a newer snapshot.
const snapshotWait = 5 * time.Second

// state holds what the entry's snapshots are made of.
type state struct {
	mu       sync.Mutex
	snapshot wire.Snapshot
	changed  chan struct{}
}

func newState() *state {
	return &state{snapshot: wire.Snapshot{Members: 1}, changed: make(chan struct{})}
}

// setDocument adopts the document if its revision is higher, and reports whether it was.
func (s *state) setDocument(document *config.Document) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.snapshot.Document; current != nil && document.Revision <= current.Revision {
		return false
	}
	s.snapshot.Document = document
	s.publish()
	return true
}

// setMembers changes the number of VMs in service.
func (s *state) setMembers(members int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if members == s.snapshot.Members {
		return
	}
	s.snapshot.Members = members
	s.publish()
}

func (s *state) publish() {
	s.snapshot.Sequence++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) current() (wire.Snapshot, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot, s.changed
}

// snapshot answers wire.MethodSnapshot. It returns the present snapshot at once
// if the entry has another one, and after snapshotWait in any case.
func (a *Agent) snapshot(ctx context.Context, request wire.SnapshotRequest) (wire.Snapshot, error) {
	deadline := time.NewTimer(snapshotWait)
	defer deadline.Stop()
	for {
		current, changed := a.state.current()
		if current.Sequence != request.Have {
			return current, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return current, nil
		case <-ctx.Done():
			return current, ctx.Err()
		}
	}
}
