package health

import (
	"time"

	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// reporter is the detector's state of one VM's entry process.
type reporter struct {
	incarnation int64
	sequence    uint64
	zone        string
	from        source
	lastReport  time.Time
	totals      []Counts // by server
}

// HandleReport applies a report and returns the current verdict. Reports that are
// out of order, duplicate or from an earlier start of the entry process are
// ignored. The verdict requests a full report if this one cannot be applied.
func (d *Detector) HandleReport(now time.Time, report *wire.HealthReport) wire.HealthVerdict {
	accepted := report.ListID == d.listID && d.applyReport(now, report)
	verdict := d.Verdict(now)
	verdict.Resync = !accepted
	return verdict
}

// applyReport applies a report. It returns false if the reporter must send a full
// report first.
func (d *Detector) applyReport(now time.Time, report *wire.HealthReport) bool {
	known := d.reporters[report.VM]
	if known != nil && report.Incarnation == known.incarnation && report.Sequence <= known.sequence {
		return true
	}
	if known != nil && report.Incarnation < known.incarnation {
		return true
	}
	if report.Full {
		d.addReporter(now, report)
		return true
	}
	if known == nil || report.Incarnation != known.incarnation {
		return false
	}
	known.sequence, known.lastReport = report.Sequence, now
	for k := range report.Servers {
		d.applyServerReport(now, known, &report.Servers[k], true)
	}
	return true
}

// addReporter starts or restarts the state of a reporter from a full report. Its
// totals are the baseline of later reports and are not tested.
func (d *Detector) addReporter(now time.Time, report *wire.HealthReport) {
	known := &reporter{
		incarnation: report.Incarnation, sequence: report.Sequence, zone: report.Zone, lastReport: now,
		totals: make([]Counts, len(d.servers)),
		from:   source{vm: d.reporterIndex(report.VM), zone: d.indexOfZone(report.Zone)},
	}
	d.reporters[report.VM] = known
	for k := range report.Servers {
		d.applyServerReport(now, known, &report.Servers[k], false)
	}
}

// reporterIndex returns the VM's previous index, or the lowest one that is free.
func (d *Detector) reporterIndex(vm string) int {
	if known := d.reporters[vm]; known != nil {
		return known.from.vm
	}
	used := make([]bool, len(d.reporters)+1)
	for _, known := range d.reporters {
		if known.from.vm < len(used) {
			used[known.from.vm] = true
		}
	}
	for i, taken := range used {
		if !taken {
			return i
		}
	}
	return len(used)
}

func (d *Detector) indexOfZone(zone string) int {
	index, ok := d.zoneIndex[zone]
	if !ok {
		index = len(d.zoneIndex)
		d.zoneIndex[zone] = index
	}
	return index
}

func (d *Detector) zoneTests(zone string) *outlierTests {
	p := d.zones[zone]
	if p == nil {
		p = newOutlierTests(len(d.servers), falseAvoidancesPerDay)
		d.zones[zone] = p
	}
	return p
}

func (d *Detector) applyServerReport(now time.Time, from *reporter, report *wire.ServerReport, evidence bool) {
	if report.Index < 0 || report.Index >= len(d.servers) {
		return
	}
	s := d.servers[report.Index]
	earlier := from.totals[report.Index]
	from.totals[report.Index].apply(report)
	if report.Draining {
		d.recordDrain(now, s, "its own answer")
	}
	if report.PreviousEjectionLeft > 0 {
		d.adoptEjection(now, s, report)
	}
	if !evidence {
		return
	}
	added := from.totals[report.Index].since(&earlier)
	d.observeCounts(now, from, report.Index, &added)
}

// observeCounts passes the increase of a reporter's counts to the tests.
func (d *Detector) observeCounts(now time.Time, from *reporter, index int, added *Counts) {
	s := d.servers[index]
	if added.answered() > 0 {
		s.lastAnswered = now
	}
	s.shedding.add(now, added)
	if added.observations() == 0 {
		return
	}
	switch s.state {
	case wire.StateEjected:
		return // requests that were sent before the ejection
	case wire.StateProbation:
		d.evaluateProbation(now, index, s, added)
		return
	case wire.StateSlowStart:
		d.fleet.observeSlowStart(now, index, from.from, added)
		return
	}
	d.fleet.observe(now, index, from.from, added)
	d.zoneTests(from.zone).observe(now, index, from.from, added)
}

// adoptEjection continues an ejection by the previous owner. Only a detector that
// started at most VerdictTTL ago does so.
func (d *Detector) adoptEjection(now time.Time, s *server, report *wire.ServerReport) {
	if s.state != wire.StateInService || now.Sub(d.started) > VerdictTTL {
		return
	}
	s.state, s.since, s.consecutiveEjections = wire.StateEjected, now, report.ConsecutiveEjections
	s.until = now.Add(min(time.Duration(report.PreviousEjectionLeft)*time.Millisecond, maxEjectionTime))
	d.version++
	d.event(timeline.KindEjected, s, "as the previous owner had decided")
}

// dropSilentReporters removes VMs that have not reported for reporterTimeout.
func (d *Detector) dropSilentReporters(now time.Time) {
	for vm, known := range d.reporters {
		if now.Sub(known.lastReport) > reporterTimeout {
			delete(d.reporters, vm)
		}
	}
}
