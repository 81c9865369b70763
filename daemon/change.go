package daemon

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"lacewingmount.dev/timeline"
)

// RecordServerChange records a state change of a backend server as an event in
// events, as a log line and in the metric lacewing_server_changes_total.
func RecordServerChange(log *zap.Logger, events *timeline.Ring, service string, event timeline.Event) {
	events.Add(event)
	log.Info(string(event.Kind), zap.String("service", service), zap.String("server", event.Server), zap.String("reason", event.Reason))
	metrics.GetOrCreateCounter(fmt.Sprintf(`lacewing_server_changes_total{service=%q,kind=%q}`, service, event.Kind)).Inc()
}
