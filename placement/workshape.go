package placement

import "math"

const (
	shapeSteps   = 16    // steps of the distribution, each a factor of the square root of 2, from 1/16 to 16 times the estimate
	shapeDecay   = 0.998 // factor on the counts with each answer; the distribution is that of the last 500
	shapePrior   = 20.0  // answers as which the distribution before any answer counts
	priorSpread  = 0.6   // standard deviation of the logarithm in that distribution; services have 0.3 to 0.8
	leftIfLonger = 0.5   // share of its age that a request has left which is older than any before
)

// workShape holds the distribution of the time that requests take, relative to their estimates.
type workShape struct {
	counts    [shapeSteps]float64
	remaining [shapeSteps]float64 // expected time left at an age, relative to the estimate
	usual     float64             // expected time left of a running request at a random moment
}

func newWorkShape() workShape {
	var s workShape
	total := 0.0
	for i := range s.counts {
		z := math.Log(stepMiddle(i)) / priorSpread
		s.counts[i] = math.Exp(-z * z / 2)
		total += s.counts[i]
	}
	for i := range s.counts {
		s.counts[i] *= shapePrior / total
	}
	s.update()
	return s
}

// stepMiddle returns the ratio in the middle of a step.
func stepMiddle(step int) float64 { return math.Exp2(float64(step-shapeSteps/2)/2 + 0.25) }

// stepOf returns the step of a ratio.
func stepOf(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	return max(0, min(shapeSteps-1, int(math.Floor(2*math.Log2(ratio)))+shapeSteps/2))
}

func (s *workShape) observe(ratio float64) {
	for i := range s.counts {
		s.counts[i] *= shapeDecay
	}
	s.counts[stepOf(ratio)]++
}

// update computes the expected time left at each age.
func (s *workShape) update() {
	sum, squares := 0.0, 0.0
	for i := range s.counts {
		age, beyond, weight := stepMiddle(i), 0.0, 0.0
		for j := i + 1; j < shapeSteps; j++ {
			beyond += s.counts[j] * (stepMiddle(j) - age)
			weight += s.counts[j]
		}
		s.remaining[i] = leftIfLonger * age
		if weight > 0.01 {
			s.remaining[i] = beyond / weight
		}
		sum += s.counts[i] * age
		squares += s.counts[i] * age * age
	}
	s.usual = squares / (2 * sum)
}

// left returns the expected time left of a request of the given age, relative to its estimate.
func (s *workShape) left(age float64) float64 {
	if age <= stepMiddle(0) {
		return max(0, s.remaining[0]+stepMiddle(0)-age)
	}
	return s.remaining[stepOf(age)]
}

// usualLeft returns the expected time left of a running request at a random moment.
func (s *workShape) usualLeft() float64 { return s.usual }
