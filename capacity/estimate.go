package capacity

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Limits holds the resources that the agent of one VM may use, and the limits of the
// store for the whole fleet.
type Limits struct {
	CPUShare     float64 // processor time of an agent, as a share of one core
	MemoryBytes  float64 // resident memory of an agent
	TrafficBytes float64 // bytes per second of an agent, both directions together
	StoreReads   float64 // per second; a watch counts as one read
	StoreWrites  float64 // per second
	StoreValue   float64 // maximum size of a value, in bytes
}

// RequiredLimits returns the limits that the users' requirements set.
func RequiredLimits() Limits {
	return Limits{CPUShare: 0.012, MemoryBytes: 128e6, TrafficBytes: 21e3, StoreReads: 2000, StoreWrites: 500, StoreValue: 1 << 20}
}

// Row is one estimated figure of one role, in Unit.
type Row struct {
	Role, Figure string
	Value, Limit float64 // Limit is 0 if there is none
	Unit         string
}

// Fits reports whether the value is within its limit, if there is one.
func (r Row) Fits() bool { return r.Limit == 0 || r.Value <= r.Limit }

// Names, or prefixes of names, of the measures in the output of scripts/slopes.sh.
const (
	measureAgentCPU    = "agent_cpu_us" // microseconds per second
	measureAgentRSS    = "agent_rss_kb"
	measureEntryCPU    = "entry_cpu_us"
	measureEntryRSS    = "entry_rss_kb"
	measureConfigBytes = "config_bytes" // size of the stored configuration
	measureConfigValue = "config_largest_value_bytes"
	prefixStoreCalls   = `lacewing_store_calls_total{path="`
	prefixServed       = `lacewing_wire_served_`
)

// callOverheadBytes is the number of bytes of a call in addition to the two message
// bodies: envelopes, ids, method name and stamps of the request and the response.
const callOverheadBytes = 168

// maxInlineRootBytes is the maximum size of the configuration's root with its chunks
// inline, in bytes of base64 text. A larger configuration stores its chunks as separate
// values, each of which is smaller.
const maxInlineRootBytes = (256 << 10) * 4 / 3

// localMethods are the methods that only the entry of the same VM calls, so that
// their bytes are not network traffic.
var localMethods = []string{
	"agent.snapshot", "agent.claim", "agent.settle", "agent.health", "agent.report", "agent.hand-back", "agent.tokens",
}

// writePaths are the paths of the store calls that count as writes.
var writePaths = []string{"/v1/compare-and-swap", "/v1/delete", "/v1/lease/grant", "/v1/lease/renew"}

// Estimate returns the estimated figures of each role for a size, with the limits.
func Estimate(slopes Slopes, size Size, limits Limits) []Row {
	estimate := func(measure string) float64 { return slopes.value(measure, size) }
	nodes := float64(size.Nodes)
	reads, writes := storeCalls(slopes, size)
	rows := []Row{
		{"entry", "requests", size.Requests / nodes, 0, "/s"},
		{"entry", "processor time", estimate(measureEntryCPU) / 1e4, 0, "% of a core"},
		{"entry", "memory", estimate(measureEntryRSS) / 1e3, 0, "MB"},
		{"agent", "processor time", estimate(measureAgentCPU) / 1e4, 100 * limits.CPUShare, "% of a core"},
		{"agent", "memory", estimate(measureAgentRSS) / 1e3, limits.MemoryBytes / 1e6, "MB"},
		{"agent", "traffic, both directions", traffic(slopes, size) / 1e3, limits.TrafficBytes / 1e3, "kB/s"},
		{"store", "reads of the fleet", reads * nodes, limits.StoreReads, "/s"},
		{"store", "writes of the fleet", writes * nodes, limits.StoreWrites, "/s"},
		{"store", "configuration", estimate(measureConfigBytes) / 1e3, 0, "kB"},
		{"store", "largest value", min(estimate(measureConfigValue), maxInlineRootBytes) / 1e3, limits.StoreValue / 1e3, "kB"},
	}
	return append(rows, messageRows(slopes, size)...)
}

// storeCalls returns the reads and writes per second of one VM. A watch counts as one
// read, no matter how long it waits.
func storeCalls(slopes Slopes, size Size) (reads, writes float64) {
	for measure := range slopes.Measures {
		path, ok := strings.CutPrefix(measure, prefixStoreCalls)
		if !ok {
			continue
		}
		calls := max(0, slopes.value(measure, size))
		if slices.Contains(writePaths, strings.TrimSuffix(path, `"}`)) {
			writes += calls
		} else {
			reads += calls
		}
	}
	return reads, writes
}

// traffic returns the bytes per second that one VM exchanges with other VMs and the
// store.
func traffic(slopes Slopes, size Size) float64 {
	sum := 0.0
	for _, measure := range []string{
		"lacewing_wire_sent_bytes_total", "lacewing_wire_received_bytes_total",
		"lacewing_store_sent_bytes_total", "lacewing_store_received_bytes_total",
	} {
		sum += slopes.value(measure, size)
	}
	for _, method := range localMethods {
		sum -= slopes.value(fmt.Sprintf("%sbody_bytes_total{method=%q}", prefixServed, method), size)
		sum -= callOverheadBytes * slopes.value(fmt.Sprintf("%scalls_total{method=%q}", prefixServed, method), size)
	}
	return sum
}

// messageRows returns the calls and the message bytes that an agent serves, for each
// method.
func messageRows(slopes Slopes, size Size) []Row {
	var rows []Row
	for _, measure := range slices.Sorted(maps.Keys(slopes.Measures)) {
		method, ok := strings.CutPrefix(measure, prefixServed+`calls_total{method="`)
		if !ok {
			continue
		}
		method = strings.TrimSuffix(method, `"}`)
		bytes := slopes.value(fmt.Sprintf("%sbody_bytes_total{method=%q}", prefixServed, method), size)
		rows = append(rows,
			Row{"agent serves " + method, "calls", slopes.value(measure, size), 0, "/s"},
			Row{"agent serves " + method, "message bodies", bytes / 1e3, 0, "kB/s"})
	}
	return rows
}

// WriteText writes the rows as a table and marks those that exceed their limit.
func WriteText(w io.Writer, rows []Row) {
	for _, row := range rows {
		verdict := ""
		switch {
		case !row.Fits():
			verdict = fmt.Sprintf("DOES NOT FIT %.4g", row.Limit)
		case row.Limit > 0:
			verdict = fmt.Sprintf("fits %.4g", row.Limit)
		}
		line := fmt.Sprintf("%-30s %-26s %12.4g %-12s %s", row.Role, row.Figure, row.Value, row.Unit, verdict)
		fmt.Fprintln(w, strings.TrimRight(line, " "))
	}
}
