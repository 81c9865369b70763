package daemon

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"lacewingmount.dev/timeline"
)

// RecordServerChange puts a change of a backend server on the time line, logs
// and counts it.
func RecordServerChange(log *zap.Logger, events *timeline.Ring, service string, event timeline.Event) {
	events.Add(event)
	log.Info(string(event.Kind), zap.String("service", service), zap.String("server", event.Server), zap.String("reason", event.Reason))
	metrics.GetOrCreateCounter(fmt.Sprintf(`lacewing_server_changes_total{service=%q,kind=%q}`, service, event.Kind)).Inc()
}
