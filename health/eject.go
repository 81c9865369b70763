package health

import (
	"maps"
	"slices"
	"time"

	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

const (
	headStart     = 0.5 // of the threshold, for a server that comes back
	restWithoutVM = 0.5 // of the threshold that other VMs must contribute
	suspectLevel  = 1.0 / 3
	trialSlowness = 3.0 // sum of ratios that ends a probation; one good server in twenty
)

// judge ejects the server if its alarm holds without the loudest VM and no
// other zone contradicts; otherwise it looks for a fault of one zone's path.
func (j *Judge) judge(now time.Time, i int, s *server) {
	if s.state.Removed() {
		return
	}
	found, ok := j.fleet.alarmed(i)
	if !ok {
		s.withheld = false
		j.judgeZones(now, i, s)
		return
	}
	if !j.severalVMs(j.fleet, found.score) {
		return // the VM that complains avoids the path by itself
	}
	if found.score.contradicted() {
		j.judgeZones(now, i, s)
		return
	}
	j.eject(now, i, s, found)
}

// severalVMs reports whether an alarm stands without the VM that complains loudest.
func (j *Judge) severalVMs(p *pool, s *score) bool {
	if j.vms == 1 {
		return true
	}
	loudest := 0.0
	for _, sum := range s.byVM {
		loudest = max(loudest, sum)
	}
	return s.sum-loudest >= restWithoutVM*p.threshold
}

func (j *Judge) eject(now time.Time, i int, s *server, found alarm) {
	s.level = found.level
	if !j.allowed(i) {
		if !s.withheld {
			j.event(timeline.KindEjectionWithheld, s, "%s; capacity %d, floor %d", found.text, j.capacity(), j.service.Floor)
		}
		s.withheld = true
		return
	}
	duration := ejectionTime(s.returns)
	s.returns++
	s.state, s.since, s.until, s.withheld = wire.StateEjected, now, now.Add(duration), false
	j.version++
	j.event(timeline.KindEjected, s, "%s, from %d VMs; for %s", found.text, contributors(found.score.byVM), duration)
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
func (j *Judge) judgeZones(now time.Time, i int, s *server) {
	if len(j.zones) < 2 {
		return
	}
	for _, zone := range slices.Sorted(maps.Keys(j.zones)) {
		p := j.zones[zone]
		if _, already := s.avoided[zone]; already {
			continue
		}
		p.advance(now)
		found, ok := p.alarmed(i)
		if !ok || !j.severalVMs(p, found.score) {
			continue
		}
		s.avoided[zone] = now.Add(ejectionTime(0))
		j.version++
		j.event(timeline.KindPathAvoided, s, "%s, in zone %s only", found.text, zone)
	}
}

// capacities returns the servers as Enforce sees them.
func (j *Judge) capacities() []Capacity {
	list := make([]Capacity, len(j.servers))
	for i, s := range j.servers {
		list[i] = Capacity{
			Absent:   s.drain.active || s.state == wire.StateSlowStart,
			Remove:   s.state.Removed(),
			Severity: s.level,
		}
	}
	return list
}

// capacity returns the number of servers in full service.
func (j *Judge) capacity() int {
	count := 0
	for _, c := range j.capacities() {
		if !c.Absent && !c.Remove {
			count++
		}
	}
	return count
}

// allowed reports whether ejecting server i, besides those ejected, keeps the floor.
func (j *Judge) allowed(i int) bool {
	list := j.capacities()
	list[i].Remove, list[i].Severity = true, 0
	return Enforce(list, j.service.Floor)[i]
}

// enforceFloor returns ejected servers to service when others became absent.
func (j *Judge) enforceFloor(now time.Time) {
	list := j.capacities()
	removed := Enforce(list, j.service.Floor)
	for i, s := range j.servers {
		if list[i].Remove && !removed[i] {
			s.state, s.since, s.withheld = wire.StateInService, now, true
			j.version++
			j.event(timeline.KindReturned, s, "capacity would fall below the floor of %d", j.service.Floor)
		}
	}
}

// tryOut judges the answers of a server in probation.
func (j *Judge) tryOut(now time.Time, i int, s *server, added *Counts) {
	j.fleet.advance(now)
	s.trials += int(added.answered())
	for b := range Buckets {
		s.slowness += float64(added.Answered[b])*j.fleet.ratios.answered[testSlow][b] +
			float64(added.Pending[b]+added.Doubtful[b])*j.fleet.ratios.pending[testSlow][b]
	}
	s.slowness = max(s.slowness, 0)
	switch {
	case added.Failed > 0:
		j.ejectAgain(now, s, "failed in probation")
	case s.slowness >= trialSlowness:
		j.ejectAgain(now, s, "slow in probation")
	case s.trials >= trialsNeeded:
		j.startSlowly(now, i, s)
	}
}

func (j *Judge) ejectAgain(now time.Time, s *server, reason string) {
	duration := ejectionTime(s.returns)
	s.returns++
	s.state, s.since, s.until = wire.StateEjected, now, now.Add(duration)
	j.version++
	j.event(timeline.KindEjected, s, "%s, ejection %d; for %s", reason, s.returns, duration)
}

func (j *Judge) startSlowly(now time.Time, i int, s *server) {
	s.state, s.since, s.until = wire.StateSlowStart, now, now.Add(slowStart)
	j.fleet.reset(i, headStart)
	for _, p := range j.zones {
		p.reset(i, 0)
	}
	j.version++
	j.event(timeline.KindReturned, s, "%d good answers in probation; slow start for %s", s.trials, slowStart)
}
