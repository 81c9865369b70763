package agent

import (
	"context"
	"sync"
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// entryTimeout is the time without a report after which the entry counts as stopped.
const entryTimeout = 4 * wire.ReportPeriod

// entryReports holds the latest report of the VM's entry.
type entryReports struct {
	mu         sync.Mutex
	latest     wire.EntryReport
	receivedAt time.Time
}

func (r *entryReports) set(report wire.EntryReport, receivedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latest, r.receivedAt = report, receivedAt
}

// get returns the latest report. ok is false if the entry has stopped or has not
// reported within entryTimeout.
func (r *entryReports) get(now time.Time) (report wire.EntryReport, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest, !r.receivedAt.IsZero() && !r.latest.Stopped && now.Sub(r.receivedAt) < entryTimeout
}

// report handles wire.MethodReport.
func (a *Agent) report(_ context.Context, report wire.EntryReport) (wire.EntryReportAnswer, error) {
	a.entry.set(report, a.now())
	answer := wire.EntryReportAnswer{Incarnation: a.peers.incarnation(), KeyAuthorityTTL: a.authorityRemaining()}
	document, withdrawals := a.state.configuration()
	answer.Withdrawals = len(withdrawals)
	if document != nil {
		answer.Revision = document.Revision
	}
	return answer, nil
}

// restore handles wire.MethodRestore: the entry returns the configuration that its
// restarted agent has lost. The document is verified like any other, and adopted only
// if it is newer than this VM's.
func (a *Agent) restore(ctx context.Context, request wire.RestoreRequest) (wire.RestoreAnswer, error) {
	if request.Stored != nil {
		fetch := func(context.Context, []string) (map[string][]byte, error) { return request.Stored.Chunks, nil }
		err := a.adopt(ctx, request.Stored.Root, fetch, "entry")
		if err != nil && errs.KindOf(err) != errs.Conflict {
			return wire.RestoreAnswer{}, err
		}
		a.state.setConfirmed() // the entry uses it already
		a.events.Add(timeline.Event{Kind: timeline.KindConfigRestored})
	}
	return wire.RestoreAnswer{}, a.acceptWithdrawals(request.Withdrawals)
}

// status handles wire.MethodStatus.
func (a *Agent) status(_ context.Context, request wire.StatusRequest) (wire.VMStatus, error) {
	document, withdrawals := a.state.configuration()
	status := wire.VMStatus{
		VM: a.settings.VM, Incarnation: a.peers.incarnation(), Admin: a.settings.Admin, Ready: a.admin.Ready(),
		Members: len(a.peers.inService()), Rejected: a.adopter.lastRejection.get(),
		StoreAge: statusAge(a.storeAge()), PeersAge: statusAge(a.since(a.peers.lastQuorumContact())), KeyAuthorityTTL: a.authorityRemaining(),
		Withdrawals: len(withdrawals),
	}
	if document != nil {
		status.Revision, status.ChangeID = document.Revision, document.ChangeID()
	}
	report, reporting := a.entry.get(a.now())
	if reporting {
		status.Entry = &report
	}
	status.AgentRefuses, status.EntryRefuses = a.refusesKey(request.Key, document, report, reporting)
	return status, nil
}

// refusesKey reports whether this VM's agent and entry refuse the key. The entry
// counts as refusing it only if its latest report shows that it has a document or a
// snapshot of this agent with the withdrawal.
func (a *Agent) refusesKey(key config.Withdrawal, document *config.Document, report wire.EntryReport, reporting bool) (agent, entry bool) {
	sequence, refused := a.state.refusalSequence(key)
	if !refused {
		return false, false
	}
	if !reporting {
		return true, false
	}
	inDocument := document != nil && document.Covers(key) && report.Revision >= document.Revision
	inSnapshot := report.Agent == a.peers.incarnation() && sequence > 0 && report.Sequence >= sequence
	return true, inDocument || inSnapshot
}

// statusAge converts an age to its form in status messages.
func statusAge(age time.Duration) time.Duration {
	if age >= infiniteAge {
		return statusNever
	}
	return age
}
