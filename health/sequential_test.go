package health

import "testing"

func TestDeviationOfEqualRatios(t *testing.T) {
	// Rounding errors in sums of equal ratios gave a variance just below zero. The
	// square root of it is NaN, so a server with errors on a tenth of its requests
	// stayed in service.
	for n := uint32(1); n < 500; n++ {
		var sum total
		sum.addRatio(n, -0.1053, 0)
		if got := sum.deviation(sum.sum / sum.n); !(got >= 0 && got < 1e-9) {
			t.Fatalf("deviation of %d equal ratios is %g", n, got)
		}
	}
}
