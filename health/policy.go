package health

import (
	"math"
	"time"

	"lacewingmount.dev/config"
)

// Policy holds the settings derived from a partner's questionnaire.
type Policy struct {
	FalseEjections float64 // accepted maximum, per server and day
}

// PolicyFor returns the policy for the partner's main concern: fast detection or
// few false ejections.
func PolicyFor(concern config.Concern) Policy {
	if concern == config.ConcernDetectionTime {
		return Policy{FalseEjections: 0.1}
	}
	return Policy{FalseEjections: 0.001}
}

const (
	// falseAvoidancesPerDay is the accepted number of false avoidances of one
	// server by one VM or zone. They cost little, since the other VMs continue
	// to use the server.
	falseAvoidancesPerDay = 1.0

	minObservationRate = 0.02 // per second and server; sets a lower bound on the threshold
	day                = 24 * time.Hour
)

// threshold returns the sum at which a test raises an alarm. With it, all tests
// together raise at most falseAlarmsPerDay false alarms on a server with rate
// observations per second.
func threshold(falseAlarmsPerDay, rate float64) float64 {
	observations := max(rate, minObservationRate) * day.Seconds()
	return math.Log(float64(testCount) * observations / falseAlarmsPerDay)
}

const (
	// ReportPeriod is the time between two reports while no failure is observed.
	ReportPeriod = time.Second
	// UrgentReportPeriod is the time between two reports after a failure, slow
	// response or drain was observed.
	UrgentReportPeriod = 250 * time.Millisecond
	// VerdictTTL is the validity of a verdict, from the time its report was sent.
	VerdictTTL = 4 * time.Second

	baseEjectionTime      = 10 * time.Second
	maxEjectionTime       = 5 * time.Minute
	ejectionCountDecay    = 5 * time.Minute // in service, until the count of consecutive ejections drops by one
	slowStartDuration     = 10 * time.Second
	slowStartMinWeight    = 0.1 // share of a full server's requests at the start
	minProbationSuccesses = 10  // successful responses that end a probation
	probationRequestRate  = 2.0 // requests per second to a server in probation, from all VMs together

	drainTimeout    = 15 * time.Minute // ends a drain that the health endpoint never showed
	reporterTimeout = time.Minute      // without reports, until the state of a VM is dropped

	probeIdleTime    = time.Second     // a server without any response for this long is probed
	drainProbePeriod = 2 * time.Second // time between two probes of a draining server
	drainEndProbes   = 3               // consecutive successful probes without the drain flag that end a drain
)

// ejectionTime returns the duration of an ejection after the given number of
// consecutive ones. It doubles with each, up to maxEjectionTime.
func ejectionTime(consecutive int) time.Duration {
	return min(baseEjectionTime<<min(consecutive, 10), maxEjectionTime)
}

// ServiceFromConfig converts a configured service to the input of Detector and View.
func ServiceFromConfig(service *config.Service) Service {
	built := Service{Name: service.Name, Floor: service.Floor, Policy: PolicyFor(service.Concern)}
	for _, server := range service.Servers {
		built.Servers = append(built.Servers, Server{Name: server.Name, Zone: server.Zone})
	}
	return built
}
