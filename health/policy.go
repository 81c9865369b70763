package health

import (
	"math"
	"time"

	"lacewingmount.dev/config"
)

// Policy holds what a partner's answers decide.
type Policy struct {
	FalseEjections float64 // wanted at most, for each server and day
}

// PolicyFor derives the policy from what weighs more for the partner.
func PolicyFor(concern config.Concern) Policy {
	if concern == config.ConcernDetectionTime {
		return Policy{FalseEjections: 0.1}
	}
	return Policy{FalseEjections: 0.001}
}

const (
	// falseAvoidances are the needless avoidances of one server by one VM or
	// zone, for each day. They cost little, since the other VMs stay.
	falseAvoidancesPerDay = 1.0

	minObservationRate = 0.02 // each second and server; bounds the threshold from below
	day                = 24 * time.Hour
)

// threshold returns the sum at which a test raises an alarm, so that all tests
// together raise at most the wanted number of false alarms a day on a server
// with rate observations a second.
func threshold(falseAlarmsPerDay, rate float64) float64 {
	observations := max(rate, minObservationRate) * day.Seconds()
	return math.Log(float64(testCount) * observations / falseAlarmsPerDay)
}

const (
	// ReportPeriod is the time between two reports when nothing is wrong.
	ReportPeriod = time.Second
	// UrgentPeriod is the time between two reports when there is news of trouble.
	UrgentPeriod = 250 * time.Millisecond
	// VerdictLife is how long a verdict holds after the report that it answers was sent.
	VerdictLife = 4 * time.Second

	baseEjectionTime      = 10 * time.Second
	maxEjectionTime       = 5 * time.Minute
	ejectionCountDecay    = 5 * time.Minute // one ejection in a row less after this time in service
	slowStartDuration     = 10 * time.Second
	slowStartMinWeight    = 0.1 // share of requests at the beginning
	minProbationSuccesses = 10  // good answers in probation
	probationRequestRate  = 2.0 // requests a second to a server in probation, from all VMs

	drainTimeout    = 15 * time.Minute // a server that never showed its drain in its health answer
	reporterTimeout = time.Minute      // a VM that is silent for longer starts anew

	probeIdleTime    = time.Second     // a server nobody had an answer from for this long is probed
	drainProbePeriod = 2 * time.Second // between two probes of a draining server
	drainEndProbes   = 3               // in a row without the drain flag end a drain
)

// ejectionTime doubles with each ejection in a row.
func ejectionTime(consecutive int) time.Duration {
	return min(baseEjectionTime<<min(consecutive, 10), maxEjectionTime)
}

// ServiceOf returns what the judgement of a configured service depends on.
func ServiceOf(service *config.Service) Service {
	built := Service{Name: service.Name, Floor: service.Floor, Policy: PolicyFor(service.Concern)}
	for _, server := range service.Servers {
		built.Servers = append(built.Servers, Server{Name: server.Name, Zone: server.Zone})
	}
	return built
}
