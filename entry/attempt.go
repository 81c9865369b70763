package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"lacewingmount.dev/health/probe"
)

const (
	maxHeaderBytes    = 64 << 10
	maxBufferedAnswer = 256 << 10 // larger answers are streamed

	// shedOutcomeHeader marks a 429 or 503 of a backend server that did not run the request.
	shedOutcomeHeader = "X-Not-Run"
)

// Errors of attempts that net/http does not report.
var (
	errShed     = errors.New("the backend server shed the request")
	errUnframed = errors.New("the answer has neither a length nor a digest, so it cannot be known to be whole")
	errSwitched = errors.New("the backend server switched protocols without being asked")
)

// attempt is one try at one backend server.
type attempt struct {
	server    *Server
	lease     *connLease
	ctx       context.Context
	cancel    context.CancelCauseFunc
	started   time.Time
	took      time.Duration
	wrote     atomic.Bool // the whole request
	answer    *http.Response
	source    io.Reader // rest of the body, verified as it is read
	body      []byte    // start of the body, or all of it if complete
	complete  bool
	bodyEnded bool // the body was read to its end
	err       error
	connected bool
	sent      bool // a byte may have reached the server; false as well if it said that it ran nothing
	reused    bool // went over a connection that had served before
	silent    bool // the server gave no byte
	ended     End
}

// newAttempt counts the request at the server until close.
func newAttempt(parent context.Context, server *Server, reuse bool) *attempt {
	server.InFlight.Add(1)
	lease := newConnLease(&server.conns, reuse)
	ctx, cancel := context.WithCancelCause(lease.in(parent))
	return &attempt{server: server, lease: lease, ctx: ctx, cancel: cancel, started: time.Now()}
}

// run sends the request and reads a small answer whole.
func (a *attempt) run(transport http.RoundTripper, request *http.Request) {
	a.err = a.roundTrip(transport, request)
	if a.err == nil {
		a.err = a.readAnswer()
	}
	if a.err != nil {
		a.lease.end(false)
	} else if a.complete {
		a.lease.end(a.reusable())
	}
	a.took = time.Since(a.started)
	state := a.lease.state()
	a.connected = a.lease.connected()
	a.sent = state.sent && !errors.Is(a.err, errShed)
	a.reused, a.silent = state.reused, !state.received
	a.ended = a.classify()
}

func (a *attempt) roundTrip(transport http.RoundTripper, request *http.Request) error {
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) { a.wrote.Store(info.Err == nil) }}
	answer, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(a.ctx, trace)))
	if err != nil {
		return err
	}
	a.answer = answer
	switch {
	case answer.StatusCode < http.StatusOK:
		return errSwitched
	case shed(answer):
		return errShed
	}
	return nil
}

func shed(answer *http.Response) bool {
	refused := answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests
	return refused && answer.Header.Get(shedOutcomeHeader) != ""
}

// readAnswer reads the body whole if it is small, and its start otherwise.
func (a *attempt) readAnswer() error {
	source, err := a.verified()
	if err != nil {
		return err
	}
	a.source = source
	if a.answer.ContentLength > maxBufferedAnswer && a.answer.Request.Method != http.MethodHead {
		return nil
	}
	a.body, err = io.ReadAll(io.LimitReader(source, maxBufferedAnswer+1))
	if err != nil {
		return err
	}
	a.complete = len(a.body) <= maxBufferedAnswer
	a.bodyEnded = a.complete
	return nil
}

// verified returns the body as a reader that fails instead of ending if the
// body is not what the server announced.
func (a *attempt) verified() (io.Reader, error) {
	answer := a.answer
	if answer.Request.Method == http.MethodHead || answer.StatusCode == http.StatusNoContent || answer.StatusCode == http.StatusNotModified {
		return answer.Body, nil
	}
	sums, err := parseContentDigest(answer.Header)
	if err != nil {
		return nil, err
	}
	unframed := answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
	if sums == nil && unframed {
		return nil, errUnframed
	}
	return sums.verify(answer.Body), nil
}

// reusable reports whether the connection may serve another request.
func (a *attempt) reusable() bool {
	return a.bodyEnded && a.wrote.Load() && !a.answer.Close
}

// close gives back the connection and the place at the server.
func (a *attempt) close() {
	a.lease.end(a.err == nil && a.answer != nil && a.reusable())
	a.cancel(context.Canceled)
	if a.answer != nil {
		_ = a.answer.Body.Close()
	}
	a.server.InFlight.Add(-1)
}

// observation says what the attempt tells about its server.
func (a *attempt) observation() Observation {
	observed := Observation{Took: a.took, Reused: a.reused, End: a.ended}
	if observed.End == EndAnswered {
		observed.Status = a.answer.StatusCode
	}
	if a.answer != nil {
		observed.Draining = probe.Draining(a.answer.Header)
	}
	return observed
}

func (a *attempt) classify() End {
	cause := context.Cause(a.ctx)
	switch {
	case a.err == nil:
		return EndAnswered
	case errors.Is(a.err, errShed):
		return EndShed
	case errors.Is(a.err, errNoToken):
		return EndCancelled
	case errors.Is(cause, errDeadline) || errors.Is(cause, errStalled):
		return EndTimedOut
	case cause != nil:
		return EndCancelled
	case !a.connected:
		return EndNotConnected
	default:
		return EndBroken
	}
}
