package health

import (
	"math"
	"time"
)

const (
	maxSumThresholds = 4 // times the threshold, so that a recovery is noticed
	maxVMThresholds  = 2 // times the threshold that one VM contributes
	sumHalfLife      = 10 * time.Minute
	fadePeriod       = time.Second

	minContradictingRequests = 3   // requests of other zones
	maxDoubtfulThresholds    = 0.5 // of the threshold that requests on silent connections may fill
)

// total adds up observations of one server in one test.
type total struct {
	sum     float64 // of the ratios
	squares float64 // of the ratios
	buckets float64 // sum of the latency buckets
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

// deviation returns the mean square of the ratios' distance from center.
func (t total) deviation(center float64) float64 {
	return max(t.squares/t.n-2*center*t.sum/t.n+center*center, 0) // rounding may leave less than 0
}

// score is one sequential test of one server. An excursion begins when the sum
// rises above zero and ends when it falls back.
type cusum struct {
	sum           float64
	n             float64 // observations in the excursion
	doubtfulSum   float64 // part of the sum from connections that may have gone silent
	byVM          []float64
	byZone        []float64
	nByZone       []float64 // observations in the excursion, by zone
	totalsAtStart []total   // of all servers, when the excursion began
}

// part names the VM and the availability zone that an observation came from.
type source struct {
	vm, zone int
}

// begin starts an excursion if there is none.
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

// add takes in n observations with the given sum of ratios. No VM contributes
// more than its limit.
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

// limit keeps the sum below limit.
func (s *cusum) limit(limit float64) {
	if s.sum > limit {
		s.scale(limit / s.sum)
	}
}

// contradicted reports whether the zones besides the one that complains loudest
// found the server well.
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

// fadeFactor is what is left of a score after elapsed.
func fadeFactor(elapsed time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / sumHalfLife.Seconds())
}
