package placement

import "time"

const (
	initialLatency     = 500 * time.Millisecond // mean latency of a service that has not answered yet
	meanWeight         = 0.02                   // weight of the newest answer in the mean latency
	highQuantile       = 0.98                   // quantile that the high latency estimates
	highQuantileStep   = 0.2                    // step of the high latency per answer, as a share of the mean latency
	fastFailureDivisor = 30                     // a failure within 1/30 of the high latency came too early to be a result of processing the request
	minFastFailure     = 10 * time.Millisecond  // two network crossings between availability zones
	maxFastFailure     = 60 * time.Millisecond  // upper bound; failing servers answer within 5 ms
)

// latencyEstimate estimates how long a service's answers take. The requests to one
// service differ widely, so the mean is used for throughput and a high quantile to
// detect failures.
type latencyEstimate struct {
	mean, high float64 // seconds
}

func newLatencyEstimate() latencyEstimate {
	return latencyEstimate{mean: initialLatency.Seconds(), high: 4 * initialLatency.Seconds()}
}

func (e *latencyEstimate) observe(took time.Duration) {
	seconds := took.Seconds()
	e.mean += meanWeight * (seconds - e.mean)
	if seconds > e.high {
		e.high += highQuantileStep * e.mean * highQuantile
		return
	}
	e.high = max(e.mean, e.high-highQuantileStep*e.mean*(1-highQuantile))
}

func (e *latencyEstimate) meanLatency() time.Duration {
	return time.Duration(e.mean * float64(time.Second))
}

// fastFailureLimit returns the time within which a failure is too early to be a
// result of processing the request.
func (e *latencyEstimate) fastFailureLimit() time.Duration {
	return min(maxFastFailure, max(minFastFailure, time.Duration(e.high*float64(time.Second))/fastFailureDivisor))
}

// overdueLimit returns the time after which an answer is no longer expected.
func (e *latencyEstimate) overdueLimit() time.Duration {
	return max(minOverdue, time.Duration(overdueFactor*e.high*float64(time.Second)))
}
