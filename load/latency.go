package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	highestLatency   = int64(time.Minute / time.Microsecond) // microseconds
	latencyPrecision = 3                                     // significant digits
)

// Latency summarises a histogram, in milliseconds.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency, latencyPrecision)
}

func record(histogram *hdrhistogram.Histogram, took time.Duration) {
	_ = histogram.RecordValue(min(took.Microseconds(), highestLatency))
}

func summarise(histogram *hdrhistogram.Histogram) Latency {
	milliseconds := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		P50:  milliseconds(histogram.ValueAtQuantile(50)),
		P99:  milliseconds(histogram.ValueAtQuantile(99)),
		P999: milliseconds(histogram.ValueAtQuantile(99.9)),
		Max:  milliseconds(histogram.Max()),
	}
}
