package entry

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/wire"
)

const (
	reportTimeout   = 400 * time.Millisecond
	restoreTimeout  = 5 * time.Second
	readinessPeriod = 100 * time.Millisecond // between two updates of the readiness
)

// authority is the time until which routes that need a key may be served, according to
// the agent.
type authority struct {
	until atomic.Pointer[time.Time]
}

// extend sets the end of the authority to ttl after the time at which the report was
// sent, unless it already ends later.
func (a *authority) extend(sent time.Time, ttl time.Duration) {
	until := sent.Add(ttl)
	if known := a.until.Load(); known == nil || until.After(*known) {
		a.until.Store(&until)
	}
}

// valid reports whether routes that need a key may be served.
func (a *authority) valid(now time.Time) bool {
	until := a.until.Load()
	return until != nil && now.Before(*until)
}

// reportToAgent sends a heartbeat to the agent in every wire.ReportPeriod until ctx ends.
func (e *Entry) reportToAgent(ctx context.Context) {
	ticker := time.NewTicker(wire.ReportPeriod)
	defer ticker.Stop()
	for {
		e.report(ctx, false)
		select {
		case <-ticker.C:
		case <-e.reportRequested:
		case <-ctx.Done():
			return
		}
	}
}

// requestReport causes a heartbeat to be sent immediately.
func (e *Entry) requestReport() {
	select {
	case e.reportRequested <- struct{}{}:
	default:
	}
}

// report sends one heartbeat and applies the agent's reply. If the agent has an older
// configuration or fewer withdrawals, the entry sends it its own.
func (e *Entry) report(ctx context.Context, stopped bool) {
	limited, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	currentSnapshot := e.currentSnapshot.Load()
	sent := time.Now()
	var reply wire.EntryReportAnswer
	if err := e.agent.Call(limited, wire.MethodReport, e.newReport(currentSnapshot, stopped), &reply); err != nil {
		return
	}
	e.authority.extend(sent, reply.KeyAuthorityTTL)
	e.updateReady()
	if currentSnapshot.Document != nil && (reply.Revision < currentSnapshot.Document.Revision || reply.Withdrawals < len(currentSnapshot.Withdrawals)) {
		e.restoreAgent(ctx, currentSnapshot)
	}
}

func (e *Entry) newReport(currentSnapshot *wire.Snapshot, stopped bool) wire.EntryReport {
	report := wire.EntryReport{
		Admin: e.settings.Admin, Agent: currentSnapshot.Incarnation, Sequence: currentSnapshot.Sequence, Withdrawals: len(currentSnapshot.Withdrawals),
		InFlight: e.inFlight.count(), Ready: e.admin.Ready(), Stopping: e.stopping.Load(), Stopped: stopped,
	}
	if currentSnapshot.Document != nil {
		report.Revision, report.ChangeID = currentSnapshot.Document.Revision, currentSnapshot.Document.ChangeID()
	}
	return report
}

// restoreAgent sends the configuration and the withdrawals to an agent that lost them in
// a restart.
func (e *Entry) restoreAgent(ctx context.Context, currentSnapshot *wire.Snapshot) {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	request := wire.RestoreRequest{Stored: currentSnapshot.Stored, Withdrawals: currentSnapshot.Withdrawals}
	if err := e.agent.Call(ctx, wire.MethodRestore, request, nil); err != nil {
		e.log.Warn("cannot restore the configuration of the restarted agent", zap.Error(err))
		return
	}
	e.log.Info("restored the configuration of the restarted agent", zap.Uint64("revision", currentSnapshot.Document.Revision))
}

// watchReadiness updates the readiness every readinessPeriod until ctx ends, because the
// authority can expire.
func (e *Entry) watchReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		e.updateReady()
		daemon.Sleep(ctx, readinessPeriod)
	}
}

func (e *Entry) updateReady() {
	ready := e.table.Load() != nil && e.authority.valid(time.Now()) && !e.stopping.Load()
	if e.admin.Ready() == ready {
		return
	}
	e.admin.SetReady(ready)
	e.log.Info("readiness changed", zap.Bool("ready", ready))
}
