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

// entryLostAfter is how long an entry may be silent before it counts as gone.
const entryLostAfter = 4 * wire.ReportPeriod

// entryReports keeps the newest report of the VM's entry.
type entryReports struct {
	mu     sync.Mutex
	latest wire.EntryReport
	at     time.Time
}

func (r *entryReports) set(report wire.EntryReport, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latest, r.at = report, at
}

// get returns the newest report; ok is false if the entry stopped or is silent.
func (r *entryReports) get(now time.Time) (report wire.EntryReport, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest, !r.at.IsZero() && !r.latest.Stopped && now.Sub(r.at) < entryLostAfter
}

// report answers wire.MethodReport.
func (a *Agent) report(_ context.Context, report wire.EntryReport) (wire.EntryReportAnswer, error) {
	a.entry.set(report, a.now())
	answer := wire.EntryReportAnswer{Incarnation: a.peers.incarnation(), KeysFor: a.keysFor()}
	document, withdrawals := a.state.held()
	answer.Withdrawals = len(withdrawals)
	if document != nil {
		answer.Revision = document.Revision
	}
	return answer, nil
}

// handBack answers wire.MethodHandBack. The document is verified like any other,
// and adopted only if it is newer than what this VM has.
func (a *Agent) handBack(ctx context.Context, back wire.HandBack) (wire.HandBackAnswer, error) {
	if back.Stored != nil {
		fetch := func(context.Context, []string) (map[string][]byte, error) { return back.Stored.Chunks, nil }
		err := a.adopt(ctx, back.Stored.Root, fetch, "entry")
		if err != nil && errs.KindOf(err) != errs.Conflict {
			return wire.HandBackAnswer{}, err
		}
		a.state.setTrusted() // the entry serves it already
		a.events.Add(timeline.Event{Kind: timeline.KindConfigHandedBack})
	}
	return wire.HandBackAnswer{}, a.takeWithdrawals(back.Withdrawals)
}

// status answers wire.MethodStatus.
func (a *Agent) status(_ context.Context, request wire.StatusRequest) (wire.VMStatus, error) {
	document, withdrawals := a.state.held()
	status := wire.VMStatus{
		VM: a.settings.VM, Incarnation: a.peers.incarnation(), Admin: a.settings.Admin, Ready: a.admin.Ready(),
		Members: len(a.peers.inService()), Rejected: a.adopter.rejected.get(),
		StoreAge: shown(a.storeAge()), PeersAge: shown(a.since(a.peers.contact())), KeysFor: a.keysFor(),
		Withdrawals: len(withdrawals),
	}
	if document != nil {
		status.Revision, status.ChangeID = document.Revision, document.ChangeID()
	}
	report, heard := a.entry.get(a.now())
	if heard {
		status.Entry = &report
	}
	status.AgentRefuses, status.EntryRefuses = a.refuses(request.Key, document, report, heard)
	return status, nil
}

// refuses reports whether this VM's agent and entry refuse the key.
func (a *Agent) refuses(key config.Withdrawal, document *config.Document, report wire.EntryReport, heard bool) (agent, entry bool) {
	sequence, refused := a.state.refusedFrom(key)
	if !refused {
		return false, false
	}
	if !heard {
		return true, false
	}
	inDocument := document != nil && document.Covers(key) && report.Revision >= document.Revision
	told := report.Agent == a.peers.incarnation() && sequence > 0 && report.Sequence >= sequence
	return true, inDocument || told
}

func shown(age time.Duration) time.Duration {
	if age >= long {
		return never
	}
	return age
}
