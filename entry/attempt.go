package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/health/probe"
)

const (
	maxHeaderBytes      = 64 << 10  // of a request or response
	maxBufferedResponse = 256 << 10 // bytes; larger responses are streamed

	// notRunHeader is set by a backend server on a 429 or 503 response if it did not run
	// the request.
	notRunHeader = "X-Not-Run"
)

// Errors of attempts that net/http does not detect.
var (
	errShed           = errors.New("the backend server shed the request")
	errUnknownLength  = errors.New("the answer has neither a length nor a digest, so it cannot be known to be whole")
	errProtocolSwitch = errors.New("the backend server switched protocols without being asked")
)

// attempt is one attempt to get a response from one backend server.
type attempt struct {
	server         *Server
	lease          *connLease
	ctx            context.Context
	cancel         context.CancelCauseFunc
	started        time.Time
	elapsed        time.Duration
	requestWritten atomic.Bool // the request was sent completely
	response       *http.Response
	bodyReader     io.Reader    // the rest of the body; verifies the digest
	body           []byte       // the start of the body, or all of it if complete
	complete       bool         // body is the complete body
	hold           *daemon.Hold // of the request; charged for body
	charged        int          // bytes that hold is charged with for body
	bodyRead       bool         // the body was read to its end
	err            error
	connected      bool
	sent           bool // a byte may have reached the server; false if the server shed the request
	reused         bool // used a connection that had served an earlier request
	noBytes        bool // no byte was received
	result         Result
}

// newAttempt returns an attempt that counts in Server.InFlight until it is closed.
func newAttempt(parent context.Context, server *Server, reuse bool, hold *daemon.Hold) *attempt {
	server.InFlight.Add(1)
	lease := newConnLease(&server.conns, reuse)
	ctx, cancel := context.WithCancelCause(lease.newContext(parent))
	return &attempt{server: server, lease: lease, ctx: ctx, cancel: cancel, started: time.Now(), hold: hold}
}

// run sends the request and reads the response, up to maxBufferedResponse of its body.
func (a *attempt) run(transport http.RoundTripper, request *http.Request) {
	a.err = a.roundTrip(transport, request)
	if a.err == nil {
		a.err = a.readResponse()
	}
	if a.err != nil {
		a.lease.end(false)
	} else if a.complete {
		a.lease.end(a.connReusable())
	}
	a.elapsed = time.Since(a.started)
	state := a.lease.state()
	a.connected = a.lease.connected()
	a.sent = state.sent && !errors.Is(a.err, errShed)
	a.reused, a.noBytes = state.reused, !state.received
	a.result = a.classify()
}

func (a *attempt) roundTrip(transport http.RoundTripper, request *http.Request) error {
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) { a.requestWritten.Store(info.Err == nil) }}
	response, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(a.ctx, trace)))
	if err != nil {
		return err
	}
	a.response = response
	switch {
	case response.StatusCode < http.StatusOK:
		return errProtocolSwitch
	case wasShed(response):
		return errShed
	}
	return nil
}

// wasShed reports whether the server rejected the request without running it.
func wasShed(response *http.Response) bool {
	refused := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	return refused && response.Header.Get(notRunHeader) != ""
}

// readResponse reads the complete body if it has at most maxBufferedResponse bytes and there
// is memory for it.
// Otherwise it reads the start of the body, or nothing if the length is announced.
func (a *attempt) readResponse() error {
	bodyReader, err := a.verifiedBody()
	if err != nil {
		return err
	}
	a.bodyReader = bodyReader
	if a.response.ContentLength > maxBufferedResponse && a.response.Request.Method != http.MethodHead {
		return nil
	}
	length := a.response.ContentLength
	if a.response.Body == http.NoBody || a.response.Request.Method == http.MethodHead {
		length = 0
	}
	a.body, a.complete, a.charged, err = a.hold.ReadPart(bodyReader, length, maxBufferedResponse)
	if err != nil {
		return err
	}
	a.bodyRead = a.complete
	return nil
}

// verifiedBody returns a reader of the body that fails at the end if the body does not
// match the length or digest that the server announced.
func (a *attempt) verifiedBody() (io.Reader, error) {
	response := a.response
	if response.Request.Method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		return response.Body, nil
	}
	sums, err := parseContentDigest(response.Header)
	if err != nil {
		return nil, err
	}
	unframed := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	if sums == nil && unframed {
		return nil, errUnknownLength
	}
	return sums.verify(response.Body), nil
}

// connReusable reports whether the connection may be used for another request.
func (a *attempt) connReusable() bool {
	return a.bodyRead && a.requestWritten.Load() && !a.response.Close
}

// close releases the connection and ends the counting in Server.InFlight.
func (a *attempt) close() {
	a.lease.end(a.err == nil && a.response != nil && a.connReusable())
	a.cancel(context.Canceled)
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	a.server.InFlight.Add(-1)
	a.hold.Release(a.charged)
	a.charged = 0
}

// observation returns the result of the attempt for the Picker.
func (a *attempt) observation() Observation {
	observed := Observation{Elapsed: a.elapsed, ReusedConn: a.reused, Result: a.result}
	if observed.Result == ResultAnswered {
		observed.Status = a.response.StatusCode
	}
	if a.response != nil {
		observed.Draining = probe.Draining(a.response.Header)
	}
	return observed
}

func (a *attempt) classify() Result {
	cause := context.Cause(a.ctx)
	switch {
	case a.err == nil:
		return ResultAnswered
	case errors.Is(a.err, errShed):
		return ResultShed
	case errors.Is(a.err, errNoToken):
		return ResultCancelled
	case errors.Is(cause, errDeadline) || errors.Is(cause, errStalled):
		return ResultTimedOut
	case cause != nil:
		return ResultCancelled
	case !a.connected:
		return ResultNotConnected
	default:
		return ResultBroken
	}
}
