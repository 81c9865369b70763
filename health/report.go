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
	from        part
	at          time.Time
	totals      []Counts // by server
}

// Observe takes in a report and answers with the present verdict. Reports that
// were overtaken, doubled or belong to an earlier start of the entry are ignored.
func (j *Judge) Observe(now time.Time, report *wire.HealthReport) wire.HealthVerdict {
	accepted := report.List == j.list && j.accept(now, report)
	verdict := j.Verdict(now)
	verdict.Resync = !accepted
	return verdict
}

// accept reports whether the judge is up to date with the reporter.
func (j *Judge) accept(now time.Time, report *wire.HealthReport) bool {
	known := j.reporters[report.VM]
	if known != nil && report.Incarnation == known.incarnation && report.Sequence <= known.sequence {
		return true
	}
	if known != nil && report.Incarnation < known.incarnation {
		return true
	}
	if report.Full {
		j.join(now, report)
		return true
	}
	if known == nil || report.Incarnation != known.incarnation {
		return false
	}
	known.sequence, known.at = report.Sequence, now
	for k := range report.Servers {
		j.acceptServer(now, known, &report.Servers[k], true)
	}
	return true
}

// join begins with a reporter. Its totals are the baseline and no evidence.
func (j *Judge) join(now time.Time, report *wire.HealthReport) {
	known := &reporter{
		incarnation: report.Incarnation, sequence: report.Sequence, zone: report.Zone, at: now,
		totals: make([]Counts, len(j.servers)),
		from:   part{vm: j.reporterIndex(report.VM), zone: j.indexOfZone(report.Zone)},
	}
	j.reporters[report.VM] = known
	for k := range report.Servers {
		j.acceptServer(now, known, &report.Servers[k], false)
	}
}

// reporterIndex returns the VM's previous index, or the lowest one that is free.
func (j *Judge) reporterIndex(vm string) int {
	if known := j.reporters[vm]; known != nil {
		return known.from.vm
	}
	used := make([]bool, len(j.reporters)+1)
	for _, known := range j.reporters {
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

func (j *Judge) indexOfZone(zone string) int {
	index, ok := j.zoneIndex[zone]
	if !ok {
		index = len(j.zoneIndex)
		j.zoneIndex[zone] = index
	}
	return index
}

func (j *Judge) zonePool(zone string) *pool {
	p := j.zones[zone]
	if p == nil {
		p = newPool(len(j.servers), falseAvoidances)
		j.zones[zone] = p
	}
	return p
}

func (j *Judge) acceptServer(now time.Time, from *reporter, report *wire.ServerReport, evidence bool) {
	if report.Index < 0 || report.Index >= len(j.servers) {
		return
	}
	s := j.servers[report.Index]
	earlier := from.totals[report.Index]
	from.totals[report.Index].apply(report)
	if report.Draining {
		j.sawDrain(now, s, "its own answer")
	}
	if report.Ejected > 0 {
		j.takeOver(now, s, report)
	}
	if !evidence {
		return
	}
	added := from.totals[report.Index].since(&earlier)
	j.takeEvidence(now, from, report.Index, &added)
}

// takeEvidence lets the tests see what was added.
func (j *Judge) takeEvidence(now time.Time, from *reporter, index int, added *Counts) {
	s := j.servers[index]
	if added.answered() > 0 {
		s.seen = now
	}
	s.shedding.add(now, added)
	if added.observations() == 0 {
		return
	}
	switch s.state {
	case wire.StateEjected:
		return // requests that were sent before the verdict
	case wire.StateProbation:
		j.tryOut(now, index, s, added)
		return
	case wire.StateSlowStart:
		j.fleet.observeCold(now, index, from.from, added)
		return
	}
	j.fleet.observe(now, index, from.from, added)
	j.zonePool(from.zone).observe(now, index, from.from, added)
}

// takeOver takes over an ejection of an earlier home, while the judge is new.
func (j *Judge) takeOver(now time.Time, s *server, report *wire.ServerReport) {
	if s.state != wire.StateInService || now.Sub(j.started) > VerdictLife {
		return
	}
	s.state, s.since, s.returns = wire.StateEjected, now, report.Returns
	s.until = now.Add(min(time.Duration(report.Ejected)*time.Millisecond, ejectionMost))
	j.version++
	j.event(timeline.KindEjected, s, "as the earlier home had decided")
}

// forgetReporters drops VMs that stopped reporting.
func (j *Judge) forgetReporters(now time.Time) {
	for vm, known := range j.reporters {
		if now.Sub(known.at) > reporterMemory {
			delete(j.reporters, vm)
		}
	}
}
