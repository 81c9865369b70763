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
	Seconds    float64         `json:"seconds"`
	Mixes      []MixReport     `json:"mixes"`
	Accounts   []AccountReport `json:"accounts"`   // of Settings.Accounts, worst served first
	Duplicates map[string]int  `json:"duplicates"` // second sends of protected requests, by verdict and outcome
	mu         sync.Mutex
	samples    [][ways][]sample // by mix
}

// MixReport is what became of one mix.
type MixReport struct {
	Name    string    `json:"name"`
	Through WayReport `json:"through"`
	Direct  WayReport `json:"direct"`          // zero without Settings.Direct
	Added   *Added    `json:"added,omitempty"` // nil unless both ways have whole answers
}

// WayReport is what became of one mix sent one way.
type WayReport struct {
	Sent       int            `json:"sent"`
	Verdicts   map[string]int `json:"verdicts"`
	Refusals   map[string]int `json:"refusals"`   // by outcome and reason
	Throughput float64        `json:"throughput"` // whole answers per second of sending
	Latency    Latency        `json:"latency"`    // of whole answers
}

// Added compares the fleet with the same requests sent directly.
type Added struct {
	P50             float64 `json:"p50_ms"`
	P99             float64 `json:"p99_ms"`
	P50Ratio        float64 `json:"p50_ratio"`
	P99Ratio        float64 `json:"p99_ratio"`
	ThroughputRatio float64 `json:"throughput_ratio"` // through over direct; 0 for open loops
}

// sample is one request and its end.
type sample struct {
	planned time.Duration // from the start of the experiment
	took    time.Duration
	end     result
}

func newReport(settings Settings) *Report {
	return &Report{Seed: settings.Seed, Duplicates: map[string]int{}, samples: make([][ways][]sample, len(settings.Mixes))}
}

func (r *Report) add(mix int, by way, taken sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples[mix][by] = append(r.samples[mix][by], taken)
}

func (r *Report) addDuplicate(end result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Duplicates[string(end.verdict)+" "+end.outcome]++
}

// finish computes the summaries.
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
		sending /= time.Duration(ways)
	}
	report := MixReport{
		Name:    nameOf(mix),
		Through: newWayReport(r.samples[index][through], sending),
		Direct:  newWayReport(r.samples[index][direct], sending),
	}
	report.Added = compare(report.Through, report.Direct, closed)
	return report
}

func newWayReport(samples []sample, sending time.Duration) WayReport {
	report := WayReport{Sent: len(samples), Verdicts: map[string]int{}, Refusals: map[string]int{}}
	latency := newHistogram()
	for _, taken := range samples {
		report.Verdicts[string(taken.end.verdict)]++
		switch taken.end.verdict {
		case verdictWhole:
			record(latency, taken.took)
		case verdictRefused:
			report.Refusals[taken.end.outcome+" "+taken.end.detail]++
		}
	}
	report.Throughput = float64(report.Verdicts[string(verdictWhole)]) / sending.Seconds()
	report.Latency = summarise(latency)
	return report
}

// compare returns nil unless both ways have whole answers.
func compare(fleet, alone WayReport, closed bool) *Added {
	if alone.Throughput == 0 || fleet.Throughput == 0 {
		return nil
	}
	added := &Added{
		P50:      fleet.Latency.P50 - alone.Latency.P50,
		P99:      fleet.Latency.P99 - alone.Latency.P99,
		P50Ratio: fleet.Latency.P50 / alone.Latency.P50,
		P99Ratio: fleet.Latency.P99 / alone.Latency.P99,
	}
	if closed {
		added.ThroughputRatio = fleet.Throughput / alone.Throughput
	}
	return added
}

// Correct reports whether every answer through the fleet was whole and the
// caller's own, or an honest refusal, and at least one was whole.
func (r *Report) Correct() bool {
	return r.count(verdictWrong) == 0 && r.count(verdictBroken) == 0 && r.count(verdictWhole) > 0
}

func (r *Report) count(wanted verdict) int {
	total := 0
	for _, mix := range r.Mixes {
		total += mix.Through.Verdicts[string(wanted)]
	}
	return total
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
