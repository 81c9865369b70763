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
	snapshotTimeout = 8 * time.Second // longer than the agent's own wait
	snapshotRetry   = 200 * time.Millisecond
)

// followSnapshots keeps the table up to date until ctx ends. While the agent is
// gone, the last table stays in use.
func (e *Entry) followSnapshots(ctx context.Context) {
	for ctx.Err() == nil {
		snapshot, err := e.nextSnapshot(ctx)
		if err == nil {
			err = e.adopt(snapshot)
		}
		if err != nil {
			daemon.Sleep(ctx, snapshotRetry)
		}
	}
}

func (e *Entry) nextSnapshot(ctx context.Context) (wire.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	have := e.held.Load()
	request := wire.SnapshotRequest{Incarnation: have.Incarnation, Have: have.Sequence}
	var snapshot wire.Snapshot
	err := e.agent.Call(ctx, wire.MethodSnapshot, request, &snapshot)
	return snapshot, err
}

// adopt puts a snapshot in force. Its revision never falls and no withdrawal is
// forgotten, whatever a restarted agent says.
func (e *Entry) adopt(snapshot wire.Snapshot) error {
	held := e.held.Load()
	if snapshot.Incarnation == held.Incarnation && snapshot.Sequence == held.Sequence {
		return nil
	}
	next, err := merge(*held, snapshot)
	if err != nil {
		e.log.Error("snapshot refused", zap.Error(err))
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
	e.held.Store(&next) // last, so that the agent is told of nothing that is not in force
	e.reportNow()
	return nil
}

// merge returns the snapshot to put in force: the agent's, with whatever of the
// held one is newer.
func merge(held, snapshot wire.Snapshot) (wire.Snapshot, error) {
	next := snapshot
	if snapshot.Stored != nil {
		document, err := config.Decode(snapshot.Stored.Root, held.Document, snapshot.Stored.Fetch)
		if err != nil {
			return wire.Snapshot{}, err
		}
		next.Document = document
	}
	if next.Document == nil || (held.Document != nil && next.Document.Revision < held.Document.Revision) {
		next.Stored, next.Document = held.Stored, held.Document
	}
	if next.Members == 0 {
		next.Members = held.Members
	}
	for _, withdrawal := range held.Withdrawals {
		covered := next.Document != nil && next.Document.Covers(withdrawal)
		if !covered && !slices.ContainsFunc(next.Withdrawals, withdrawal.Equal) {
			next.Withdrawals = append(slices.Clone(next.Withdrawals), withdrawal)
		}
	}
	return next, nil
}
