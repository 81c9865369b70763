package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency       = int64(time.Minute / time.Microsecond) // microseconds; higher latencies are recorded as this value
	latencyPrecision = 3                                     // significant digits
)

// Latency holds the percentiles and the maximum of a latency histogram, in milliseconds.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency, latencyPrecision)
}

func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(min(latency.Microseconds(), maxLatency))
}

func summarize(histogram *hdrhistogram.Histogram) Latency {
	milliseconds := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		P50:  milliseconds(histogram.ValueAtQuantile(50)),
		P99:  milliseconds(histogram.ValueAtQuantile(99)),
		P999: milliseconds(histogram.ValueAtQuantile(99.9)),
		Max:  milliseconds(histogram.Max()),
	}
}
