package health

import (
	"maps"
	"slices"
	"time"

	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

const (
	initialSumShare      = 0.5     // share of the threshold, for a server that returns to service
	minOtherVMsShare     = 0.5     // share of the threshold that the other VMs must contribute
	suspectLevel         = 1.0 / 3 // share of the threshold from which a server is suspect
	maxProbationSlowness = 3.0     // sum of ratios that ends a probation; one healthy server in twenty reaches it
)

// evaluate ejects the server if its alarm holds without the VM that contributes
// most and no other zone contradicts it. Otherwise it checks for a failing network
// path from a single zone.
func (d *Detector) evaluate(now time.Time, i int, s *server) {
	if s.state.Removed() {
		return
	}
	found, ok := d.fleet.strongestAlarm(i)
	if !ok {
		s.ejectionWithheld = false
		d.evaluateZones(now, i, s)
		return
	}
	if !d.confirmedByOtherVMs(d.fleet, found.cusum) {
		return // that VM avoids the server by itself
	}
	if found.cusum.contradictedByOtherZones() {
		d.evaluateZones(now, i, s)
		return
	}
	d.eject(now, i, s, found)
}

// confirmedByOtherVMs reports whether enough of an alarm remains without the VM
// that contributes most. A single VM needs no confirmation.
func (d *Detector) confirmedByOtherVMs(p *outlierTests, s *cusum) bool {
	if d.vms == 1 {
		return true
	}
	largest := 0.0
	for _, sum := range s.byVM {
		largest = max(largest, sum)
	}
	return s.sum-largest >= minOtherVMsShare*p.threshold
}

func (d *Detector) eject(now time.Time, i int, s *server, found alarm) {
	s.level = found.level
	if !d.ejectionAllowed(i) {
		if !s.ejectionWithheld {
			d.event(timeline.KindEjectionWithheld, s, "%s; capacity %d, floor %d", found.text, d.capacity(), d.service.Floor)
		}
		s.ejectionWithheld = true
		return
	}
	duration := ejectionTime(s.consecutiveEjections)
	s.consecutiveEjections++
	s.state, s.since, s.until, s.ejectionWithheld = wire.StateEjected, now, now.Add(duration), false
	d.version++
	d.event(timeline.KindEjected, s, "%s, from %d VMs; for %s", found.text, contributors(found.cusum.byVM), duration)
}

func contributors(parts []float64) int {
	count := 0
	for _, sum := range parts {
		if sum > 0 {
			count++
		}
	}
	return count
}

// evaluateZones makes a zone avoid the server if the zone's own observations raise
// an alarm.
func (d *Detector) evaluateZones(now time.Time, i int, s *server) {
	if len(d.zones) < 2 {
		return
	}
	for _, zone := range slices.Sorted(maps.Keys(d.zones)) {
		p := d.zones[zone]
		if _, already := s.avoided[zone]; already {
			continue
		}
		p.advance(now)
		found, ok := p.strongestAlarm(i)
		if !ok || !d.confirmedByOtherVMs(p, found.cusum) {
			continue
		}
		s.avoided[zone] = now.Add(ejectionTime(0))
		d.version++
		d.event(timeline.KindPathAvoided, s, "%s, in zone %s only", found.text, zone)
	}
}

// capacities returns the input of EnforceFloor for all servers.
func (d *Detector) capacities() []ServerCapacity {
	list := make([]ServerCapacity, len(d.servers))
	for i, s := range d.servers {
		list[i] = ServerCapacity{
			Reduced:  s.drain.active || s.state == wire.StateSlowStart,
			Remove:   s.state.Removed(),
			Severity: s.level,
		}
	}
	return list
}

// capacity returns the number of servers in full service.
func (d *Detector) capacity() int {
	count := 0
	for _, c := range d.capacities() {
		if !c.Reduced && !c.Remove {
			count++
		}
	}
	return count
}

// ejectionAllowed reports whether the capacity stays at or above the floor if
// server i is ejected in addition to those already ejected.
func (d *Detector) ejectionAllowed(i int) bool {
	list := d.capacities()
	list[i].Remove, list[i].Severity = true, 0
	return EnforceFloor(list, d.service.Floor)[i]
}

// enforceFloor returns ejected servers to service if the capacity fell because
// other servers started to drain or are in slow start.
func (d *Detector) enforceFloor(now time.Time) {
	list := d.capacities()
	removed := EnforceFloor(list, d.service.Floor)
	for i, s := range d.servers {
		if list[i].Remove && !removed[i] {
			s.state, s.since, s.ejectionWithheld = wire.StateInService, now, true
			d.version++
			d.event(timeline.KindReturned, s, "capacity would fall below the floor of %d", d.service.Floor)
		}
	}
}

// evaluateProbation records outcomes of a server in probation. It ejects the server
// again or starts its slow start if they suffice.
func (d *Detector) evaluateProbation(now time.Time, i int, s *server, added *Counts) {
	d.fleet.advance(now)
	s.probationSuccesses += int(added.answered())
	for b := range LatencyBuckets {
		s.probationSlowness += float64(added.Answered[b])*d.fleet.ratios.answered[testSlow][b] +
			float64(added.Pending[b]+added.Doubtful[b])*d.fleet.ratios.pending[testSlow][b]
	}
	s.probationSlowness = max(s.probationSlowness, 0)
	switch {
	case added.Failed > 0:
		d.ejectAgain(now, s, "failed in probation")
	case s.probationSlowness >= maxProbationSlowness:
		d.ejectAgain(now, s, "slow in probation")
	case s.probationSuccesses >= minProbationSuccesses:
		d.beginSlowStart(now, i, s)
	}
}

func (d *Detector) ejectAgain(now time.Time, s *server, reason string) {
	duration := ejectionTime(s.consecutiveEjections)
	s.consecutiveEjections++
	s.state, s.since, s.until = wire.StateEjected, now, now.Add(duration)
	d.version++
	d.event(timeline.KindEjected, s, "%s, ejection %d; for %s", reason, s.consecutiveEjections, duration)
}

func (d *Detector) beginSlowStart(now time.Time, i int, s *server) {
	s.state, s.since, s.until = wire.StateSlowStart, now, now.Add(slowStartDuration)
	d.fleet.reset(i, initialSumShare)
	for _, p := range d.zones {
		p.reset(i, 0)
	}
	d.version++
	d.event(timeline.KindReturned, s, "%d good answers in probation; slow start for %s", s.probationSuccesses, slowStartDuration)
}
