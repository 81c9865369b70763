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
	listID      uint32
	members     int
	servers     []*viewServer
	pathTests   *outlierTests // tests of the VM's own paths

	verdict         verdictID
	expires         time.Time
	stallBucket     int
	fullReport      bool // the next report names all counts
	urgent          bool // there is news of trouble
	lastSent        time.Time
	awaitingVerdict bool // the answer to a report

	eligibilities    []Standing
	eligibilityAt    time.Time
	eligibilityStale bool
	events           []timeline.Event
}

// verdictID orders the verdicts that a view takes over.
type verdictID struct {
	owner   string
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
	return &View{vm: vm, zone: zone, incarnation: started.UnixNano(), members: 1, stallBucket: maxStallBucket, fullReport: true}
}

// SetService takes over a changed configuration and the number of VMs in
// service. Servers that stay keep their counts and verdicts.
func (v *View) SetService(now time.Time, service Service, limits Limits, members int) {
	v.members, v.limits, v.eligibilityStale = max(members, 1), limits, true
	listID := ListID(service.Servers)
	unchanged := v.pathTests != nil && listID == v.listID
	v.service = service
	if !unchanged {
		v.setServers(now, listID)
	}
	v.chooseSubset()
}

func (v *View) setServers(now time.Time, listID uint32) {
	known := map[string]*viewServer{}
	for _, s := range v.servers {
		known[s.Name] = s
	}
	first := v.pathTests == nil
	v.servers = nil
	for _, named := range v.service.Servers {
		s := known[named.Name]
		if s == nil {
			s = &viewServer{Server: named}
			if !first {
				s.slowStartUntil = now.Add(slowStartDuration)
			}
		}
		v.servers = append(v.servers, s)
	}
	v.listID, v.fullReport = listID, true
	v.pathTests = newOutlierTests(len(v.servers), falseAvoidancesPerDay)
}

func (v *View) chooseSubset() {
	names := make([]string, len(v.servers))
	for i, s := range v.servers {
		names[i] = s.Name
	}
	for i, inSubset := range balance.Subset(v.vm, names, v.limits.Connections, v.members) {
		v.servers[i].inSubset = inSubset
	}
}

// Advance counts stalled requests, judges the VM's own paths and returns what
// changed since the last call.
func (v *View) Advance(now time.Time) []timeline.Event {
	v.countStalled(now)
	v.evaluatePaths(now)
	events := v.events
	v.events = nil
	return events
}

// Due reports whether a report should be sent now.
func (v *View) Due(now time.Time) bool {
	if v.awaitingVerdict {
		return false
	}
	period := ReportPeriod
	if v.urgent {
		period = UrgentPeriod
	}
	return now.Sub(v.lastSent) >= period
}

// Report returns the report to send. Accept or Lost must follow.
func (v *View) Report(now time.Time) *wire.HealthReport {
	v.sequence++
	v.lastSent, v.awaitingVerdict, v.urgent = now, true, false
	report := &wire.HealthReport{
		Service: v.service.Name, VM: v.vm, Zone: v.zone, Incarnation: v.incarnation,
		Sequence: v.sequence, List: v.listID, Full: v.fullReport,
	}
	for i, s := range v.servers {
		if v.fullReport {
			s.acked = Counts{}
		}
		s.inReport = s.counts
		if one, changed := v.serverReport(now, i, s); changed {
			report.Servers = append(report.Servers, one)
		}
	}
	return report
}

func (v *View) serverReport(now time.Time, i int, s *viewServer) (one wire.ServerReport, changed bool) {
	one = wire.ServerReport{
		Index:    i,
		Answered: changedBuckets(&s.counts.Answered, &s.acked.Answered),
		Pending:  changedBuckets(&s.counts.Pending, &s.acked.Pending),
		Doubtful: changedBuckets(&s.counts.Doubtful, &s.acked.Doubtful),
		Failed:   s.counts.Failed, Shed: s.counts.Shed,
		Draining: s.draining,
	}
	if v.fullReport {
		v.addPreviousDecisions(now, &one, s)
	}
	changed = s.counts != s.acked || one.Draining || one.Ejected > 0
	return one, changed
}

// hold tells a new home what the earlier one had decided.
func (v *View) addPreviousDecisions(now time.Time, one *wire.ServerReport, s *viewServer) {
	one.Draining = one.Draining || s.ownerVerdict.Draining
	if now.Before(v.expires) && s.ownerVerdict.State.Removed() {
		one.Ejected, one.Returns = max(s.ownerVerdict.Left, 1), s.ownerVerdict.Returns
	}
}

// Lost notes that a report got no answer. The next one repeats its content.
func (v *View) Lost() {
	v.awaitingVerdict, v.urgent = false, true
}

// Accept takes over the answer to the report of the given sequence that was
// sent at sent. A verdict of another home than before is followed only after
// that home has been told everything, including the earlier home's decisions.
func (v *View) Accept(now, sent time.Time, sequence uint64, verdict wire.HealthVerdict) {
	if sequence != v.sequence || !v.awaitingVerdict {
		return
	}
	v.awaitingVerdict = false
	id := verdictID{verdict.Home, verdict.Started, verdict.Version}
	changed := id.owner != v.verdict.owner || id.started != v.verdict.started
	if !changed && id.version < v.verdict.version {
		return
	}
	if verdict.Resync || verdict.List != v.listID || changed && !v.fullReport {
		v.fullReport, v.urgent = true, true
		return
	}
	v.fullReport = false
	for _, s := range v.servers {
		s.acked = s.inReport
	}
	v.applyVerdict(sent, id, &verdict)
}

func (v *View) applyVerdict(sent time.Time, id verdictID, verdict *wire.HealthVerdict) {
	v.verdict, v.expires, v.eligibilityStale = id, sent.Add(VerdictLife), true
	if verdict.Stall > 0 && verdict.Stall < Buckets {
		v.stallBucket = verdict.Stall
	}
	for _, s := range v.servers {
		s.ownerVerdict = wire.ServerVerdict{}
	}
	for _, one := range verdict.Servers {
		if one.Index >= 0 && one.Index < len(v.servers) {
			v.servers[one.Index].ownerVerdict = one
		}
	}
	for _, s := range v.servers {
		if s.ownerVerdict.Draining {
			s.draining = false // the home keeps it from now on
		}
		if s.ownerVerdict.State != wire.StateProbation {
			s.nextProbationRequest = time.Time{}
		}
	}
}
