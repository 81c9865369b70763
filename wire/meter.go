package wire

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"lacewingmount.dev/traffic"
)

// meter counts the bytes of all connections between the fleet's own processes.
var meter = traffic.NewMeter("lacewing_wire_sent_bytes_total", "lacewing_wire_received_bytes_total")

// methodCounters counts the calls of one method and the bytes of their message
// bodies.
type methodCounters struct {
	calls, bytes *metrics.Counter
}

// count records one successful call.
func (m *methodCounters) count(request, answer []byte) {
	m.calls.Inc()
	m.bytes.Add(len(request) + len(answer))
}

// methodCounterSet holds the counters of all methods, for calls sent or calls
// served.
type methodCounterSet struct {
	calls, bytes string // names of the metrics
	methods      sync.Map
}

var (
	sentMethods   = &methodCounterSet{calls: "lacewing_wire_sent_calls_total", bytes: "lacewing_wire_sent_body_bytes_total"}
	servedMethods = &methodCounterSet{calls: "lacewing_wire_served_calls_total", bytes: "lacewing_wire_served_body_bytes_total"}
)

// forMethod returns the counters of the method and creates them on first use.
func (m *methodCounterSet) forMethod(method string) *methodCounters {
	if known, ok := m.methods.Load(method); ok {
		return known.(*methodCounters)
	}
	created := &methodCounters{
		calls: metrics.GetOrCreateCounter(fmt.Sprintf("%s{method=%q}", m.calls, method)),
		bytes: metrics.GetOrCreateCounter(fmt.Sprintf("%s{method=%q}", m.bytes, method)),
	}
	known, _ := m.methods.LoadOrStore(method, created)
	return known.(*methodCounters)
}
