package healthbench

import (
	"slices"
	"time"

	"lacewingmount.dev/health"
	"lacewingmount.dev/timeline"
)

// Fault is something that goes wrong with one server of a pool.
type Fault struct {
	Name  string
	Apply func(*Backend)
}

// Faults are the ways in which a server fails.
var Faults = []Fault{
	{"3 times slower", func(s *Backend) { s.Slow = 3 }},
	{"30 times slower", func(s *Backend) { s.Slow = 30 }},
	{"errors on 10%", func(s *Backend) { s.Errors = 0.1 }},
	{"errors on 100%", func(s *Backend) { s.Errors = 1 }},
	{"never answers", func(s *Backend) { s.Hang = true }},
	{"never answers, healthy by its own account", func(s *Backend) { s.Hang, s.Lying = true, true }},
	{"flapping every 5 s, errors on 100%", flap},
}

const flapPeriod = 5 * time.Second

// flap alternates between failing and working.
func flap(s *Backend) {
	s.clock.every(0, 2*flapPeriod, func() { s.Errors = 1 })
	s.clock.every(flapPeriod, 2*flapPeriod, func() { s.Errors = 0 })
}

// Detection is what one run of a fault showed.
type Detection struct {
	Found    bool
	Took     time.Duration // until nine VMs in ten no longer used the server
	Sent     int           // requests sent to the server until then
	Failed   int           // callers' requests that failed while the fault lasted
	Requests int           // callers' requests in that time
	Worst    float64       // share of failed requests of the worst-served client account
	False    int           // ejections of other servers, of path avoidances 1 for each VM
}

const (
	warmUp       = 2 * time.Minute
	faultTime    = 2 * time.Minute
	observeEvery = 250 * time.Millisecond
	outOfService = 0.1 // share of VMs that may still use a server that counts as out
)

// Detect lets a server fail for faultTime and measures what callers met.
func Detect(pool Pool, policy health.Policy, mode Mode, fault Fault, seed uint64) Detection {
	b := New(pool, policy, mode, seed)
	b.Run(warmUp)
	sick := b.Backends[int(seed)%pool.Servers]
	sent, before := sick.Sent, b.Result
	accounts := slices.Clone(b.Result.ByAccount)
	fault.Apply(sick)
	result := Detection{}
	for took := observeEvery; took <= faultTime; took += observeEvery {
		b.Run(observeEvery)
		if !result.Found && b.Usable(sick.index) <= outOfService {
			result.Found, result.Took, result.Sent = true, took, sick.Sent-sent
		}
	}
	result.Failed, result.Requests = b.Result.Failed-before.Failed, b.Result.Requests-before.Requests
	result.Worst = worst(accounts, b.Result.ByAccount)
	result.False = b.falseEjections(b.service.Servers[sick.index].Name)
	return result
}

const fewestRequests = 50 // of an account, for its share of failures to mean anything

func worst(before, after []Count) float64 {
	highest := 0.0
	for i := range after {
		if requests := after[i].Requests - before[i].Requests; requests >= fewestRequests {
			highest = max(highest, float64(after[i].Failed-before[i].Failed)/float64(requests))
		}
	}
	return highest
}

// falseEjections counts the ejections of servers other than the named one. In
// the baselines, that is what each VM does by itself.
func (b *Bench) falseEjections(sick string) int {
	kind := timeline.KindEjected
	if b.Mode != ModeShared {
		kind = timeline.KindPathAvoided
	}
	count := 0
	for _, event := range b.Result.Events {
		if event.Kind == kind && event.Server != sick {
			count++
		}
	}
	return count
}

// FalseEjections runs a pool without faults and returns the ejections of each
// server a day. A baseline's ejections by one VM count for its share of the fleet.
func FalseEjections(pool Pool, policy health.Policy, mode Mode, seed uint64, length time.Duration) float64 {
	b := New(pool, policy, mode, seed)
	b.Run(length)
	count := float64(b.falseEjections(""))
	if mode != ModeShared {
		count /= float64(pool.VMs)
	}
	return count / float64(pool.Servers) / (length.Hours() / 24)
}
