package health

import "testing"

func TestDeviationOfEqualRatios(t *testing.T) {
	// Sums of equal ratios once left a variance just below zero, whose square
	// root kept a server with errors on a tenth of its requests in service.
	for n := uint32(1); n < 500; n++ {
		var sum total
		sum.addRatio(n, -0.1053, 0)
		if got := sum.deviation(sum.sum / sum.n); !(got >= 0 && got < 1e-9) {
			t.Fatalf("deviation of %d equal ratios is %g", n, got)
		}
	}
}
