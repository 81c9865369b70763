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
	handBackTimeout = 5 * time.Second
	authorityPeriod = 100 * time.Millisecond // between two checks of readiness
)

// authority is how long keyed routes may be served, as the agent said last.
type authority struct {
	until atomic.Pointer[time.Time]
}

// extend takes over the agent's answer to a report that was sent at the given time.
func (a *authority) extend(sent time.Time, span time.Duration) {
	until := sent.Add(span)
	if known := a.until.Load(); known == nil || until.After(*known) {
		a.until.Store(&until)
	}
}

// holds reports whether keyed routes may be served.
func (a *authority) holds(now time.Time) bool {
	until := a.until.Load()
	return until != nil && now.Before(*until)
}

// reportToAgent sends heartbeats until ctx ends.
func (e *Entry) reportToAgent(ctx context.Context) {
	ticker := time.NewTicker(wire.ReportPeriod)
	defer ticker.Stop()
	for {
		e.report(ctx, false)
		select {
		case <-ticker.C:
		case <-e.reportSoon:
		case <-ctx.Done():
			return
		}
	}
}

// reportNow asks for a heartbeat before its time.
func (e *Entry) reportNow() {
	select {
	case e.reportSoon <- struct{}{}:
	default:
	}
}

// report sends one heartbeat and takes over the agent's answer.
func (e *Entry) report(ctx context.Context, stopped bool) {
	limited, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	held := e.held.Load()
	sent := time.Now()
	var answer wire.EntryReportAnswer
	if err := e.agent.Call(limited, wire.MethodReport, e.newReport(held, stopped), &answer); err != nil {
		return
	}
	e.authority.extend(sent, answer.KeyAuthorityTTL)
	e.updateReady()
	if held.Document != nil && (answer.Revision < held.Document.Revision || answer.Withdrawals < len(held.Withdrawals)) {
		e.handBack(ctx, held)
	}
}

func (e *Entry) newReport(held *wire.Snapshot, stopped bool) wire.EntryReport {
	report := wire.EntryReport{
		Admin: e.settings.Admin, Agent: held.Incarnation, Sequence: held.Sequence, Withdrawals: len(held.Withdrawals),
		InFlight: e.inFlight.count(), Ready: e.admin.Ready(), Stopping: e.stopping.Load(), Stopped: stopped,
	}
	if held.Document != nil {
		report.Revision, report.ChangeID = held.Document.Revision, held.Document.ChangeID()
	}
	return report
}

// handBack gives a restarted agent what it lost.
func (e *Entry) handBack(ctx context.Context, held *wire.Snapshot) {
	ctx, cancel := context.WithTimeout(ctx, handBackTimeout)
	defer cancel()
	back := wire.RestoreRequest{Stored: held.Stored, Withdrawals: held.Withdrawals}
	if err := e.agent.Call(ctx, wire.MethodRestore, back, nil); err != nil {
		e.log.Warn("the agent did not take the configuration back", zap.Error(err))
		return
	}
	e.log.Info("configuration handed back", zap.Uint64("revision", held.Document.Revision))
}

// watchAuthority keeps the readiness in step with the authority until ctx ends.
func (e *Entry) watchAuthority(ctx context.Context) {
	for ctx.Err() == nil {
		e.updateReady()
		daemon.Sleep(ctx, authorityPeriod)
	}
}

func (e *Entry) updateReady() {
	ready := e.table.Load() != nil && e.authority.holds(time.Now()) && !e.stopping.Load()
	if e.admin.Ready() == ready {
		return
	}
	e.admin.SetReady(ready)
	e.log.Info("readiness changed", zap.Bool("ready", ready))
}
