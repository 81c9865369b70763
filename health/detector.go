package health

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// Server is the name of a backend server and its availability zone.
type Server struct {
	Name string
	Zone string
}

// Service is the configuration that failure detection needs for one service.
type Service struct {
	Name    string
	Floor   int // servers that ejection must leave in full service
	Servers []Server
	Policy  Policy
}

// Detector decides from the reports of all VMs which servers of one service are
// ejected. It is not safe for concurrent use.
type Detector struct {
	owner     string
	started   time.Time
	version   uint64
	service   Service
	listID    uint32
	vms       int                      // VMs in service
	fleet     *outlierTests            // over the requests of all VMs
	zones     map[string]*outlierTests // over the requests of the VMs of each zone
	zoneIndex map[string]int
	reporters map[string]*reporter
	servers   []*server
	events    []timeline.Event
}

// server is the detector's state of one backend server.
type server struct {
	Server
	state                wire.ServerState
	until                time.Time // end of the ejection or of slow start
	consecutiveEjections int       // drops by one after each ejectionCountDecay in service
	since                time.Time // start of the state
	probationSuccesses   int       // successful responses in probation
	probationSlowness    float64   // sum of the testSlow ratios in probation
	ejectionWithheld     bool
	level                float64   // alarm.level of the alarm that ejected it
	lastAnswered         time.Time // last report of a complete response
	lastProbed           time.Time
	drain                drain
	shedding             shedding
	avoided              map[string]time.Time // end of the avoidance, by zone
}

// NewDetector returns the detector of a service on the VM owner. A detector that
// is started later supersedes an earlier one on the same VM.
func NewDetector(owner string, now time.Time, service Service) *Detector {
	detector := &Detector{
		owner: owner, started: now, vms: 1,
		zoneIndex: map[string]int{}, reporters: map[string]*reporter{},
	}
	detector.SetService(now, service)
	return detector
}

// SetMembers sets the number of VMs in service, at least 1.
func (d *Detector) SetMembers(vms int) { d.vms = max(vms, 1) }

// SetService applies a changed configuration. Servers that stay keep their state.
// If the server list or the policy changed, all tests restart and the reporters
// must send full reports again.
func (d *Detector) SetService(now time.Time, service Service) {
	listID := ServerListID(service.Servers)
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

// Advance ends expired states and evaluates every server. It returns the state
// changes since the last call.
func (d *Detector) Advance(now time.Time) []timeline.Event {
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

func (d *Detector) event(kind timeline.Kind, s *server, format string, values ...any) {
	d.events = append(d.events, timeline.Event{Kind: kind, Server: s.Name, Reason: fmt.Sprintf(format, values...)})
}

// expire ends the ejections, slow starts, drains and avoidances that are due.
func (d *Detector) expire(now time.Time, i int, s *server) {
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
			d.event(timeline.KindPathRestored, s, "zone %s sends to it again", zone)
		}
	}
}

// ServerListID returns a hash of a list of servers. Sender and receiver compare it
// to make sure that a server index means the same to both.
func ServerListID(servers []Server) uint32 {
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
