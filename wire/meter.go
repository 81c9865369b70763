package wire

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"lacewingmount.dev/traffic"
)

// meter counts the bytes of all connections between the fleet's own processes.
var meter = traffic.NewMeter("wire")

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
	side    string // "sent" or "served"
	methods sync.Map
}

var (
	sentMethods   = &methodMeters{side: "sent"}
	servedMethods = &methodMeters{side: "served"}
)

func (m *methodMeters) of(method string) *methodMeter {
	if known, ok := m.methods.Load(method); ok {
		return known.(*methodMeter)
	}
	created := &methodMeter{
		calls: metrics.GetOrCreateCounter(fmt.Sprintf("lacewing_wire_%s_calls_total{method=%q}", m.side, method)),
		bytes: metrics.GetOrCreateCounter(fmt.Sprintf("lacewing_wire_%s_body_bytes_total{method=%q}", m.side, method)),
	}
	known, _ := m.methods.LoadOrStore(method, created)
	return known.(*methodMeter)
}
