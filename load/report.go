package load

import (
	"encoding/json"
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

// Report is the result of an experiment.
type Report struct {
	Seed       uint64          `json:"seed"`
	Seconds    float64         `json:"seconds"` // from the start until the last call has ended
	Mixes      []MixReport     `json:"mixes"`
	Accounts   []AccountReport `json:"accounts"`   // of Settings.Accounts, by ascending Share
	Duplicates map[string]int  `json:"duplicates"` // repeated protected requests, by verdict and outcome
	mu         sync.Mutex
	samples    [][targetCount][]sample // by mix and target
}

// MixReport is the result of one mix.
type MixReport struct {
	Name     string       `json:"name"`
	Through  TargetReport `json:"through"`
	Direct   TargetReport `json:"direct"`          // zero without Settings.Direct
	Overhead *Overhead    `json:"added,omitempty"` // nil unless both targets sent complete responses
}

// TargetReport is the result of one mix sent to one target.
type TargetReport struct {
	Sent       int            `json:"sent"`
	Verdicts   map[string]int `json:"verdicts"`
	Refusals   map[string]int `json:"refusals"`   // by outcome and reason
	Throughput float64        `json:"throughput"` // complete responses per second of sending
	Latency    Latency        `json:"latency"`    // of complete responses
}

// Overhead compares requests through the fleet with the same requests sent directly.
// P50 and P99 are differences in milliseconds, their ratios are fleet divided by direct.
type Overhead struct {
	P50             float64 `json:"p50_ms"`
	P99             float64 `json:"p99_ms"`
	P50Ratio        float64 `json:"p50_ratio"`
	P99Ratio        float64 `json:"p99_ratio"`
	ThroughputRatio float64 `json:"throughput_ratio"` // through the fleet divided by direct; 0 for open loops
}

// sample is the result of one request.
type sample struct {
	planned time.Duration // start of the call, from the start of the experiment
	latency time.Duration // from planned until the end of the call
	result  callResult
}

func newReport(settings Settings) *Report {
	return &Report{Seed: settings.Seed, Duplicates: map[string]int{}, samples: make([][targetCount][]sample, len(settings.Mixes))}
}

func (r *Report) add(mix int, to target, s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples[mix][to] = append(r.samples[mix][to], s)
}

func (r *Report) addDuplicate(result callResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Duplicates[string(result.verdict)+" "+result.outcome]++
}

// finish computes the reports from the samples.
func (r *Report) finish(settings Settings) {
	for i := range settings.Mixes {
		r.Mixes = append(r.Mixes, r.mixReport(settings, i))
	}
	r.Accounts = accountReports(settings, r.samples)
}

func (r *Report) mixReport(settings Settings, index int) MixReport {
	mix := &settings.Mixes[index]
	sending := settings.Duration.Std()
	closed := mix.Workers > 0
	if closed && len(settings.Direct) > 0 {
		sending /= time.Duration(targetCount)
	}
	report := MixReport{
		Name:    mixName(mix),
		Through: newTargetReport(r.samples[index][through], sending),
		Direct:  newTargetReport(r.samples[index][direct], sending),
	}
	report.Overhead = overhead(report.Through, report.Direct, closed)
	return report
}

func newTargetReport(samples []sample, sending time.Duration) TargetReport {
	report := TargetReport{Sent: len(samples), Verdicts: map[string]int{}, Refusals: map[string]int{}}
	histogram := newHistogram()
	for _, s := range samples {
		report.Verdicts[string(s.result.verdict)]++
		switch s.result.verdict {
		case verdictWhole:
			record(histogram, s.latency)
		case verdictRefused:
			report.Refusals[s.result.outcome+" "+s.result.detail]++
		}
	}
	report.Throughput = float64(report.Verdicts[string(verdictWhole)]) / sending.Seconds()
	report.Latency = summarize(histogram)
	return report
}

// overhead compares the reports of both targets. It returns nil unless both sent
// complete responses.
func overhead(fleet, direct TargetReport, closed bool) *Overhead {
	if direct.Throughput == 0 || fleet.Throughput == 0 {
		return nil
	}
	difference := &Overhead{
		P50:      fleet.Latency.P50 - direct.Latency.P50,
		P99:      fleet.Latency.P99 - direct.Latency.P99,
		P50Ratio: fleet.Latency.P50 / direct.Latency.P50,
		P99Ratio: fleet.Latency.P99 / direct.Latency.P99,
	}
	if closed {
		difference.ThroughputRatio = fleet.Throughput / direct.Throughput
	}
	return difference
}

// Correct reports whether the fleet sent at least one complete response and none that
// was incomplete or another caller's. Refusals and errors of backend servers are
// allowed.
func (r *Report) Correct() bool {
	return r.count(verdictWrong) == 0 && r.count(verdictBroken) == 0 && r.count(verdictWhole) > 0
}

func (r *Report) count(v verdict) int {
	total := 0
	for _, mix := range r.Mixes {
		total += mix.Through.Verdicts[string(v)]
	}
	return total
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
