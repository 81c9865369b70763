package healthbench

import (
	"slices"
	"time"

	"lacewingmount.dev/health"
	"lacewingmount.dev/timeline"
)

// Fault is a fault to inject into one server of a pool.
type Fault struct {
	Name  string
	Apply func(*Backend)
}

// Faults lists the faults that are compared.
var Faults = []Fault{
	{"3 times slower", func(s *Backend) { s.Slow = 3 }},
	{"30 times slower", func(s *Backend) { s.Slow = 30 }},
	{"errors on 10%", func(s *Backend) { s.Errors = 0.1 }},
	{"errors on 100%", func(s *Backend) { s.Errors = 1 }},
	{"never answers", func(s *Backend) { s.Hang = true }},
	{"never answers, healthy by its own account", func(s *Backend) { s.Hang, s.HealthCheckPasses = true, true }},
	{"flapping every 5 s, errors on 100%", startFlapping},
}

const flapPeriod = 5 * time.Second

// startFlapping makes the server alternate between failing every request and
// working, flapPeriod each.
func startFlapping(s *Backend) {
	s.clock.every(0, 2*flapPeriod, func() { s.Errors = 1 })
	s.clock.every(flapPeriod, 2*flapPeriod, func() { s.Errors = 0 })
}

// Detection is the result of one run with a fault.
type Detection struct {
	Found             bool
	Took              time.Duration // until at most outOfServiceShare of the VMs used the server
	Sent              int           // requests sent to the server after the fault until then
	Failed            int           // callers' requests that failed while the fault lasted
	Requests          int           // callers' requests in that time
	WorstFailureShare float64       // highest fraction of failed requests of a client account
	FalseEjections    int           // ejections of other servers; in the baselines each VM counts separately
}

const (
	warmUp            = 2 * time.Minute
	faultTime         = 2 * time.Minute
	observeInterval   = 250 * time.Millisecond
	outOfServiceShare = 0.1 // a server is out of service if at most this fraction of VMs use it
)

// Detect injects fault into one server for faultTime and returns how fast it was
// detected and how many callers' requests failed.
func Detect(pool Pool, policy health.Policy, mode Mode, fault Fault, seed uint64) Detection {
	b := New(pool, policy, mode, seed)
	b.Run(warmUp)
	failing := b.Backends[int(seed)%pool.Servers]
	sent, before := failing.Sent, b.Result
	accounts := slices.Clone(b.Result.ByAccount)
	fault.Apply(failing)
	result := Detection{}
	for took := observeInterval; took <= faultTime; took += observeInterval {
		b.Run(observeInterval)
		if !result.Found && b.Usable(failing.index) <= outOfServiceShare {
			result.Found, result.Took, result.Sent = true, took, failing.Sent-sent
		}
	}
	result.Failed, result.Requests = b.Result.Failed-before.Failed, b.Result.Requests-before.Requests
	result.WorstFailureShare = highestFailureShare(accounts, b.Result.ByAccount)
	result.FalseEjections = b.falseEjections(b.service.Servers[failing.index].Name)
	return result
}

const minRequests = 50 // accounts with fewer requests are ignored, as their failure fraction is too uncertain

func highestFailureShare(before, after []RequestCount) float64 {
	highest := 0.0
	for i := range after {
		if requests := after[i].Requests - before[i].Requests; requests >= minRequests {
			highest = max(highest, float64(after[i].Failed-before[i].Failed)/float64(requests))
		}
	}
	return highest
}

// falseEjections counts the ejections of servers other than the named one. In the
// baselines it counts the path avoidances, which each VM decides for itself.
func (b *Bench) falseEjections(failing string) int {
	kind := timeline.KindEjected
	if b.Mode != ModeShared {
		kind = timeline.KindPathAvoided
	}
	count := 0
	for _, event := range b.Result.Events {
		if event.Kind == kind && event.Server != failing {
			count++
		}
	}
	return count
}

// FalseEjections runs a pool without faults for length and returns the ejections
// per server and day. In the baselines, an ejection by one VM counts as 1/pool.VMs.
func FalseEjections(pool Pool, policy health.Policy, mode Mode, seed uint64, length time.Duration) float64 {
	b := New(pool, policy, mode, seed)
	b.Run(length)
	count := float64(b.falseEjections(""))
	if mode != ModeShared {
		count /= float64(pool.VMs)
	}
	return count / float64(pool.Servers) / (length.Hours() / 24)
}
