package gateway

import (
	"maps"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

const (
	earlyCharge       = 64 << 10 // bytes that an early run is charged with: its goroutine, heads and a response body of up to earlyBody
	earlyBody         = 32 << 10
	maxPipelineBudget = 16 << 20 // bytes
	pipelineShare     = 1.0 / 16 // of the memory limit of the process
)

// pipelineBudget bounds what the process holds for requests that are read or run ahead of
// their turn. It is safe for concurrent use.
type pipelineBudget struct {
	limit int64
	used  atomic.Int64
}

// newPipelineBudget returns the budget of a process with the memory limit, in MB; 0 for none.
func newPipelineBudget(memoryMB float64) *pipelineBudget {
	limit := int64(maxPipelineBudget)
	if memoryMB > 0 {
		limit = min(limit, int64(memoryMB*pipelineShare*(1<<20)))
	}
	return &pipelineBudget{limit: limit}
}

func (b *pipelineBudget) hasRoom(n int) bool { return b.used.Load()+int64(n) <= b.limit }

// reserve charges bytes if there is room for them.
func (b *pipelineBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit {
		b.used.Add(-int64(n))
		return false
	}
	pipelinedBytes.Add(float64(n))
	return true
}

// add charges bytes, or gives them back if n is negative.
func (b *pipelineBudget) add(n int) {
	b.used.Add(int64(n))
	pipelinedBytes.Add(float64(n))
}

// earlyRun is a request that runs before its turn on the connection of its caller. It waits for
// its turn with the answer of its server.
type earlyRun struct {
	q       *request
	budget  *pipelineBudget
	charged int                      // bytes of budget; used by the run's goroutine
	turn    chan http.ResponseWriter // gets the writer of the response when the turn comes
	ended   <-chan struct{}          // closed if the turn will never come
	done    chan struct{}            // closed when the run has ended
	begun   bool                     // the turn has come; valid after done
	aborted bool                     // the response is not complete; valid after done
}

// serve runs the request.
func (e *earlyRun) serve() {
	defer func() {
		if cause := recover(); cause != nil {
			e.aborted = true
			if cause != http.ErrAbortHandler {
				e.q.g.log.Error("early run of a request caused a panic", zap.String("request", e.q.caller.RequestID), zap.Any("panic", cause), zap.Stack("stack"))
			}
		}
		if !e.begun {
			pipelinedCancelled.Inc()
		}
		e.budget.add(-e.charged)
		close(e.done)
	}()
	e.q.g.serve(e.q)
}

// deliver gives the run its turn and waits until the response is written.
func (e *earlyRun) deliver(w http.ResponseWriter) {
	e.turn <- w
	<-e.done
	if e.aborted || !e.begun {
		panic(http.ErrAbortHandler) // net/http would send an empty response
	}
}

// isOf reports whether the run is one of the request, as the server has parsed it.
func (e *earlyRun) isOf(r *http.Request) bool {
	return r.Method == e.q.r.Method && r.RequestURI == e.q.r.RequestURI && r.Host == e.q.r.Host && r.Body == http.NoBody &&
		maps.EqualFunc(r.Header, e.q.r.Header, slices.Equal)
}

// reserveBody returns how many bytes of an answer with the length may be read before the turn.
func (e *earlyRun) reserveBody(length int) int {
	if e == nil || length <= earlyBody {
		return length
	}
	if e.budget.reserve(length) {
		e.charged += length
		return length
	}
	return earlyBody
}

// awaitTurn waits until the response to a request that is run early may be written. It reports
// false, after the log line of the request, if the connection ends before.
func (q *request) awaitTurn(status int, reason string) bool {
	if q.early == nil || q.early.begun {
		return true
	}
	select {
	case q.w = <-q.early.turn:
		q.early.begun = true
		return true
	default:
	}
	select {
	case q.w = <-q.early.turn:
		q.early.begun = true
		return true
	case <-q.early.ended:
	}
	q.progress = answerComplete
	q.log(status, reason, nil)
	return false
}

// closeRest gives up the part of an answer that was not read.
func (q *request) closeRest(x *exchange) {
	if x.rest != nil {
		_ = x.conn.Close()
	}
}

var (
	pipelinedRequests   = metrics.GetOrCreateCounter("lacewing_gateway_pipelined_requests_total")
	pipelinedCancelled  = metrics.GetOrCreateCounter("lacewing_gateway_pipelined_cancelled_total")
	pipelinedLimited    = metrics.GetOrCreateCounter("lacewing_gateway_pipelined_limited_total")
	pipelinedMismatches = metrics.GetOrCreateCounter("lacewing_gateway_pipelined_mismatches_total")
	pipelinedBytes      = metrics.GetOrCreateGauge("lacewing_gateway_pipelined_bytes", nil)
)
