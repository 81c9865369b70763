package health

import (
	"time"

	"lacewingmount.dev/balance"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// View is one VM's view of the servers of a service. It is not safe for
// concurrent use.
type View struct {
	vm, zone    string
	incarnation int64
	sequence    uint64
	service     Service
	limits      Limits
	list        uint32
	members     int
	servers     []*viewed
	path        *pool // tests of the VM's own paths

	verdict  verdictID
	expires  time.Time
	stall    int
	full     bool // the next report names all counts
	urgent   bool // there is news of trouble
	sent     time.Time
	awaiting bool // the answer to a report

	standings  []Standing
	standingAt time.Time
	dirty      bool
	events     []timeline.Event
}

// verdictID orders the verdicts that a view takes over.
type verdictID struct {
	home    string
	started int64
	version uint64
}

// Limits are what one server takes.
type Limits struct {
	Slots       int // requests that it runs at once
	Connections int // connections from all VMs
}

// NewView returns the view of the named VM. started is the start of its entry.
func NewView(vm, zone string, started time.Time) *View {
	return &View{vm: vm, zone: zone, incarnation: started.UnixNano(), members: 1, stall: stallHighest, full: true}
}

// SetService takes over a changed configuration and the number of VMs in
// service. Servers that stay keep their counts and verdicts.
func (v *View) SetService(now time.Time, service Service, limits Limits, members int) {
	v.members, v.limits, v.dirty = max(members, 1), limits, true
	list := ListID(service.Servers)
	unchanged := v.path != nil && list == v.list
	v.service = service
	if !unchanged {
		v.setServers(now, list)
	}
	v.chooseSubset()
}

func (v *View) setServers(now time.Time, list uint32) {
	known := map[string]*viewed{}
	for _, s := range v.servers {
		known[s.Name] = s
	}
	first := v.path == nil
	v.servers = nil
	for _, named := range v.service.Servers {
		s := known[named.Name]
		if s == nil {
			s = &viewed{Server: named}
			if !first {
				s.coldUntil = now.Add(slowStart)
			}
		}
		v.servers = append(v.servers, s)
	}
	v.list, v.full = list, true
	v.path = newPool(len(v.servers), falseAvoidances)
}

func (v *View) chooseSubset() {
	names := make([]string, len(v.servers))
	for i, s := range v.servers {
		names[i] = s.Name
	}
	for i, used := range balance.Subset(v.vm, names, v.limits.Connections, v.members) {
		v.servers[i].used = used
	}
}

// Advance counts stalled requests, judges the VM's own paths and returns what
// changed since the last call.
func (v *View) Advance(now time.Time) []timeline.Event {
	v.countStalled(now)
	v.judgePaths(now)
	events := v.events
	v.events = nil
	return events
}

// Due reports whether a report should be sent now.
func (v *View) Due(now time.Time) bool {
	if v.awaiting {
		return false
	}
	period := ReportPeriod
	if v.urgent {
		period = UrgentPeriod
	}
	return now.Sub(v.sent) >= period
}

// Report returns the report to send. Accept or Lost must follow.
func (v *View) Report(now time.Time) *wire.HealthReport {
	v.sequence++
	v.sent, v.awaiting, v.urgent = now, true, false
	report := &wire.HealthReport{
		Service: v.service.Name, VM: v.vm, Zone: v.zone, Incarnation: v.incarnation,
		Sequence: v.sequence, List: v.list, Full: v.full,
	}
	for i, s := range v.servers {
		if v.full {
			s.acked = Counts{}
		}
		s.offered = s.counts
		if one, changed := v.reportOn(now, i, s); changed {
			report.Servers = append(report.Servers, one)
		}
	}
	return report
}

func (v *View) reportOn(now time.Time, i int, s *viewed) (one wire.ServerReport, changed bool) {
	one = wire.ServerReport{
		Index:    i,
		Answered: changes(&s.counts.Answered, &s.acked.Answered),
		Pending:  changes(&s.counts.Pending, &s.acked.Pending),
		Doubtful: changes(&s.counts.Doubtful, &s.acked.Doubtful),
		Failed:   s.counts.Failed, Shed: s.counts.Shed,
		Draining: s.draining,
	}
	if v.full {
		v.hold(now, &one, s)
	}
	changed = s.counts != s.acked || one.Draining || one.Ejected > 0
	return one, changed
}

// hold tells a new home what the earlier one had decided.
func (v *View) hold(now time.Time, one *wire.ServerReport, s *viewed) {
	one.Draining = one.Draining || s.told.Draining
	if now.Before(v.expires) && s.told.State.Removed() {
		one.Ejected, one.Returns = max(s.told.Left, 1), s.told.Returns
	}
}

// Lost notes that a report got no answer. The next one repeats its content.
func (v *View) Lost() {
	v.awaiting, v.urgent = false, true
}

// Accept takes over the answer to the report of the given sequence that was
// sent at sent. A verdict of another home than before is followed only after
// that home has been told everything, including the earlier home's decisions.
func (v *View) Accept(now, sent time.Time, sequence uint64, verdict wire.HealthVerdict) {
	if sequence != v.sequence || !v.awaiting {
		return
	}
	v.awaiting = false
	id := verdictID{verdict.Home, verdict.Started, verdict.Version}
	changed := id.home != v.verdict.home || id.started != v.verdict.started
	if !changed && id.version < v.verdict.version {
		return
	}
	if verdict.Resync || verdict.List != v.list || changed && !v.full {
		v.full, v.urgent = true, true
		return
	}
	v.full = false
	for _, s := range v.servers {
		s.acked = s.offered
	}
	v.follow(sent, id, &verdict)
}

func (v *View) follow(sent time.Time, id verdictID, verdict *wire.HealthVerdict) {
	v.verdict, v.expires, v.dirty = id, sent.Add(VerdictLife), true
	if verdict.Stall > 0 && verdict.Stall < Buckets {
		v.stall = verdict.Stall
	}
	for _, s := range v.servers {
		s.told = wire.ServerVerdict{}
	}
	for _, one := range verdict.Servers {
		if one.Index >= 0 && one.Index < len(v.servers) {
			v.servers[one.Index].told = one
		}
	}
	for _, s := range v.servers {
		if s.told.Draining {
			s.draining = false // the home keeps it from now on
		}
		if s.told.State != wire.StateProbation {
			s.nextTrial = time.Time{}
		}
	}
}
