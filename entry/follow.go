package entry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/config"
	"lacewingmount.dev/daemon"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

const (
	snapshotTimeout = 8 * time.Second // longer than the agent waits for a change before it replies
	snapshotRetry   = 200 * time.Millisecond
)

// followSnapshots fetches and applies snapshots until ctx ends. While the agent is
// unreachable, the last snapshot stays in use.
func (e *Entry) followSnapshots(ctx context.Context) {
	for ctx.Err() == nil {
		snapshot, err := e.nextSnapshot(ctx)
		if err == nil {
			err = e.apply(snapshot)
		}
		if err != nil {
			daemon.Sleep(ctx, snapshotRetry)
		}
	}
}

func (e *Entry) nextSnapshot(ctx context.Context) (wire.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	current := e.currentSnapshot.Load()
	request := wire.SnapshotRequest{Incarnation: current.Incarnation, Have: current.Sequence}
	var snapshot wire.Snapshot
	err := e.agent.Call(ctx, wire.MethodSnapshot, request, &snapshot)
	return snapshot, err
}

// apply starts to use a snapshot, except for the parts that are older than the current
// snapshot: a restarted agent can neither lower the revision nor remove a withdrawal.
func (e *Entry) apply(snapshot wire.Snapshot) error {
	currentSnapshot := e.currentSnapshot.Load()
	if snapshot.Incarnation == currentSnapshot.Incarnation && snapshot.Sequence == currentSnapshot.Sequence {
		return nil
	}
	next, err := mergeSnapshots(*currentSnapshot, snapshot)
	if err != nil {
		e.log.Error("cannot apply the snapshot from the agent", zap.Error(err))
		return err
	}
	if next.Document != nil {
		previous := e.table.Load()
		table := newTable(next, previous)
		e.servers.setTable(table)
		e.table.Store(table)
		e.endWithdrawn(table)
		if previous == nil || previous.Revision != table.Revision {
			e.events.Add(timeline.Event{Kind: timeline.KindConfigured, Revision: table.Revision})
			e.log.Info("configured", zap.Uint64("revision", table.Revision))
		}
	}
	e.currentSnapshot.Store(&next) // last, so that only what is in use is reported to the agent
	e.requestReport()
	return nil
}

// mergeSnapshots returns the snapshot to use: the agent's, with the parts of the current
// one that are newer. It fails if the configuration cannot be decoded.
func mergeSnapshots(current, snapshot wire.Snapshot) (wire.Snapshot, error) {
	next := snapshot
	if snapshot.Stored != nil {
		document, err := config.Decode(snapshot.Stored.Root, current.Document, snapshot.Stored.Fetch)
		if err != nil {
			return wire.Snapshot{}, err
		}
		next.Document = document
	}
	if next.Document == nil || (current.Document != nil && next.Document.Revision < current.Document.Revision) {
		next.Stored, next.Document = current.Stored, current.Document
	}
	if next.Members == 0 {
		next.Members = current.Members
	}
	for _, withdrawal := range current.Withdrawals {
		covered := next.Document != nil && next.Document.Covers(withdrawal)
		if !covered && !slices.ContainsFunc(next.Withdrawals, withdrawal.Equal) {
			next.Withdrawals = append(slices.Clone(next.Withdrawals), withdrawal)
		}
	}
	return next, nil
}
