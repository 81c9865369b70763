package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"lacewingmount.dev/requestlog"
)

// log writes the log line that explains how the request ended. Lines about requests
// served at the first attempt are sampled.
func (q *request) log(status int, reason string, err error) {
	took := time.Since(q.arrived)
	countRequest(q.service, status, took)
	if status < http.StatusBadRequest && err == nil && len(q.attempts) == 1 && !q.g.logSampler.allow(q.arrived) {
		return
	}
	fields := make([]zap.Field, 0, 16)
	fields = append(fields, zap.String("request", q.caller.RequestID), zap.Int("status", status), zap.Duration("took", took))
	if q.route != nil {
		rank := q.rank()
		fields = append(fields, zap.String("route", q.route.Name), zap.String("service", q.service), zap.Ints("rank", []int{rank.Account, rank.Route}),
			zap.Uint64("config", q.table.config.Version), zap.Duration("left", time.Until(q.deadline)), zap.Duration("age", q.g.catalogAge()))
	}
	if q.account != nil {
		fields = append(fields, zap.String("account", q.account.Name))
	}
	if reason != "" {
		fields = append(fields, zap.String("reason", reason))
	}
	if q.refused != nil {
		fields = append(fields, zap.String("home", q.refused.Owner), zap.Int("queue", q.refused.Queue),
			zap.Duration("waited", q.refused.Waited), zap.Duration("retry_after", q.refused.RetryAfter))
		if q.refused.AtLimit > 0 {
			fields = append(fields, zap.Int("at_limit", q.refused.AtLimit))
		}
	}
	if len(q.attempts) > 0 {
		fields = append(fields, zap.String("tries", requestlog.FormatAttempts(q.loggedAttempts())))
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	q.g.log.Info(requestlog.RequestMessage, fields...)
}

func (q *request) loggedAttempts() []requestlog.Attempt {
	attempts := make([]requestlog.Attempt, len(q.attempts))
	for i, t := range q.attempts {
		attempts[i] = t.logged
	}
	return attempts
}

func countRequest(service string, status int, took time.Duration) {
	label := "service=" + strconv.Quote(service) // package metrics panics on a label that is not quoted
	metrics.GetOrCreateCounter("lacewing_gateway_requests_total{" + label + `,status="` + strconv.Itoa(status) + `"}`).Inc()
	metrics.GetOrCreateHistogram("lacewing_gateway_request_seconds{" + label + "}").Update(took.Seconds())
}
