package gateway

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
	"lacewingmount.dev/requestlog"
)

const (
	defaultDeadline = 30 * time.Second       // of a caller that does not say how long it waits
	answerMargin    = 30 * time.Millisecond  // between the server's deadline and the caller's final answer
	minServerTime   = 100 * time.Millisecond // a server that gets less cannot finish
	startWait       = 800 * time.Millisecond // of a caller for the first configuration; a start takes up to so long on a sixth of a core
	startRetry      = 500 * time.Millisecond // for callers of a VM that knows no configuration even then
	leaveRetry      = 100 * time.Millisecond // for callers of a VM that stops; others serve them at once
	shedRetry       = 500 * time.Millisecond // after the servers that were tried had no room
)

// request is one caller's request on its way through the stages.
type request struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	caller   platform.CallerHeaders
	arrived  time.Time
	due      time.Time // when the caller gets a final answer
	table    *table
	route    *platform.Route
	service  string
	account  *platform.Account
	outbound *outbound
	tries    []try
	refused  *placed // the decision that ended the request; nil if there was none
}

// try is one server that a request was sent to.
type try struct {
	outcome placement.Outcome
	logged  requestlog.Try
}

// refusal ends a request with an answer of the gateway's own.
type refusal struct {
	status     int
	retryAfter time.Duration
	reason     string
}

func (f *refusal) Error() string { return f.reason }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	q := &request{g: g, w: w, r: r, caller: platform.ReadCallerHeaders(r.Header), arrived: time.Now()}
	stages := []func() *refusal{q.findRoute, q.identify, q.readBody, q.admit, q.forward}
	for _, stage := range stages {
		if f := stage(); f != nil {
			q.refuse(f)
			return
		}
	}
}

func (q *request) findRoute() *refusal {
	q.table = q.g.firstTable(q.r.Context())
	if q.table == nil {
		return &refusal{http.StatusServiceUnavailable, startRetry, "no configuration yet"}
	}
	if q.g.refusing.Load() {
		return &refusal{http.StatusServiceUnavailable, leaveRetry, "this VM stops"}
	}
	q.route = q.table.route(q.r.Host, q.r.URL.Path)
	if q.route == nil {
		return &refusal{http.StatusNotFound, 0, "no route"}
	}
	q.service = service(q.route, q.caller.RequestID)
	left := q.caller.Deadline
	if left <= 0 {
		left = defaultDeadline
	}
	if q.route.Timeout > 0 {
		left = min(left, q.route.Timeout)
	}
	q.due = q.arrived.Add(left)
	return nil
}

// firstTable returns the routes in force. A VM that has just started gets them
// within moments, so a request waits a little for them; after a restart of all VMs
// there is no better place for it.
func (g *Gateway) firstTable(ctx context.Context) *table {
	if t := g.table.Load(); t != nil {
		return t
	}
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	select {
	case <-g.loaded:
	case <-ctx.Done():
	}
	return g.table.Load()
}

func (q *request) identify() *refusal {
	account, ok := q.table.account(q.route, q.caller.Key)
	if !ok {
		return &refusal{http.StatusUnauthorized, 0, "unknown key"}
	}
	q.account = account
	return nil
}

// readBody reads the body whole, so that a slot is held for the server's work
// only and a request that did not run can be sent again.
func (q *request) readBody() *refusal {
	limit := q.table.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = maxBodyBytes
	}
	if q.r.ContentLength > limit {
		return &refusal{http.StatusRequestEntityTooLarge, 0, "body is too long"}
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	if err != nil {
		if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
			return &refusal{http.StatusRequestEntityTooLarge, 0, "body is too long"}
		}
		return &refusal{http.StatusBadRequest, 0, "body broke off"}
	}
	q.outbound = &outbound{
		method: q.r.Method, uri: q.r.RequestURI, host: q.r.Host, id: q.caller.RequestID,
		header: endToEnd(q.r.Header), body: body,
	}
	return nil
}

// maxBodyBytes bounds bodies where the configuration does not.
const maxBodyBytes = 64 << 20

func (q *request) admit() *refusal {
	ok, retryAfter, by := q.g.admit(q.r.Context(), q.account)
	if !ok {
		q.g.sendEnd(q.service, q.g.nextSeq(), "", placement.Unadmitted, 0, q.g.peers.homeOf(q.service).Name)
		return &refusal{http.StatusTooManyRequests, retryAfter, "account is over its rate, says " + by}
	}
	return nil
}

