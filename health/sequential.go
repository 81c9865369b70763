package health

import (
	"math"
	"time"
)

const (
	maxSumThresholds = 4 // thresholds; bounds the sum so that it falls soon after a recovery
	maxVMThresholds  = 2 // thresholds that one VM may contribute to a sum
	sumHalfLife      = 10 * time.Minute
	fadePeriod       = time.Second

	minContradictingRequests = 3   // requests from other zones that can contradict an alarm
	maxDoubtfulThresholds    = 0.5 // thresholds that Counts.Doubtful may contribute to a sum
)

// total accumulates the observations of one server in one test.
type total struct {
	sum     float64 // of the log-likelihood ratios
	squares float64 // of the log-likelihood ratios
	buckets float64 // sum of the latency bucket indexes
	n       float64
}

func (t *total) addRatio(count uint32, ratio float64, bucket int) {
	n := float64(count)
	t.sum += n * ratio
	t.squares += n * ratio * ratio
	t.buckets += n * float64(bucket)
	t.n += n
}

func (t *total) add(other total) {
	t.sum += other.sum
	t.squares += other.squares
	t.buckets += other.buckets
	t.n += other.n
}

func (t total) since(earlier total) total {
	return total{t.sum - earlier.sum, t.squares - earlier.squares, t.buckets - earlier.buckets, t.n - earlier.n}
}

// latency returns the mean latency bucket.
func (t total) latency() float64 { return t.buckets / t.n }

// deviation returns the mean squared distance of the ratios from center.
func (t total) deviation(center float64) float64 {
	return max(t.squares/t.n-2*center*t.sum/t.n+center*center, 0) // rounding errors can give a value below 0
}

// cusum is the state of one sequential test of one server. An excursion begins
// when the sum rises above zero and ends when it falls back to zero.
type cusum struct {
	sum           float64
	n             float64 // observations in the excursion
	doubtfulSum   float64 // part of the sum that came from Counts.Doubtful
	byVM          []float64
	byZone        []float64
	nByZone       []float64 // observations in the excursion, by zone index
	totalsAtStart []total   // of all servers
}

// source holds the indexes of the VM and the availability zone that an
// observation came from.
type source struct {
	vm, zone int
}

// beginExcursion starts an excursion if none is in progress.
func (s *cusum) beginExcursion(totals []total) {
	if s.sum > 0 {
		return
	}
	s.n, s.doubtfulSum = 0, 0
	clear(s.byVM)
	clear(s.byZone)
	clear(s.nByZone)
	s.totalsAtStart = append(s.totalsAtStart[:0], totals...)
}

// add records n observations with the given sum of ratios. One VM contributes at
// most limit to the sum.
func (s *cusum) add(from source, sum, n, limit float64) {
	ofVM := elementAt(&s.byVM, from.vm)
	sum = min(sum, max(limit-*ofVM, 0))
	*ofVM += sum
	*elementAt(&s.byZone, from.zone) += sum
	*elementAt(&s.nByZone, from.zone) += n
	s.sum = max(s.sum+sum, 0)
	s.n += n
}

func elementAt(parts *[]float64, index int) *float64 {
	for len(*parts) <= index {
		*parts = append(*parts, 0)
	}
	return &(*parts)[index]
}

func (s *cusum) scale(by float64) {
	s.sum *= by
	s.n *= by
	s.doubtfulSum *= by
	for i := range s.byVM {
		s.byVM[i] *= by
	}
	for i := range s.byZone {
		s.byZone[i] *= by
		s.nByZone[i] *= by
	}
}

// limit scales the excursion down so that its sum is at most limit.
func (s *cusum) limit(limit float64) {
	if s.sum > limit {
		s.scale(limit / s.sum)
	}
}

// contradictedByOtherZones reports whether the zones other than the largest
// contributor sent enough requests and together show no sign of a failure.
func (s *cusum) contradictedByOtherZones() bool {
	largest := 0
	for zone, sum := range s.byZone {
		if sum > s.byZone[largest] {
			largest = zone
		}
	}
	rest, n := 0.0, 0.0
	for zone, sum := range s.byZone {
		if zone != largest {
			rest, n = rest+sum, n+s.nByZone[zone]
		}
	}
	return n >= minContradictingRequests && rest <= 0
}

// fadeFactor returns the share of a sum that remains after elapsed.
func fadeFactor(elapsed time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / sumHalfLife.Seconds())
}
