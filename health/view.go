package health

import (
	"time"

	"lacewingmount.dev/balance"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// View holds what one VM knows of the servers of a service and selects among them.
// It is not safe for concurrent use.
type View struct {
	vm, zone    string
	incarnation int64
	sequence    uint64
	service     Service
	limits      Limits
	listID      uint32
	members     int
	servers     []*viewServer
	pathTests   *outlierTests // tests over the VM's own requests

	verdict         verdictID
	expires         time.Time
	stallBucket     int
	fullReport      bool // the next report contains all counts
	urgent          bool // the next report is due after UrgentReportPeriod
	lastSent        time.Time
	awaitingVerdict bool // a report is in flight

	eligibilities    []Eligibility
	eligibilityAt    time.Time
	eligibilityStale bool
	events           []timeline.Event
}

// verdictID identifies a verdict and orders those of one owner.
type verdictID struct {
	owner   string
	started int64
	version uint64
}

// Limits holds the limits of one server.
type Limits struct {
	Slots       int // requests that it runs concurrently
	Connections int // connections from all VMs
}

// NewView returns the view of the VM vm in zone. started is the start time of its
// entry process.
func NewView(vm, zone string, started time.Time) *View {
	return &View{vm: vm, zone: zone, incarnation: started.UnixNano(), members: 1, stallBucket: maxStallBucket, fullReport: true}
}

// SetService applies a changed configuration and the number of VMs in service,
// members. Servers that stay keep their counts and verdicts.
func (v *View) SetService(now time.Time, service Service, limits Limits, members int) {
	v.members, v.limits, v.eligibilityStale = max(members, 1), limits, true
	listID := ServerListID(service.Servers)
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

// Advance counts stalled requests, evaluates the VM's own requests and returns the
// changes since the last call.
func (v *View) Advance(now time.Time) []timeline.Event {
	v.countStalled(now)
	v.evaluatePaths(now)
	events := v.events
	v.events = nil
	return events
}

// ReportDue reports whether a report is due now.
func (v *View) ReportDue(now time.Time) bool {
	if v.awaitingVerdict {
		return false
	}
	period := ReportPeriod
	if v.urgent {
		period = UrgentReportPeriod
	}
	return now.Sub(v.lastSent) >= period
}

// Report returns the report to send. The caller must then call AcceptVerdict or
// ReportLost.
func (v *View) Report(now time.Time) *wire.HealthReport {
	v.sequence++
	v.lastSent, v.awaitingVerdict, v.urgent = now, true, false
	report := &wire.HealthReport{
		Service: v.service.Name, VM: v.vm, Zone: v.zone, Incarnation: v.incarnation,
		Sequence: v.sequence, ListID: v.listID, Full: v.fullReport,
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
	changed = s.counts != s.acked || one.Draining || one.PreviousEjectionLeft > 0
	return one, changed
}

// addPreviousDecisions adds the previous owner's ejections and drains to a report
// for a new owner.
func (v *View) addPreviousDecisions(now time.Time, one *wire.ServerReport, s *viewServer) {
	one.Draining = one.Draining || s.ownerVerdict.Draining
	if now.Before(v.expires) && s.ownerVerdict.State.Removed() {
		one.PreviousEjectionLeft, one.ConsecutiveEjections = max(s.ownerVerdict.EjectionLeft, 1), s.ownerVerdict.ConsecutiveEjections
	}
}

// ReportLost records that a report got no verdict. The next report repeats its content.
func (v *View) ReportLost() {
	v.awaitingVerdict, v.urgent = false, true
}

// AcceptVerdict applies the verdict on the report with the given sequence number,
// which was sent at sent. Verdicts that are older than the last one of the same
// owner are ignored. After a change of owner, a verdict is applied only if it
// answers a full report, which includes the previous owner's decisions.
func (v *View) AcceptVerdict(now, sent time.Time, sequence uint64, verdict wire.HealthVerdict) {
	if sequence != v.sequence || !v.awaitingVerdict {
		return
	}
	v.awaitingVerdict = false
	id := verdictID{verdict.Owner, verdict.Started, verdict.Version}
	changed := id.owner != v.verdict.owner || id.started != v.verdict.started
	if !changed && id.version < v.verdict.version {
		return
	}
	if verdict.Resync || verdict.ListID != v.listID || changed && !v.fullReport {
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
	v.verdict, v.expires, v.eligibilityStale = id, sent.Add(VerdictTTL), true
	if verdict.StallBucket > 0 && verdict.StallBucket < LatencyBuckets {
		v.stallBucket = verdict.StallBucket
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
			s.draining = false // the owner now keeps this state
		}
		if s.ownerVerdict.State != wire.StateProbation {
			s.nextProbationRequest = time.Time{}
		}
	}
}
