package health

import (
	"time"

	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// reporter is what the judge knows of one VM's entry.
type reporter struct {
	incarnation int64
	sequence    uint64
	zone        string
	from        source
	lastReport  time.Time
	totals      []Counts // by server
}

// Observe takes in a report and answers with the present verdict. Reports that
// were overtaken, doubled or belong to an earlier start of the entry are ignored.
func (d *Judge) Observe(now time.Time, report *wire.HealthReport) wire.HealthVerdict {
	accepted := report.List == d.listID && d.applyReport(now, report)
	verdict := d.Verdict(now)
	verdict.Resync = !accepted
	return verdict
}

// accept reports whether the judge is up to date with the reporter.
func (d *Judge) applyReport(now time.Time, report *wire.HealthReport) bool {
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

// join begins with a reporter. Its totals are the baseline and no evidence.
func (d *Judge) addReporter(now time.Time, report *wire.HealthReport) {
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
func (d *Judge) reporterIndex(vm string) int {
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

func (d *Judge) indexOfZone(zone string) int {
	index, ok := d.zoneIndex[zone]
	if !ok {
		index = len(d.zoneIndex)
		d.zoneIndex[zone] = index
	}
	return index
}

func (d *Judge) zoneTests(zone string) *outlierTests {
	p := d.zones[zone]
	if p == nil {
		p = newOutlierTests(len(d.servers), falseAvoidancesPerDay)
		d.zones[zone] = p
	}
	return p
}

func (d *Judge) applyServerReport(now time.Time, from *reporter, report *wire.ServerReport, evidence bool) {
	if report.Index < 0 || report.Index >= len(d.servers) {
		return
	}
	s := d.servers[report.Index]
	earlier := from.totals[report.Index]
	from.totals[report.Index].apply(report)
	if report.Draining {
		d.recordDrain(now, s, "its own answer")
	}
	if report.Ejected > 0 {
		d.adoptEjection(now, s, report)
	}
	if !evidence {
		return
	}
	added := from.totals[report.Index].since(&earlier)
	d.observeCounts(now, from, report.Index, &added)
}

// takeEvidence lets the tests see what was added.
func (d *Judge) observeCounts(now time.Time, from *reporter, index int, added *Counts) {
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
		return // requests that were sent before the verdict
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

// takeOver takes over an ejection of an earlier home, while the judge is new.
func (d *Judge) adoptEjection(now time.Time, s *server, report *wire.ServerReport) {
	if s.state != wire.StateInService || now.Sub(d.started) > VerdictLife {
		return
	}
	s.state, s.since, s.consecutiveEjections = wire.StateEjected, now, report.Returns
	s.until = now.Add(min(time.Duration(report.Ejected)*time.Millisecond, maxEjectionTime))
	d.version++
	d.event(timeline.KindEjected, s, "as the earlier home had decided")
}

// forgetReporters drops VMs that stopped reporting.
func (d *Judge) dropSilentReporters(now time.Time) {
	for vm, known := range d.reporters {
		if now.Sub(known.lastReport) > reporterTimeout {
			delete(d.reporters, vm)
		}
	}
}
