package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lacewingmount.dev/daemon/memory"
)

// stallTimeouts limit the time without progress on a connection that is in use.
type stallTimeouts struct {
	callerStallTimeout time.Duration // without a byte from or to the caller
	serverStallTimeout time.Duration // without a byte from or to the backend server; applies also without a deadline
}

const (
	callerStallTimeout = 30 * time.Second
	serverStallTimeout = 60 * time.Second
)

// forwardStage sends the request to a backend server and returns the response to the caller.
type forwardStage struct {
	transport     http.RoundTripper
	settler       *settler
	picker        Picker
	stallTimeouts stallTimeouts
	budgets       perName[*retryBudget] // by service
	latencies     perName[*latencies]   // by route
}

func newForwardStage(picker Picker, settler *settler) *forwardStage {
	return &forwardStage{
		transport:     newTransport(),
		settler:       settler,
		picker:        picker,
		stallTimeouts: stallTimeouts{callerStallTimeout: callerStallTimeout, serverStallTimeout: serverStallTimeout},
		budgets:       perName[*retryBudget]{create: newRetryBudget},
		latencies:     perName[*latencies]{create: func(time.Time) *latencies { return &latencies{} }},
	}
}

// perName holds one value for each name, created on first use.
type perName[T any] struct {
	create func(now time.Time) T
	mu     sync.Mutex
	values map[string]T
}

func (n *perName[T]) get(name string, now time.Time) T {
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
	requestContext := newRequestContext(x)
	defer requestContext.end()
	var body *callerBody
	if x.Body == nil {
		var err error
		if body, err = newCallerBody(x, s.stallTimeouts.callerStallTimeout); err != nil {
			return refuseNotRun(http.StatusBadRequest, ReasonMalformed, err.Error())
		}
	}
	defer body.stop()
	if refusal := s.holdUpload(x, body); refusal != nil {
		return refusal
	}
	d := s.newDispatch(x, requestContext, body)
	last := d.run()
	if last == nil {
		return s.settleRefusal(x, refuseNotRun(http.StatusServiceUnavailable, ReasonNoServer, "no backend server can take the request").retryAfter(time.Second))
	}
	defer last.close()
	if errors.Is(last.err, errNoToken) {
		return s.settleRefusal(x, x.permit.refusal(x.Account))
	}
	if last.err != nil {
		return s.settleRefusal(x, attemptRefusal(last, body, d.sent))
	}
	requestContext.removeDeadline()
	s.deliver(x, d, last)
	return nil
}

// holdUpload charges what a streamed body holds. While the body arrives, the request may be
// ended for others; its server cannot have all of it then.
func (s *forwardStage) holdUpload(x *Exchange, body *callerBody) *Refusal {
	if body == nil {
		return nil
	}
	x.hold.SetPhase(memory.Arriving)
	if x.hold.Reserve(x.Request.Context(), uploadBytes) != nil {
		return refuseNoMemory()
	}
	return nil
}

// attemptRefusal returns the refusal for a request whose last attempt failed.
func attemptRefusal(last *attempt, body *callerBody, sent bool) *Refusal {
	if err := body.readError(); err != nil {
		return callerBodyRefusal(err, sent)
	}
	status, reason := http.StatusBadGateway, ReasonServerFailed
	if last.result == ResultTimedOut {
		status, reason = http.StatusGatewayTimeout, ReasonTimeout
	}
	if sent {
		return refuseUnknown(status, reason, "the backend server gave no whole answer: "+publicErrorText(last.err))
	}
	return refuseNotRun(http.StatusServiceUnavailable, reason, "no backend server took the request").retryAfter(time.Second)
}

// publicErrorText returns the text of an error for callers. Texts of errors from other
// packages are not disclosed.
func publicErrorText(err error) string {
	for _, known := range []error{errUnknownLength, errProtocolSwitch, errDigestMismatch, errDigestSyntax} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "it broke off or came too late"
}

// callerBodyRefusal returns the refusal for a request whose body was not received
// completely and correctly.
func callerBodyRefusal(err error, sent bool) *Refusal {
	status, detail := http.StatusBadRequest, "the body broke off"
	switch {
	case errors.Is(err, errNoMemory) && !sent:
		return refuseNoMemory()
	case errors.Is(err, errCallerStalled):
		status, detail = http.StatusRequestTimeout, errCallerStalled.Error()
	case errors.Is(err, errDigestMismatch):
		detail = errDigestMismatch.Error()
	}
	if sent {
		return refuseUnknown(status, ReasonMalformed, detail)
	}
	return refuseNotRun(status, ReasonMalformed, detail)
}
