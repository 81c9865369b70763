package health

import (
	"maps"
	"slices"
	"time"

	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

const (
	initialSumShare      = 0.5 // of the threshold, for a server that comes back
	minOtherVMsShare     = 0.5 // of the threshold that other VMs must contribute
	suspectLevel         = 1.0 / 3
	maxProbationSlowness = 3.0 // sum of ratios that ends a probation; one good server in twenty
)

// judge ejects the server if its alarm holds without the loudest VM and no
// other zone contradicts; otherwise it looks for a fault of one zone's path.
func (d *Judge) evaluate(now time.Time, i int, s *server) {
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
		return // the VM that complains avoids the path by itself
	}
	if found.cusum.contradictedByOtherZones() {
		d.evaluateZones(now, i, s)
		return
	}
	d.eject(now, i, s, found)
}

// severalVMs reports whether an alarm stands without the VM that complains loudest.
func (d *Judge) confirmedByOtherVMs(p *outlierTests, s *cusum) bool {
	if d.vms == 1 {
		return true
	}
	largest := 0.0
	for _, sum := range s.byVM {
		largest = max(largest, sum)
	}
	return s.sum-largest >= minOtherVMsShare*p.threshold
}

func (d *Judge) eject(now time.Time, i int, s *server, found alarm) {
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

// judgeZones makes single zones avoid the server.
func (d *Judge) evaluateZones(now time.Time, i int, s *server) {
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

// capacities returns the servers as Enforce sees them.
func (d *Judge) capacities() []Capacity {
	list := make([]Capacity, len(d.servers))
	for i, s := range d.servers {
		list[i] = Capacity{
			Absent:   s.drain.active || s.state == wire.StateSlowStart,
			Remove:   s.state.Removed(),
			Severity: s.level,
		}
	}
	return list
}

// capacity returns the number of servers in full service.
func (d *Judge) capacity() int {
	count := 0
	for _, c := range d.capacities() {
		if !c.Absent && !c.Remove {
			count++
		}
	}
	return count
}

// allowed reports whether ejecting server i, besides those ejected, keeps the floor.
func (d *Judge) ejectionAllowed(i int) bool {
	list := d.capacities()
	list[i].Remove, list[i].Severity = true, 0
	return Enforce(list, d.service.Floor)[i]
}

// enforceFloor returns ejected servers to service when others became absent.
func (d *Judge) enforceFloor(now time.Time) {
	list := d.capacities()
	removed := Enforce(list, d.service.Floor)
	for i, s := range d.servers {
		if list[i].Remove && !removed[i] {
			s.state, s.since, s.ejectionWithheld = wire.StateInService, now, true
			d.version++
			d.event(timeline.KindReturned, s, "capacity would fall below the floor of %d", d.service.Floor)
		}
	}
}

// tryOut judges the answers of a server in probation.
func (d *Judge) evaluateProbation(now time.Time, i int, s *server, added *Counts) {
	d.fleet.advance(now)
	s.probationSuccesses += int(added.answered())
	for b := range Buckets {
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

func (d *Judge) ejectAgain(now time.Time, s *server, reason string) {
	duration := ejectionTime(s.consecutiveEjections)
	s.consecutiveEjections++
	s.state, s.since, s.until = wire.StateEjected, now, now.Add(duration)
	d.version++
	d.event(timeline.KindEjected, s, "%s, ejection %d; for %s", reason, s.consecutiveEjections, duration)
}

func (d *Judge) beginSlowStart(now time.Time, i int, s *server) {
	s.state, s.since, s.until = wire.StateSlowStart, now, now.Add(slowStartDuration)
	d.fleet.reset(i, initialSumShare)
	for _, p := range d.zones {
		p.reset(i, 0)
	}
	d.version++
	d.event(timeline.KindReturned, s, "%d good answers in probation; slow start for %s", s.probationSuccesses, slowStartDuration)
}
