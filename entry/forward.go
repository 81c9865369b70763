package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"lacewingmount.dev/keys"
	"lacewingmount.dev/wire"
)

const (
	dialTimeout         = 500 * time.Millisecond
	idleConnTimeout     = 30 * time.Second
	keepAlivePeriod     = 5 * time.Second
	maxHeaderBytes      = 64 << 10
	maxBufferedAnswer   = 256 << 10 // larger answers are streamed
	maxAttempts         = 3         // of an idempotent request, each at another server
	requestIDHeader     = "X-Request-Id"
	deadlineHeader      = "X-Deadline-Ms" // milliseconds that the backend server has left
	shedOutcomeHeader   = "X-Not-Run"     // set by a backend server that shed the request without running it
	uploadHeaderTimeout = 60 * time.Second
)

// forwardStage sends the request to a backend server and delivers the answer.
type forwardStage struct {
	shared  http.RoundTripper // reuses connections
	once    http.RoundTripper // a fresh connection for each request, so that none is replayed
	claimer Claimer
	picker  Picker
}

func newForwardStage(picker Picker, claimer Claimer) *forwardStage {
	return &forwardStage{
		shared:  newTransport(true),
		once:    newTransport(false),
		claimer: claimer,
		picker:  picker,
	}
}

// newTransport returns a transport to backend servers. Without reuse, the
// standard transport never replays a request: it only does so on a connection
// that served an earlier one.
func newTransport(reuse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      !reuse,
		IdleConnTimeout:        idleConnTimeout,
		MaxIdleConnsPerHost:    8,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func (*forwardStage) Name() string { return "forward" }

// attempt is one try at one backend server.
type attempt struct {
	server   *Server
	answer   *http.Response
	body     []byte // whole body, if complete
	complete bool
	err      error
	sent     bool // a byte may have reached the server
	took     time.Duration
}

// observation says what the attempt tells about its server.
func (a attempt) observation(ctx context.Context) Observation {
	observed := Observation{Took: a.took}
	switch {
	case a.err == nil:
		observed.Status = a.answer.StatusCode
		observed.End = EndAnswered
	case errors.Is(a.err, errShed):
		observed.End = EndShed
	case errors.Is(ctx.Err(), context.Canceled):
		observed.End = EndCancelled
	case ctx.Err() != nil:
		observed.End = EndTimedOut
	case !a.sent:
		observed.End = EndNotConnected
	default:
		observed.End = EndBroken
	}
	return observed
}

func (s *forwardStage) Serve(x *Exchange) *Refusal {
	ctx, cancel := s.deadline(x)
	defer cancel()
	tried := map[*Server]bool{}
	for {
		server := s.picker.Pick(x, tried)
		if server == nil {
			return s.finish(x, notRun(http.StatusServiceUnavailable, ReasonNoServer, "no backend server can take the request").after(time.Second))
		}
		tried[server] = true
		if refusal := x.spend(); refusal != nil {
			return s.finish(x, refusal)
		}
		last := s.try(ctx, x, server)
		s.picker.Report(x, server, last.observation(ctx))
		if last.err == nil {
			return s.deliver(x, last)
		}
		if !retryable(x, last) || len(tried) >= maxAttempts || ctx.Err() != nil {
			return s.finish(x, failure(ctx, last))
		}
	}
}

// deadline bounds the request by its route; uploads are bounded by progress only.
func (s *forwardStage) deadline(x *Exchange) (context.Context, context.CancelFunc) {
	if x.Route.Upload {
		return context.WithCancel(x.Request.Context())
	}
	return context.WithDeadline(x.Request.Context(), x.Started.Add(x.Route.Timeout))
}

// try sends the request to one server and reads a small answer whole.
func (s *forwardStage) try(ctx context.Context, x *Exchange, server *Server) (result attempt) {
	server.InFlight.Add(1)
	defer server.InFlight.Add(-1)
	result = attempt{server: server}
	started := time.Now()
	defer func() { result.took = time.Since(started) }()
	var sent atomic.Bool
	request := outbound(ctx, x, server, &sent)
	transport := s.shared
	if x.Route.Protected {
		transport = s.once
	}
	answer, err := transport.RoundTrip(request)
	result.sent = sent.Load()
	if err != nil {
		result.err = err
		return result
	}
	result.answer = answer
	if answer.Header.Get(shedOutcomeHeader) != "" {
		_ = answer.Body.Close()
		result.err, result.sent = errShed, false
		return result
	}
	result.body, result.complete, result.err = readSmall(answer)
	return result
}

var errShed = errors.New("the backend server shed the request")

// readSmall reads the body up to maxBufferedAnswer. complete is false if there is more.
func readSmall(answer *http.Response) (body []byte, complete bool, err error) {
	body, err = io.ReadAll(io.LimitReader(answer.Body, maxBufferedAnswer+1))
	if err != nil {
		_ = answer.Body.Close()
		return nil, false, err
	}
	if len(body) <= maxBufferedAnswer {
		return body, true, answer.Body.Close()
	}
	return body, false, nil
}

// retryable reports whether the request may go to another server.
func retryable(x *Exchange, last attempt) bool {
	if !last.sent {
		return x.Body != nil || !x.Route.Upload
	}
	return !x.Route.Protected && idempotent(x.Request.Method) && !x.Route.Upload
}

func idempotent(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

func failure(ctx context.Context, last attempt) *Refusal {
	reason, status := ReasonServerFailed, http.StatusBadGateway
	if ctx.Err() != nil {
		reason, status = ReasonTimeout, http.StatusGatewayTimeout
	}
	if last.sent {
		return unknown(status, reason, "the backend server gave no whole answer")
	}
	return notRun(http.StatusServiceUnavailable, reason, "no backend server took the request").after(time.Second)
}

// outbound builds the request to the server. sent becomes true before its first byte is written.
func outbound(ctx context.Context, x *Exchange, server *Server, sent *atomic.Bool) *http.Request {
	request := x.Request.Clone(traceSent(ctx, sent))
	request.URL.Scheme, request.URL.Host = "http", server.Config.Address
	request.Host, request.RequestURI, request.Close = server.Config.Address, "", false
	removeHopHeaders(request.Header)
	keys.Strip(request.Header)
	request.Trailer = nil
	if x.Account != nil {
		request.Header.Set(keys.AccountHeader, x.Account.Name)
	}
	request.Header.Set(requestIDHeader, x.RequestID)
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(deadlineHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if x.Body != nil {
		request.Body = io.NopCloser(bytes.NewReader(x.Body))
		request.ContentLength, request.TransferEncoding = int64(len(x.Body)), nil
	}
	request.GetBody = nil
	return request
}

// deliver sends the answer to the caller and settles its claim.
func (s *forwardStage) deliver(x *Exchange, last attempt) *Refusal {
	header := x.Writer.Header()
	copyHeader(header, last.answer.Header)
	s.settle(x, keepable(last))
	if last.complete {
		if x.Request.Method != http.MethodHead {
			header.Set("Content-Length", strconv.Itoa(len(last.body)))
		}
		x.Writer.WriteHeader(last.answer.StatusCode)
		_, _ = x.Writer.Write(last.body)
		return nil
	}
	defer last.answer.Body.Close()
	x.Writer.WriteHeader(last.answer.StatusCode)
	_, err := x.Writer.Write(last.body)
	if err == nil {
		_, err = io.Copy(x.Writer, last.answer.Body)
	}
	if err != nil {
		panic(http.ErrAbortHandler) // breaks the connection, so that the caller sees a broken answer
	}
	return nil
}

// finish settles the claim of a request without an answer and returns its refusal.
func (s *forwardStage) finish(x *Exchange, refusal *Refusal) *Refusal {
	if x.Claim != nil && refusal.Outcome == OutcomeNotRun {
		s.settleClaim(wire.SettleRequest{Claim: *x.Claim, NotRun: true})
	}
	return refusal
}

// keepable returns the answer in the form that is kept for duplicates, or nil.
func keepable(last attempt) *wire.KeptAnswer {
	if !last.complete {
		return nil
	}
	return &wire.KeptAnswer{Status: last.answer.StatusCode, ContentType: last.answer.Header.Get("Content-Type"), Body: last.body}
}

func (s *forwardStage) settle(x *Exchange, kept *wire.KeptAnswer) {
	if x.Claim != nil {
		s.settleClaim(wire.SettleRequest{Claim: *x.Claim, Kept: kept})
	}
}

func (s *forwardStage) settleClaim(request wire.SettleRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	_ = s.claimer.Settle(ctx, request) // without a record, duplicates are told that the end is unknown
}