// forward sends the request to servers until one has run it.
func (q *request) forward() *refusal {
	ctx, cancel := context.WithDeadlineCause(q.r.Context(), q.due, errDue)
	defer cancel()
	attempts := min(q.route.MaxAttempts, maxAttempts)
	reached := 0
	var tried []string
	var kept *exchange // a whole answer that says that its server failed, in case that no better one comes
	for {
		left := time.Until(q.due)
		if left < minServerTime {
			return q.outOfTime()
		}
		a := placement.Request{
			ID: placement.RequestID{VM: q.g.self.Name, Seq: q.g.nextSeq()}, Zone: q.g.self.Zone, Safe: q.route.Safe,
			Priority: q.priority(), Left: left, Target: q.route.Target - time.Since(q.arrived), Bytes: len(q.outbound.body), Tried: tried, Retry: reached > 0, Account: q.accountName(),
		}
		decision := q.g.place(ctx, q.service, a)
		if decision.Verdict != placement.Granted {
			q.refused = &decision
			if kept != nil {
				return q.answer(ctx, kept)
			}
			return q.notPlaced(ctx, decision)
		}
		server, ok := q.g.server(decision.Server)
		if !ok {
			q.g.finish(q.service, a.ID.Seq, decision.Server, placement.Unused, 0, decision.Home)
			tried = append(tried, decision.Server)
			continue
		}
		x := q.send(ctx, server, decision)
		if x.outcome != placement.Unreachable {
			reached++
		}
		if x.outcome == placement.Failed && x.rest == nil {
			kept = x
		}
		if q.final(x, reached >= attempts) {
			if x.outcome != placement.Answered && kept != nil {
				x = kept
			}
			return q.answer(ctx, x)
		}
		tried = append(tried, server.ID)
	}
}

// maxAttempts bounds the servers that a request is sent to, whatever the route allows.
const maxAttempts = 4

var errDue = errors.New("the time of the request is over")

// send performs one try and reports how it ended.
func (q *request) send(ctx context.Context, server platform.Server, decision placed) *exchange {
	seq := decision.ID.Seq
	q.g.running.add(q.service, seq, server.ID)
	if !decision.Own {
		q.g.own.adopt(q.g.now(), q.service, decision.ID, server.ID)
	}
	header := q.outbound.header.Clone()
	forwarded := platform.ForwardedHeaders{ServerID: server.ID, Account: q.accountName(), Deadline: time.Until(q.due) - answerMargin}
	forwarded.Apply(header)
	sent := *q.outbound
	sent.header = header
	x := q.g.backend.try(ctx, server, &sent, q.due)
	q.g.running.remove(q.service, seq)
	q.g.finish(q.service, seq, server.ID, x.outcome, x.took, decision.Home)
	q.tries = append(q.tries, try{x.outcome, requestlog.Try{
		Server: server.ID, Outcome: x.outcome.String(), Took: x.took, Failing: decision.Failing,
		Queued: decision.Waited, Home: decision.Home, Alone: decision.Own, Reused: x.reused,
	}})
	return x
}

// final reports whether the request ends with this try.
func (q *request) final(x *exchange, last bool) bool {
	if x.outcome == placement.Answered || x.outcome == placement.Unused {
		return true
	}
	if x.outcome == placement.Unreachable {
		return false
	}
	return last || x.sent && !q.route.Safe
}

// accountName is "" on routes open to all.
func (q *request) accountName() string {
	if q.account == nil {
		return ""
	}
	return q.account.Name
}

// priority is the account's, which goes before the route's, if there is one.
func (q *request) priority() int {
	if q.account != nil && q.account.Priority > 0 {
		return q.account.Priority
	}
	return q.route.Priority
}

func (q *request) outOfTime() *refusal {
	for _, t := range q.tries {
		if t.outcome != placement.Unreachable && t.outcome != placement.Shed && t.outcome != placement.Misdirected {
			return &refusal{http.StatusGatewayTimeout, 0, "out of time after " + t.outcome.String()}
		}
	}
	return &refusal{http.StatusServiceUnavailable, shedRetry, "out of time before a server ran it"}
}

// notPlaced ends a request for which there is no server, or none any more.
func (q *request) notPlaced(ctx context.Context, decision placed) *refusal {
	if len(q.tries) > 0 {
		last := q.tries[len(q.tries)-1]
		if q.mayHaveRun() {
			return &refusal{http.StatusBadGateway, 0, "server " + last.outcome.String() + ", and no retry: " + decision.Reason}
		}
	}
	retryAfter := decision.RetryAfter
	if retryAfter <= 0 {
		retryAfter = shedRetry
	}
	if ctx.Err() != nil {
		return q.outOfTime()
	}
	return &refusal{http.StatusServiceUnavailable, retryAfter, decision.Reason}
}

// mayHaveRun reports whether a server may have run the request.
func (q *request) mayHaveRun() bool {
	return slices.ContainsFunc(q.tries, func(t try) bool {
		switch t.outcome {
		case placement.Shed, placement.Misdirected, placement.Unreachable:
			return false
		}
		return true
	})
}

