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
	home      string
	started   time.Time
	version   uint64
	service   Service
	list      uint32
	vms       int // VMs in service
	fleet     *pool
	zones     map[string]*pool
	zoneIndex map[string]int
	reporters map[string]*reporter
	servers   []*server
	events    []timeline.Event
}

// server is the judge's state of one backend server.
type server struct {
	Server
	state    wire.ServerState
	until    time.Time // end of the ejection or of slow start
	returns  int       // ejections in a row
	since    time.Time // of the state
	trials   int       // good answers in probation
	slowness float64   // of the answers in probation, as a sum of ratios
	withheld bool
	level    float64 // of the alarm that ejected it
	seen     time.Time
	probed   time.Time
	drain    drain
	shedding shedding
	avoided  map[string]time.Time // end of the avoidance, by zone
}

// NewJudge returns the judge of a service in the named VM. A judge that is
// started later supersedes an earlier one of the same VM.
func NewJudge(home string, now time.Time, service Service) *Judge {
	judge := &Judge{
		home: home, started: now, vms: 1,
		zoneIndex: map[string]int{}, reporters: map[string]*reporter{},
	}
	judge.SetService(now, service)
	return judge
}

// SetMembers tells the number of VMs in service.
func (j *Judge) SetMembers(vms int) { j.vms = max(vms, 1) }

// SetService takes over a changed configuration. Servers that stay keep their
// state. If the list changed, all sums start anew and reporters are asked for
// their totals again.
func (j *Judge) SetService(now time.Time, service Service) {
	list := ListID(service.Servers)
	policyChanged := j.service.Policy != service.Policy
	j.service = service
	if j.fleet != nil && list == j.list && !policyChanged {
		return
	}
	known := map[string]*server{}
	for _, s := range j.servers {
		known[s.Name] = s
	}
	first := len(j.servers) == 0
	j.servers = nil
	for _, named := range service.Servers {
		s := known[named.Name]
		if s == nil {
			s = &server{Server: named, seen: now, avoided: map[string]time.Time{}}
			if !first {
				s.state, s.since, s.until = wire.StateSlowStart, now, now.Add(slowStart)
			}
		}
		j.servers = append(j.servers, s)
	}
	j.list = list
	j.fleet = newPool(len(j.servers), service.Policy.FalseEjections)
	j.zones = map[string]*pool{}
	clear(j.reporters)
}

// Advance ends what is due and judges every server. It returns what changed
// since the last call.
func (j *Judge) Advance(now time.Time) []timeline.Event {
	j.fleet.advance(now)
	j.forgetReporters(now)
	for i, s := range j.servers {
		j.expire(now, i, s)
	}
	for i, s := range j.servers {
		j.judge(now, i, s)
	}
	j.enforceFloor(now)
	events := j.events
	j.events = nil
	return events
}

func (j *Judge) event(kind timeline.Kind, s *server, format string, values ...any) {
	j.events = append(j.events, timeline.Event{Kind: kind, Server: s.Name, Reason: fmt.Sprintf(format, values...)})
}

// expire ends ejections, slow starts and avoidances.
func (j *Judge) expire(now time.Time, i int, s *server) {
	s.drain.expire(now)
	switch s.state {
	case wire.StateEjected:
		if !now.Before(s.until) {
			s.state, s.since, s.trials, s.slowness = wire.StateProbation, now, 0, 0
			j.fleet.reset(i, 0)
			j.event(timeline.KindProbation, s, "ejection %d ended, %d good answers wanted", s.returns, trialsNeeded)
		}
	case wire.StateSlowStart:
		if !now.Before(s.until) {
			s.state, s.since = wire.StateInService, now
		}
	case wire.StateInService:
		if s.returns > 0 && now.Sub(s.since) >= returnsForgotten {
			s.returns, s.since = s.returns-1, now
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(s.avoided)) {
		if !now.Before(s.avoided[zone]) {
			delete(s.avoided, zone)
			j.zonePool(zone).reset(i, headStart)
			j.event(timeline.KindPathBack, s, "zone %s sends to it again", zone)
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
