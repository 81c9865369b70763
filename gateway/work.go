package gateway

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"lacewingmount.dev/membership"
	"lacewingmount.dev/placement"
)

const (
	workReportTime  = 4 * syncPeriod // since the owner of a group changed, in which reports carry what is known of the work
	maxWorkReported = 32             // classes in a report; docs/CAPACITY.md
)

// workReport is what a VM has learned about the work of a class.
type workReport struct {
	Route   uint32
	Step    uint8
	Micros  uint32 // work on a server of usual speed
	Samples uint8
	Recent  uint32
}

// routeHash returns the hash that stands for a route in placement requests. Two routes of one
// service that share it share the estimate of their work.
func routeHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// ownerChanges records since when each group has its owner. It is safe for concurrent use.
type ownerChanges struct {
	mu     sync.Mutex
	groups map[int]ownerSince
}

type ownerSince struct {
	owner       string
	incarnation uint64
	since       time.Time
}

// isNew reports whether the owner of the group has been seen for less than workReportTime.
func (c *ownerChanges) isNew(now time.Time, group int, owner membership.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.groups[group]
	if known.owner != owner.Name || known.incarnation != owner.Incarnation {
		if c.groups == nil {
			c.groups = map[int]ownerSince{}
		}
		known = ownerSince{owner: owner.Name, incarnation: owner.Incarnation, since: now}
		c.groups[group] = known
	}
	return now.Sub(known.since) < workReportTime
}

// workForOwner returns what this VM has learned about the services of the groups that the owner
// has got lately, at most maxWorkReported classes, those with the most recent answers first.
func (g *Gateway) workForOwner(owner membership.Member) serviceWork {
	now, newGroups := g.now(), map[int]bool{}
	for group := range g.peers.groups() {
		if g.peers.ownerOfGroup(group).Name == owner.Name && g.ownerChanges.isNew(now, group, owner) {
			newGroups[group] = true
		}
	}
	if len(newGroups) == 0 {
		return nil
	}
	return g.localBrokers.work(now, func(service string) bool { return newGroups[g.peers.groupOf(service)] })
}

// work returns what the Brokers have learned about the services for which include is true.
func (b *brokers) work(now time.Time, include func(service string) bool) serviceWork {
	type entry struct {
		service string
		placement.ClassWork
	}
	var entries []entry
	b.mu.Lock()
	for service, broker := range b.services {
		if !include(service) {
			continue
		}
		for _, class := range broker.Work(now) {
			entries = append(entries, entry{service, class})
		}
	}
	b.mu.Unlock()
	slices.SortFunc(entries, func(x, y entry) int {
		return cmp.Or(cmp.Compare(y.Recent, x.Recent), cmp.Compare(x.service, y.service), cmp.Compare(x.Route, y.Route), cmp.Compare(x.Step, y.Step))
	})
	var work serviceWork
	for _, e := range entries[:min(len(entries), maxWorkReported)] {
		if work == nil {
			work = serviceWork{}
		}
		work[e.service] = append(work[e.service], workReport{
			Route: e.Route, Step: e.Step, Micros: uint32(min(math.MaxUint32, max(0, e.Mean.Microseconds()))), Samples: uint8(min(math.MaxUint8, max(0, e.Samples))),
			Recent: uint32(min(math.MaxUint32, max(0, e.Recent))),
		})
	}
	return work
}

// learnWork passes what another VM has learned to the Brokers of the services that this VM owns.
func (g *Gateway) learnWork(now time.Time, work serviceWork) {
	for service, reports := range work {
		if g.peers.ownerOf(service).Name != g.self.Name {
			continue
		}
		list := make([]placement.ClassWork, 0, min(len(reports), maxWorkReported))
		for _, r := range reports[:min(len(reports), maxWorkReported)] {
			list = append(list, placement.ClassWork{
				Class: placement.Class{Route: r.Route, Step: r.Step}, Mean: time.Duration(r.Micros) * time.Microsecond, Samples: int(r.Samples), Recent: int(r.Recent),
			})
		}
		g.owned.withBroker(now, service, func(b *placement.Broker) []placement.Decision {
			b.LearnWork(now, list)
			return nil
		})
	}
}

// observeEstimate records by how much the time of an answered attempt differed from its estimate.
func observeEstimate(outcome placement.Outcome, expected, took time.Duration) {
	if outcome == placement.Answered && expected > 0 {
		estimateErrors.Update(math.Abs(took.Seconds()-expected.Seconds()) / expected.Seconds())
	}
}

var estimateErrors = metrics.GetOrCreateHistogram("lacewing_gateway_work_estimate_error")
