package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

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
	var have uint64
	for ctx.Err() == nil {
		snapshot, err := e.nextSnapshot(ctx, have)
		if err != nil {
			have = 0 // a restarted agent counts its snapshots anew
			time.Sleep(snapshotRetry)
			continue
		}
		have = snapshot.Sequence
		e.adopt(snapshot)
	}
}

func (e *Entry) nextSnapshot(ctx context.Context, have uint64) (wire.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	var snapshot wire.Snapshot
	err := e.agent.Call(ctx, wire.MethodSnapshot, wire.SnapshotRequest{Have: have}, &snapshot)
	return snapshot, err
}

// adopt compiles the snapshot unless it is older than what is in force.
func (e *Entry) adopt(snapshot wire.Snapshot) {
	previous := e.table.Load()
	if snapshot.Document == nil || (previous != nil && snapshot.Document.Revision < previous.Revision) {
		return
	}
	table := newTable(snapshot, previous)
	e.servers.setTable(table)
	e.table.Store(table)
	if previous == nil {
		e.admin.SetReady(true)
	}
	if previous == nil || previous.Revision != table.Revision {
		e.events.Add(timeline.Event{Kind: timeline.KindConfigured, Revision: table.Revision})
		e.log.Info("configured", zap.Uint64("revision", table.Revision))
	}
}