// answer delivers the server's answer, or one of the gateway's own if there is none.
func (q *request) answer(ctx context.Context, x *exchange) *refusal {
	switch {
	case x.outcome == placement.Shed || x.outcome == placement.Misdirected:
		if q.mayHaveRun() {
			return &refusal{http.StatusBadGateway, 0, "servers have no room for a retry"}
		}
		return &refusal{http.StatusServiceUnavailable, shedRetry, "servers that were tried have no room"}
	case x.err != nil && q.r.Context().Err() != nil:
		return &refusal{http.StatusBadGateway, 0, "caller left"}
	case x.err != nil && ctx.Err() != nil:
		return &refusal{http.StatusGatewayTimeout, 0, "server is silent"}
	case x.err != nil:
		return &refusal{http.StatusBadGateway, 0, "server's answer broke off: " + x.err.Error()}
	case promisesNotRun(x.status):
		return &refusal{http.StatusBadGateway, 0, "server answered " + strconv.Itoa(x.status) + " and may have run it"}
	}
	header := q.w.Header()
	for name, values := range endToEnd(x.header) {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil // otherwise net/http guesses one
	}
	if x.rest == nil && q.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(x.body)))
	}
	q.leaveIfStopping()
	q.w.WriteHeader(x.status)
	_, err := q.w.Write(x.body)
	if err == nil && x.rest != nil {
		err = q.stream(x)
	}
	q.log(x.status, "", err)
	return nil
}

// stream delivers the rest of a long answer. One that breaks ends the caller's
// connection, so that it does not look whole.
func (q *request) stream(x *exchange) error {
	defer func() { _ = x.conn.Close() }()
	if _, err := io.Copy(q.w, x.rest.Body); err != nil {
		q.log(x.status, "long answer broke off", err)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// promisesNotRun reports whether callers take the status for a promise that the
// request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (q *request) leaveIfStopping() {
	if q.g.stopping.Load() {
		q.w.Header().Set("Connection", "close")
	}
}

func (q *request) refuse(f *refusal) {
	header := q.w.Header()
	platform.SetRequestID(header, q.caller.RequestID)
	if f.retryAfter > 0 {
		platform.SetRetryAfter(header, f.retryAfter)
	}
	header["Content-Type"] = nil
	header.Set("Content-Length", "0")
	q.leaveIfStopping()
	q.w.WriteHeader(f.status)
	q.log(f.status, f.reason, nil)
}

// log writes the one line that explains how the request ended.
func (q *request) log(status int, reason string, err error) {
	took := time.Since(q.arrived)
	countRequest(q.service, status, took)
	if status < http.StatusBadRequest && err == nil && len(q.tries) == 1 && !q.g.lines.allow(q.arrived) {
		return
	}
	fields := make([]zap.Field, 0, 16)
	fields = append(fields, zap.String("request", q.caller.RequestID), zap.Int("status", status), zap.Duration("took", took))
	if q.route != nil {
		fields = append(fields, zap.String("route", q.route.Name), zap.String("service", q.service),
			zap.Uint64("config", q.table.config.Version), zap.Duration("left", time.Until(q.due)), zap.Duration("age", q.g.age()))
	}
	if q.account != nil {
		fields = append(fields, zap.String("account", q.account.Name))
	}
	if reason != "" {
		fields = append(fields, zap.String("reason", reason))
	}
	if q.refused != nil {
		fields = append(fields, zap.String("home", q.refused.Home), zap.Int("queue", q.refused.Queue),
			zap.Duration("waited", q.refused.Waited), zap.Duration("retry_after", q.refused.RetryAfter))
	}
	if len(q.tries) > 0 {
		fields = append(fields, zap.String("tries", requestlog.FormatTries(q.loggedTries())))
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	q.g.log.Info(requestlog.RequestMessage, fields...)
}

func (q *request) loggedTries() []requestlog.Try {
	tries := make([]requestlog.Try, len(q.tries))
	for i, t := range q.tries {
		tries[i] = t.logged
	}
	return tries
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// endToEnd returns the headers that are passed on.
func endToEnd(header http.Header) http.Header {
	passed := header.Clone()
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			passed.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		passed.Del(name)
	}
	return passed
}

func countRequest(service string, status int, took time.Duration) {
	labels := `{service="` + service + `",status="` + strconv.Itoa(status) + `"}`
	metrics.GetOrCreateCounter("lacewing_gateway_requests_total" + labels).Inc()
	metrics.GetOrCreateHistogram(`lacewing_gateway_request_seconds{service="` + service + `"}`).Update(took.Seconds())
}

var ownPlacements = metrics.GetOrCreateCounter("lacewing_gateway_placed_alone_total")
