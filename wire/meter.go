package wire

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"lacewingmount.dev/traffic"
)

// meter counts the bytes of all connections between the fleet's own processes.
var meter = traffic.NewMeter("lacewing_wire_sent_bytes_total", "lacewing_wire_received_bytes_total")

// methodMeter counts the calls of one method and their message bodies.
type methodMeter struct {
	calls, bytes *metrics.Counter
}

func (m *methodMeter) count(question, answer []byte) {
	m.calls.Inc()
	m.bytes.Add(len(question) + len(answer))
}

// methodMeters returns the meters of one side, by method.
type methodMeters struct {
	calls, bytes string // names of the metrics
	methods      sync.Map
}

var (
	sentMethods   = &methodMeters{calls: "lacewing_wire_sent_calls_total", bytes: "lacewing_wire_sent_body_bytes_total"}
	servedMethods = &methodMeters{calls: "lacewing_wire_served_calls_total", bytes: "lacewing_wire_served_body_bytes_total"}
)

func (m *methodMeters) of(method string) *methodMeter {
	if known, ok := m.methods.Load(method); ok {
		return known.(*methodMeter)
	}
	created := &methodMeter{
		calls: metrics.GetOrCreateCounter(fmt.Sprintf("%s{method=%q}", m.calls, method)),
		bytes: metrics.GetOrCreateCounter(fmt.Sprintf("%s{method=%q}", m.bytes, method)),
	}
	known, _ := m.methods.LoadOrStore(method, created)
	return known.(*methodMeter)
}
