package health

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// Server names a backend server and its availability zone.
type Server struct {
	Name string
	Zone string
}

// Service is what the judgement of a service depends on besides the evidence.
type Service struct {
	Name    string
	Floor   int // servers that ejection leaves in service
	Servers []Server
	Policy  Policy
}

// Judge decides which servers of one service are ejected, from the reports of
// all VMs. It is not safe for concurrent use.
type Judge struct {
	owner     string
	started   time.Time
	version   uint64
	service   Service
	listID    uint32
	vms       int // VMs in service
	fleet     *outlierTests
	zones     map[string]*outlierTests
	zoneIndex map[string]int
	reporters map[string]*reporter
	servers   []*server
	events    []timeline.Event
}

// server is the judge's state of one backend server.
type server struct {
	Server
	state                wire.ServerState
	until                time.Time // end of the ejection or of slow start
	consecutiveEjections int       // ejections in a row
	since                time.Time // of the state
	probationSuccesses   int       // good answers in probation
	probationSlowness    float64   // of the answers in probation, as a sum of ratios
	ejectionWithheld     bool
	level                float64 // of the alarm that ejected it
	lastAnswered         time.Time
	applyProbe           time.Time
	drain                drain
	shedding             shedding
	avoided              map[string]time.Time // end of the avoidance, by zone
}

// NewJudge returns the judge of a service in the named VM. A judge that is
// started later supersedes an earlier one of the same VM.
func NewJudge(owner string, now time.Time, service Service) *Judge {
	detector := &Judge{
		owner: owner, started: now, vms: 1,
		zoneIndex: map[string]int{}, reporters: map[string]*reporter{},
	}
	detector.SetService(now, service)
	return detector
}

// SetMembers tells the number of VMs in service.
func (d *Judge) SetMembers(vms int) { d.vms = max(vms, 1) }

// SetService takes over a changed configuration. Servers that stay keep their
// state. If the list changed, all sums start anew and reporters are asked for
// their totals again.
func (d *Judge) SetService(now time.Time, service Service) {
	listID := ListID(service.Servers)
	policyChanged := d.service.Policy != service.Policy
	d.service = service
	if d.fleet != nil && listID == d.listID && !policyChanged {
		return
	}
	known := map[string]*server{}
	for _, s := range d.servers {
		known[s.Name] = s
	}
	first := len(d.servers) == 0
	d.servers = nil
	for _, named := range service.Servers {
		s := known[named.Name]
		if s == nil {
			s = &server{Server: named, lastAnswered: now, avoided: map[string]time.Time{}}
			if !first {
				s.state, s.since, s.until = wire.StateSlowStart, now, now.Add(slowStartDuration)
			}
		}
		d.servers = append(d.servers, s)
	}
	d.listID = listID
	d.fleet = newOutlierTests(len(d.servers), service.Policy.FalseEjections)
	d.zones = map[string]*outlierTests{}
	clear(d.reporters)
}

// Advance ends what is due and judges every server. It returns what changed
// since the last call.
func (d *Judge) Advance(now time.Time) []timeline.Event {
	d.fleet.advance(now)
	d.dropSilentReporters(now)
	for i, s := range d.servers {
		d.expire(now, i, s)
	}
	for i, s := range d.servers {
		d.evaluate(now, i, s)
	}
	d.enforceFloor(now)
	events := d.events
	d.events = nil
	return events
}

func (d *Judge) event(kind timeline.Kind, s *server, format string, values ...any) {
	d.events = append(d.events, timeline.Event{Kind: kind, Server: s.Name, Reason: fmt.Sprintf(format, values...)})
}

// expire ends ejections, slow starts and avoidances.
func (d *Judge) expire(now time.Time, i int, s *server) {
	s.drain.expire(now)
	switch s.state {
	case wire.StateEjected:
		if !now.Before(s.until) {
			s.state, s.since, s.probationSuccesses, s.probationSlowness = wire.StateProbation, now, 0, 0
			d.fleet.reset(i, 0)
			d.event(timeline.KindProbation, s, "ejection %d ended, %d good answers wanted", s.consecutiveEjections, minProbationSuccesses)
		}
	case wire.StateSlowStart:
		if !now.Before(s.until) {
			s.state, s.since = wire.StateInService, now
		}
	case wire.StateInService:
		if s.consecutiveEjections > 0 && now.Sub(s.since) >= ejectionCountDecay {
			s.consecutiveEjections, s.since = s.consecutiveEjections-1, now
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(s.avoided)) {
		if !now.Before(s.avoided[zone]) {
			delete(s.avoided, zone)
			d.zoneTests(zone).reset(i, initialSumShare)
			d.event(timeline.KindPathBack, s, "zone %s sends to it again", zone)
		}
	}
}

// ListID identifies a list of servers, so that an index means the same to
// sender and receiver.
func ListID(servers []Server) uint32 {
	const (
		offset = 2166136261
		prime  = 16777619
	)
	hash := uint32(offset)
	for _, s := range servers {
		for _, text := range [...]string{s.Name, s.Zone} {
			for k := range len(text) {
				hash = (hash ^ uint32(text[k])) * prime
			}
			hash *= prime
		}
	}
	return hash
}
