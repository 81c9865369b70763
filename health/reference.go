package health

import (
	"math"
	"time"
)

const (
	referenceHalfLife = 2 * time.Minute
	uniformPrior      = 1.0   // observations, spread over all buckets, for latencies not seen yet
	tailPrior         = 10.0  // observations, spread above the seen latencies, halving with each bucket
	errorPrior        = 0.002 // expected share of failures before any observation
	errorPriorWeight  = 100.0 // observations that errorPrior counts as
	errorsShift       = 0.10  // increase of the share of failures that testErrors detects
	outageShift       = 0.60  // increase of the share of failures that testOutage detects
	maxRatio          = 4.0   // bound for one observation, so that none raises an alarm alone
	ratiosPeriod      = 250 * time.Millisecond
)

// test identifies one of the sequential tests that run for each server.
type test int

const (
	testErrors  test = iota // errors or stalls on a tenth of the requests
	testOutage              // errors or stalls on most requests
	testSlow                // latency three times that of the reference
	testStalled             // latency nine or more times that of the reference
	testCount
)

func (t test) String() string {
	return [...]string{"errors", "outage", "slow", "stalled"}[t]
}

// reference holds the distribution of request outcomes of one server or of several
// together. Old observations decay.
type reference struct {
	latency  [LatencyBuckets]float64
	answered float64
	failed   float64 // stalled requests included
}

func (r *reference) scale(by float64) {
	for b := range r.latency {
		r.latency[b] *= by
	}
	r.answered *= by
	r.failed *= by
}

// observe records requests of one server. Requests that were cancelled before the
// stall bucket are ignored, since they say little about latency.
func (r *reference) observe(added *Counts, stallBucket int) {
	for b := range LatencyBuckets {
		r.latency[b] += float64(added.Answered[b])
		r.answered += float64(added.Answered[b])
		if b >= stallBucket {
			stalled := float64(added.Pending[b] + added.Doubtful[b])
			r.latency[b] += stalled
			r.failed += stalled
		}
	}
	r.failed += float64(added.Failed)
}

// merge adds another server's observations.
func (r *reference) merge(other *reference) {
	for b := range LatencyBuckets {
		r.latency[b] += other.latency[b]
	}
	r.answered += other.answered
	r.failed += other.failed
}

func (r *reference) errorShare() float64 {
	observations := r.answered + r.failed
	return (r.failed + errorPrior*errorPriorWeight) / (observations + errorPriorWeight)
}

// distribution returns the probability of each latency bucket. With few responses
// it assumes a longer tail than the observed one.
func (r *reference) distribution() [LatencyBuckets]float64 {
	sum := 0.0
	for _, count := range r.latency {
		sum += count
	}
	var q [LatencyBuckets]float64
	tail, total := 0.0, 0.0
	for b, count := range r.latency {
		q[b] = count + tailPrior*tail + uniformPrior/LatencyBuckets
		total += q[b]
		tail = (tail + count/max(sum, 1)) / 2
	}
	for b := range q {
		q[b] /= total
	}
	return q
}

const (
	stallTailShare     = 0.01 // share of the reference's responses above the tail bucket
	stallMarginBuckets = bucketsPerTripling + 1
	minStallBucket     = 5  // starts at 45 ms
	maxStallBucket     = 14 // starts at 6.3 s

	minLatencyAnswers = 20 // responses needed before latency is tested
)

// stallBucket returns the latency bucket from which an unanswered request counts as
// stalled: at least three times the tail of the reference's responses, within
// minStallBucket and maxStallBucket.
func (r *reference) stallBucket() int {
	sum := 0.0
	for _, count := range r.latency {
		sum += count
	}
	if sum < minLatencyAnswers {
		return maxStallBucket
	}
	tail := 0.0
	b := LatencyBuckets - 1
	for ; b > 0 && tail+r.latency[b] <= stallTailShare*sum; b-- {
		tail += r.latency[b]
	}
	return min(max(b+stallMarginBuckets, minStallBucket), maxStallBucket)
}

// ratios are the log-likelihood ratios of one observation in each test.
type ratios struct {
	answered [testCount][LatencyBuckets]float64
	pending  [testCount][LatencyBuckets]float64
	failed   [testCount]float64
}

func newRatios(r *reference, stallBucket int) *ratios {
	built := &ratios{}
	share := r.errorShare()
	built.errors(testErrors, stallBucket, share, share+errorsShift*(1-share))
	built.errors(testOutage, stallBucket, share, share+outageShift*(1-share))
	if r.answered < minLatencyAnswers {
		return built
	}
	q := r.distribution()
	built.latency(testSlow, q, shift(q, bucketsPerTripling))
	built.latency(testStalled, q, mixed(shift(q, 2*bucketsPerTripling), shift(q, 3*bucketsPerTripling)))
	return built
}

// errors sets the ratios of a test of the share of failures. A stalled request
// counts as failed.
func (r *ratios) errors(t test, stallBucket int, share, failing float64) {
	r.failed[t] = clip(math.Log(failing / share))
	success := math.Log((1 - failing) / (1 - share))
	for b := range LatencyBuckets {
		r.answered[t][b] = success
		if b >= stallBucket {
			r.pending[t][b] = r.failed[t]
		}
	}
}

func (r *ratios) latency(t test, q, failing [LatencyBuckets]float64) {
	tail, failingTail := 0.0, 0.0
	for b := LatencyBuckets - 1; b >= 0; b-- {
		tail += q[b]
		failingTail += failing[b]
		r.answered[t][b] = clip(math.Log(failing[b] / q[b]))
		r.pending[t][b] = max(clip(math.Log(failingTail/tail)), 0)
	}
}

// shift moves a distribution up by buckets. A small constant is added to
// every bucket, so that none has probability zero.
func shift(q [LatencyBuckets]float64, buckets int) [LatencyBuckets]float64 {
	var shifted [LatencyBuckets]float64
	sum := 0.0
	for b := range LatencyBuckets {
		shifted[min(b+buckets, LatencyBuckets-1)] += q[b]
	}
	floor := uniformPrior / LatencyBuckets / 1e4
	for b := range LatencyBuckets {
		shifted[b] += floor
		sum += shifted[b]
	}
	for b := range LatencyBuckets {
		shifted[b] /= sum
	}
	return shifted
}

func mixed(p, q [LatencyBuckets]float64) [LatencyBuckets]float64 {
	for b := range LatencyBuckets {
		p[b] = (p[b] + q[b]) / 2
	}
	return p
}

func clip(ratio float64) float64 {
	return min(max(ratio, -maxRatio), maxRatio)
}
