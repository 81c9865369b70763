package load

import (
	"fmt"
	"io"
	"strings"
)

// WriteText writes the report as text for people. Write errors are ignored.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %.1f s\n", r.Seed, r.Seconds)
	for _, mix := range r.Mixes {
		writeMix(w, mix)
	}
	if len(r.Duplicates) > 0 {
		fmt.Fprintf(w, "  duplicates of protected requests: %s\n", formatCounts(r.Duplicates))
	}
	for i, account := range r.Accounts {
		if i == 0 {
			fmt.Fprintln(w, "  client accounts, worst served first")
		}
		fmt.Fprintf(w, "    %-12s got %5.1f%% of what it was entitled to: sent %d, entitled to %d, served %d, refused within its rate %d\n",
			account.Name, 100*account.Share, account.Sent, account.Entitled, account.Served, account.RefusedWithinRate)
	}
}

func writeMix(w io.Writer, mix MixReport) {
	fmt.Fprintf(w, "  %s\n", mix.Name)
	writeTarget(w, "through", mix.Through)
	if mix.Direct.Sent == 0 {
		return
	}
	writeTarget(w, "direct", mix.Direct)
	if mix.Overhead == nil {
		return
	}
	fmt.Fprintf(w, "    %-8s p50 %+.2f ms (%.1f times), p99 %+.2f ms (%.1f times)",
		"added", mix.Overhead.P50, mix.Overhead.P50Ratio, mix.Overhead.P99, mix.Overhead.P99Ratio)
	if mix.Overhead.ThroughputRatio > 0 {
		fmt.Fprintf(w, ", throughput %.2f of direct", mix.Overhead.ThroughputRatio)
	}
	fmt.Fprintln(w)
}

func writeTarget(w io.Writer, name string, report TargetReport) {
	fmt.Fprintf(w, "    %-8s sent %d: %s; %.1f/s, p50 %.2f ms, p99 %.2f ms, max %.2f ms\n",
		name, report.Sent, formatCounts(report.Verdicts), report.Throughput, report.Latency.P50, report.Latency.P99, report.Latency.Max)
	if len(report.Refusals) > 0 {
		fmt.Fprintf(w, "             refusals: %s\n", formatCounts(report.Refusals))
	}
}

// formatCounts writes a map as "name N, name N", ordered by name.
func formatCounts(m map[string]int) string {
	var parts []string
	for _, name := range sortedKeys(m) {
		parts = append(parts, fmt.Sprintf("%s %d", strings.TrimSpace(name), m[name]))
	}
	return strings.Join(parts, ", ")
}
