package health

import (
	"math"
	"time"
)

const (
	referenceHalfLife = 2 * time.Minute
	uniformPrior      = 1.0   // observations spread over all buckets, for latencies not seen yet
	tailPrior         = 10.0  // observations spread above those seen, half as many in each bucket up
	errorPrior        = 0.002 // share of failures expected before any was seen
	errorPriorWeight  = 100.0 // observations
	errorsShift       = 0.10  // share of failures that testErrors looks for, above the pool's
	outageShift       = 0.60  // likewise testOutage
	maxRatio          = 4.0   // of one observation, so that none decides alone
	ratiosPeriod      = 250 * time.Millisecond
)

// test is one of the sequential tests that each server undergoes.
type test int

const (
	testErrors  test = iota // errors or stalls on a tenth of the requests
	testOutage              // errors or stalls on most requests
	testSlow                // latency three times that of the pool
	testStalled             // latency nine times and more
	testCount
)

func (t test) String() string {
	return [...]string{"errors", "outage", "slow", "stalled"}[t]
}

// reference is how requests end at a server or at the servers of a pool. Old
// observations fade.
type reference struct {
	latency  [Buckets]float64
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

// observe takes in requests of one server. Those that were given up before the
// stall bucket say little about latency and are left out.
func (r *reference) observe(added *Counts, stallBucket int) {
	for b := range Buckets {
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
	for b := range Buckets {
		r.latency[b] += other.latency[b]
	}
	r.answered += other.answered
	r.failed += other.failed
}

func (r *reference) errorShare() float64 {
	observations := r.answered + r.failed
	return (r.failed + errorPrior*errorPriorWeight) / (observations + errorPriorWeight)
}

// distribution returns the probability of each latency bucket. While few
// answers were seen, a longer tail than theirs is assumed.
func (r *reference) distribution() [Buckets]float64 {
	sum := 0.0
	for _, count := range r.latency {
		sum += count
	}
	var q [Buckets]float64
	tail, total := 0.0, 0.0
	for b, count := range r.latency {
		q[b] = count + tailPrior*tail + uniformPrior/Buckets
		total += q[b]
		tail = (tail + count/max(sum, 1)) / 2
	}
	for b := range q {
		q[b] /= total
	}
	return q
}

const (
	stallTailShare     = 0.01 // share of the pool's answers that take longer
	stallMarginBuckets = bucketsPerTripling + 1
	minStallBucket     = 5  // bucket: 45 ms and more
	maxStallBucket     = 14 // bucket: 6.3 s and more

	minLatencyAnswers = 20 // before latency is judged
)

// stall returns the latency bucket from which an unanswered request counts as
// stalled: at least three times the tail of the pool's answers.
func (r *reference) stallBucket() int {
	sum := 0.0
	for _, count := range r.latency {
		sum += count
	}
	if sum < minLatencyAnswers {
		return maxStallBucket
	}
	tail := 0.0
	b := Buckets - 1
	for ; b > 0 && tail+r.latency[b] <= stallTailShare*sum; b-- {
		tail += r.latency[b]
	}
	return min(max(b+stallMarginBuckets, minStallBucket), maxStallBucket)
}

// ratios are the log-likelihood ratios of one observation in each test.
type ratios struct {
	answered [testCount][Buckets]float64
	pending  [testCount][Buckets]float64
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

// errors fills in a test of the share of failures. A request that stalled counts as failed.
func (r *ratios) errors(t test, stallBucket int, share, failing float64) {
	r.failed[t] = clip(math.Log(failing / share))
	success := math.Log((1 - failing) / (1 - share))
	for b := range Buckets {
		r.answered[t][b] = success
		if b >= stallBucket {
			r.pending[t][b] = r.failed[t]
		}
	}
}

func (r *ratios) latency(t test, q, failing [Buckets]float64) {
	tail, failingTail := 0.0, 0.0
	for b := Buckets - 1; b >= 0; b-- {
		tail += q[b]
		failingTail += failing[b]
		r.answered[t][b] = clip(math.Log(failing[b] / q[b]))
		r.pending[t][b] = max(clip(math.Log(failingTail/tail)), 0)
	}
}

// shift moves a distribution up by buckets; its own lowest value fills the bottom.
func shift(q [Buckets]float64, buckets int) [Buckets]float64 {
	var shifted [Buckets]float64
	sum := 0.0
	for b := range Buckets {
		shifted[min(b+buckets, Buckets-1)] += q[b]
	}
	floor := uniformPrior / Buckets / 1e4
	for b := range Buckets {
		shifted[b] += floor
		sum += shifted[b]
	}
	for b := range Buckets {
		shifted[b] /= sum
	}
	return shifted
}

func mixed(p, q [Buckets]float64) [Buckets]float64 {
	for b := range Buckets {
		p[b] = (p[b] + q[b]) / 2
	}
	return p
}

func clip(ratio float64) float64 {
	return min(max(ratio, -maxRatio), maxRatio)
}
