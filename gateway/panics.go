package gateway

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// recoverPanic answers a request whose processing has panicked. Package net/http would
// close the connection without an answer. It must be deferred.
func (q *request) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause) // closes the connection on purpose
	}
	requestPanics.Inc()
	q.g.log.Error("request caused a panic", zap.String("request", q.caller.RequestID), zap.String("service", q.service),
		zap.Any("panic", cause), zap.Stack("stack"))
	switch q.progress {
	case answerComplete:
		return
	case answerBegun:
		panic(http.ErrAbortHandler) // the caller must not take the answer for complete
	}
	if q.w != nil {
		clear(q.w.Header()) // of an answer that could not be begun
	}
	status := http.StatusInternalServerError
	if q.mayHaveRun() {
		status = http.StatusBadGateway
	}
	q.refuse(&refusal{status, 0, "panic"})
}

// answerProgress is how much of the answer has been handed to net/http.
type answerProgress int

const (
	noAnswer answerProgress = iota
	answerBegun
	answerComplete
)

var requestPanics = metrics.GetOrCreateCounter("lacewing_gateway_panics_total")
