package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	highestLatency   = int64(time.Minute / time.Microsecond) // microseconds
	latencyPrecision = 3                                     // significant digits
)

// Latency summarises a histogram, in milliseconds.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// AccountReport counts the requests of one client account.
type AccountReport struct {
	Sent     int            `json:"sent"`
	Verdicts map[string]int `json:"verdicts"`
	Refusals map[string]int `json:"refusals"` // by outcome and reason
	Latency  Latency        `json:"latency"`  // of whole answers
	latency  *hdrhistogram.Histogram
}

// Report is the result of an experiment.
type Report struct {
	Seed       uint64                    `json:"seed"`
	Seconds    float64                   `json:"seconds"`
	Accounts   map[string]*AccountReport `json:"accounts"`
	Duplicates map[string]int            `json:"duplicates"` // second sends of protected requests, by verdict and outcome
	Whole      Latency                   `json:"whole"`
	Direct     Latency                   `json:"direct"`
	mu         sync.Mutex
	whole      *hdrhistogram.Histogram
	direct     *hdrhistogram.Histogram
}

func newReport(settings Settings) *Report {
	report := &Report{Seed: settings.Seed, Accounts: map[string]*AccountReport{}, Duplicates: map[string]int{}, whole: newHistogram(), direct: newHistogram()}
	for _, mix := range settings.Mixes {
		report.Accounts[nameOf(&mix)] = &AccountReport{Verdicts: map[string]int{}, Refusals: map[string]int{}, latency: newHistogram()}
	}
	return report
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency, latencyPrecision)
}

func nameOf(mix *Mix) string {
	if mix.Account == "" {
		return "(open)"
	}
	return mix.Account
}

func (r *Report) add(mix *Mix, end result, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	account := r.Accounts[nameOf(mix)]
	account.Sent++
	account.Verdicts[string(end.verdict)]++
	switch end.verdict {
	case verdictWhole:
		record(account.latency, took)
		record(r.whole, took)
	case verdictRefused:
		account.Refusals[end.outcome+" "+end.detail]++
	}
}

func (r *Report) addDuplicate(end result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Duplicates[string(end.verdict)+" "+end.outcome]++
}

func (r *Report) addDirect(end result, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if end.verdict == verdictWhole {
		record(r.direct, took)
	}
}

func record(histogram *hdrhistogram.Histogram, took time.Duration) {
	_ = histogram.RecordValue(min(took.Microseconds(), highestLatency))
}

// Finish computes the summaries.
func (r *Report) Finish() {
	r.Whole, r.Direct = summarise(r.whole), summarise(r.direct)
	for _, account := range r.Accounts {
		account.Latency = summarise(account.latency)
	}
}

func summarise(histogram *hdrhistogram.Histogram) Latency {
	milliseconds := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		P50: milliseconds(histogram.ValueAtQuantile(50)),
		P99: milliseconds(histogram.ValueAtQuantile(99)),
		Max: milliseconds(histogram.Max()),
	}
}

// Count returns the number of requests with the verdict, duplicates left out.
func (r *Report) Count(wanted string) int {
	total := 0
	for _, account := range r.Accounts {
		total += account.Verdicts[wanted]
	}
	return total
}

// Correct reports whether every answer was whole and the caller's own, or an
// honest refusal.
func (r *Report) Correct() bool {
	return r.Count(string(verdictWrong)) == 0 && r.Count(string(verdictBroken)) == 0 && r.Count(string(verdictWhole)) > 0
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %.1f s\n", r.Seed, r.Seconds)
	for _, name := range sortedKeys(r.Accounts) {
		account := r.Accounts[name]
		fmt.Fprintf(w, "  %-14s sent %5d  %v  refusals %v  p50 %.2f ms  p99 %.2f ms\n",
			name, account.Sent, account.Verdicts, account.Refusals, account.Latency.P50, account.Latency.P99)
	}
	fmt.Fprintf(w, "  duplicates of protected requests: %v\n", r.Duplicates)
	fmt.Fprintf(w, "  through the fleet: p50 %.2f ms, p99 %.2f ms, max %.2f ms\n", r.Whole.P50, r.Whole.P99, r.Whole.Max)
	if r.direct.TotalCount() > 0 {
		fmt.Fprintf(w, "  direct:            p50 %.2f ms, p99 %.2f ms, max %.2f ms\n", r.Direct.P50, r.Direct.P99, r.Direct.Max)
		fmt.Fprintf(w, "  added:             p50 %.2f ms, p99 %.2f ms\n", r.Whole.P50-r.Direct.P50, r.Whole.P99-r.Direct.P99)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// reasonOf returns the reason in a refusal's problem document.
func reasonOf(body []byte) string {
	var problem struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal(body, &problem) != nil {
		return "unreadable"
	}
	return problem.Reason
}
