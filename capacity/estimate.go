package capacity

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Limits are what one VM may spend for control and what the store gives.
type Limits struct {
	CPUShare     float64 // of one core, for an agent
	MemoryBytes  float64 // of an agent
	TrafficBytes float64 // a second, both directions, of an agent
	StoreReads   float64 // a second, each watch counted as one
	StoreWrites  float64 // a second
	StoreValue   float64 // bytes of the largest value
}

// Budget returns the limits of the users' pages.
func Budget() Limits {
	return Limits{CPUShare: 0.012, MemoryBytes: 128e6, TrafficBytes: 21e3, StoreReads: 2000, StoreWrites: 500, StoreValue: 1 << 20}
}

// Row is one figure of one role.
type Row struct {
	Role, Figure string
	Value, Limit float64 // Limit is 0 where none is given
	Unit         string
}

// Fits reports whether the value is within its limit, if there is one.
func (r Row) Fits() bool { return r.Limit == 0 || r.Value <= r.Limit }

// Measures of scripts/slopes.sh that Estimate reads by name.
const (
	measureAgentCPU    = "agent_cpu_us" // microseconds a second
	measureAgentRSS    = "agent_rss_kb"
	measureEntryCPU    = "entry_cpu_us"
	measureEntryRSS    = "entry_rss_kb"
	measureConfigBytes = "config_bytes" // of the stored configuration
	measureConfigValue = "config_largest_value_bytes"
	prefixStoreCalls   = `lacewing_store_calls_total{path="`
	prefixServed       = `lacewing_wire_served_`
)

// callOverheadBytes is what a call carries beside its message bodies: envelopes,
// ids, method and stamps of question and answer.
const callOverheadBytes = 168

// largestInline is the size of the configuration's root, in bytes of base64 text,
// above which it is stored in chunks that are smaller.
const largestInline = (256 << 10) * 4 / 3

// localMethods are called by a VM's own entry, so their bytes stay on the VM.
var localMethods = []string{
	"agent.snapshot", "agent.claim", "agent.settle", "agent.health", "agent.report", "agent.hand-back", "agent.tokens",
}

// writePaths are the store calls that count as writes.
var writePaths = []string{"/v1/compare-and-swap", "/v1/delete", "/v1/lease/grant", "/v1/lease/renew"}

// Estimate returns the figures of each role at a size.
func Estimate(slopes Slopes, size Size, limits Limits) []Row {
	at := func(measure string) float64 { return slopes.value(measure, size) }
	nodes := float64(size.Nodes)
	reads, writes := storeCalls(slopes, size)
	rows := []Row{
		{"entry", "requests", size.Requests / nodes, 0, "/s"},
		{"entry", "processor time", at(measureEntryCPU) / 1e4, 0, "% of a core"},
		{"entry", "memory", at(measureEntryRSS) / 1e3, 0, "MB"},
		{"agent", "processor time", at(measureAgentCPU) / 1e4, 100 * limits.CPUShare, "% of a core"},
		{"agent", "memory", at(measureAgentRSS) / 1e3, limits.MemoryBytes / 1e6, "MB"},
		{"agent", "traffic, both directions", traffic(slopes, size) / 1e3, limits.TrafficBytes / 1e3, "kB/s"},
		{"store", "reads of the fleet", reads * nodes, limits.StoreReads, "/s"},
		{"store", "writes of the fleet", writes * nodes, limits.StoreWrites, "/s"},
		{"store", "configuration", at(measureConfigBytes) / 1e3, 0, "kB"},
		{"store", "largest value", min(at(measureConfigValue), largestInline) / 1e3, limits.StoreValue / 1e3, "kB"},
	}
	return append(rows, messageRows(slopes, size)...)
}

// storeCalls returns one VM's reads and writes a second; a watch counts as one
// read however long it waits.
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

// traffic returns one VM's bytes a second to and from other VMs and the store.
func traffic(slopes Slopes, size Size) float64 {
	total := 0.0
	for _, measure := range []string{
		"lacewing_wire_sent_bytes_total", "lacewing_wire_received_bytes_total",
		"lacewing_store_sent_bytes_total", "lacewing_store_received_bytes_total",
	} {
		total += slopes.value(measure, size)
	}
	for _, method := range localMethods {
		total -= slopes.value(fmt.Sprintf("%sbody_bytes_total{method=%q}", prefixServed, method), size)
		total -= callOverheadBytes * slopes.value(fmt.Sprintf("%scalls_total{method=%q}", prefixServed, method), size)
	}
	return total
}

// messageRows lists what an agent serves, method by method.
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

// WriteText writes the rows as a table; those beyond their limit say so.
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
