package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// limits bound how long nothing may happen on a connection in use.
type limits struct {
	callerProgress time.Duration // for a byte from or to the caller
	serverProgress time.Duration // for a byte from or to the backend server, without a deadline
}

const (
	callerProgress = 30 * time.Second
	serverProgress = 60 * time.Second
)

// forwardStage sends the request to a backend server and delivers the answer.
type forwardStage struct {
	transport http.RoundTripper
	claimer   Claimer
	picker    Picker
	limits    limits
	budgets   named[*retryBudget] // by service
	latencies named[*latencies]   // by route
}

func newForwardStage(picker Picker, claimer Claimer) *forwardStage {
	return &forwardStage{
		transport: newTransport(),
		claimer:   claimer,
		picker:    picker,
		limits:    limits{callerProgress: callerProgress, serverProgress: serverProgress},
		budgets:   named[*retryBudget]{create: newRetryBudget},
		latencies: named[*latencies]{create: func(time.Time) *latencies { return &latencies{} }},
	}
}

// named holds one value for each name, made on first use.
type named[T any] struct {
	create func(now time.Time) T
	mu     sync.Mutex
	values map[string]T
}

func (n *named[T]) of(name string, now time.Time) T {
	n.mu.Lock()
	defer n.mu.Unlock()
	value, ok := n.values[name]
	if !ok {
		if n.values == nil {
			n.values = map[string]T{}
		}
		value = n.create(now)
		n.values[name] = value
	}
	return value
}

func (*forwardStage) Name() string { return "forward" }

func (s *forwardStage) Serve(x *Exchange) *Refusal {
	work := newWork(x)
	defer work.end()
	var body *callerBody
	if x.Body == nil {
		var err error
		if body, err = newCallerBody(x, s.limits.callerProgress); err != nil {
			return notRun(http.StatusBadRequest, ReasonMalformed, err.Error())
		}
	}
	defer body.stop()
	d := s.newDispatch(x, work, body)
	last := d.run()
	if last == nil {
		return s.finish(x, notRun(http.StatusServiceUnavailable, ReasonNoServer, "no backend server can take the request").after(time.Second))
	}
	defer last.close()
	if errors.Is(last.err, errNoToken) {
		return s.finish(x, x.permit.refusal(x.Account))
	}
	if last.err != nil {
		return s.finish(x, refusalFor(last, body, d.sent))
	}
	work.lift()
	s.deliver(x, d, last)
	return nil
}

// refusalFor says why a request was not answered and whether it may have run.
func refusalFor(last *attempt, body *callerBody, sent bool) *Refusal {
	if err := body.fault(); err != nil {
		return callerFault(err, sent)
	}
	status, reason := http.StatusBadGateway, ReasonServerFailed
	if last.ended == EndTimedOut {
		status, reason = http.StatusGatewayTimeout, ReasonTimeout
	}
	if sent {
		return unknown(status, reason, "the backend server gave no whole answer: "+reasonText(last.err))
	}
	return notRun(http.StatusServiceUnavailable, reason, "no backend server took the request").after(time.Second)
}

// reasonText tells a caller only about errors of our own.
func reasonText(err error) string {
	for _, known := range []error{errUnframed, errSwitched, errDigest, errDigestSyntax} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "it broke off or came too late"
}

// callerFault refuses a request whose own body is not whole.
func callerFault(err error, sent bool) *Refusal {
	status, detail := http.StatusBadRequest, "the body broke off"
	switch {
	case errors.Is(err, errCallerStalled):
		status, detail = http.StatusRequestTimeout, errCallerStalled.Error()
	case errors.Is(err, errDigest):
		detail = errDigest.Error()
	}
	if sent {
		return unknown(status, ReasonMalformed, detail)
	}
	return notRun(status, ReasonMalformed, detail)
}
