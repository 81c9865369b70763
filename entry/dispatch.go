package entry

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxAttempts           = 3 // for one request
	stallChecksPerTimeout = 4 // checks for stalled attempts during one server stall timeout
	minHedgeDelay         = 10 * time.Millisecond
	silentConnDivisor     = 2 // a silent reused connection is suspected after half of the remaining time
)

// dispatch sends the request of one exchange to backend servers, with retries and
// hedging, until one returns a complete response. Its methods run on the goroutine of
// the request.
type dispatch struct {
	stage          *forwardStage
	x              *Exchange
	requestContext *requestContext
	body           *callerBody
	safe           bool // running the request repeatedly has no effect, and it can be sent again
	budget         *retryBudget
	latency        *latencies
	tried          map[*Server]bool
	attempts       int
	running        map[*attempt]bool
	finished       chan *attempt
	fallback       *attempt // complete response with a server error, used if no better one arrives
	sent           bool     // a backend server may have run the request
}

func (s *forwardStage) newDispatch(x *Exchange, requestContext *requestContext, body *callerBody) *dispatch {
	now := time.Now()
	budget := s.budgets.get(x.Service.Config.Name, now)
	budget.deposit(now)
	return &dispatch{
		stage: s, x: x, requestContext: requestContext, body: body,
		safe:   isSafeMethod(x.Request.Method) && body == nil && !x.Route.Protected,
		budget: budget, latency: s.latencies.get(x.Route.Path, now),
		tried: map[*Server]bool{}, running: map[*attempt]bool{}, finished: make(chan *attempt, maxAttempts),
	}
}

// isSafeMethod reports whether requests with the method may be run several times, also
// at the same time.
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// run returns the attempt whose response is sent to the caller, or the last failed
// attempt, or nil if no server is available. No attempt is running when it returns.
func (d *dispatch) run() *attempt {
	defer d.cancelRunning()
	server := d.pick()
	if server == nil {
		return nil
	}
	d.launch(server, d.safe)
	hedge, silentConn := d.hedgeTimer(), d.silentConnTimer()
	defer hedge.Stop()
	defer silentConn.Stop()
	stallCheck := time.NewTicker(d.stage.stallTimeouts.serverStallTimeout / stallChecksPerTimeout)
	defer stallCheck.Stop()
	for {
		select {
		case a := <-d.finished:
			delete(d.running, a)
			if last := d.handleFinished(a); last != nil {
				return last
			}
		case <-hedge.C:
			d.hedge()
		case <-silentConn.C:
			d.retrySilentConns()
		case <-stallCheck.C:
			d.cancelStalled()
		}
	}
}

func (d *dispatch) pick() *Server {
	server := d.stage.picker.Pick(d.x, d.tried)
	if server != nil {
		d.tried[server] = true
	}
	return server
}

// launch starts an attempt in a new goroutine. Pooled connections are used if reuse is
// true.
func (d *dispatch) launch(server *Server, reuse bool) {
	a := newAttempt(d.requestContext, server, reuse, d.x.hold)
	a.lease.beforeSend = d.x.permit.spend
	request := outbound(d.x, a, d.body)
	d.attempts++
	d.running[a] = true
	go func() {
		a.run(d.stage.transport, request)
		d.finished <- a
	}()
}

// handleFinished handles the end of an attempt. It returns the attempt with which the
// exchange ends, or nil if other attempts are running or were started.
func (d *dispatch) handleFinished(a *attempt) *attempt {
	d.sent = d.sent || a.sent
	if a.err != nil && d.body.readError() != nil {
		a.result = ResultCancelled // the caller's body caused the error, not the server
	}
	if a.err == nil && a.complete {
		d.report(a)
	}
	if a.err == nil && !(d.safe && isServerFailure(a.response.StatusCode)) {
		d.latency.add(a.elapsed)
		return d.choose(a)
	}
	if a.err != nil {
		d.report(a)
		d.retireSilentConn(a)
	}
	if len(d.running) > 0 {
		d.keepAsFallback(a)
		return nil
	}
	if nextServer, reuse := d.nextServer(a); nextServer != nil {
		d.keepAsFallback(a)
		d.launch(nextServer, reuse)
		return nil
	}
	if a.err != nil && d.fallback != nil {
		a.close()
		return d.choose(d.fallback)
	}
	return d.choose(a)
}

// isServerFailure reports whether the status is a server error after which another
// server may return a better response.
func isServerFailure(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// keepAsFallback keeps the first complete response with a server error, in case no
// better response arrives. Other attempts are closed.
func (d *dispatch) keepAsFallback(a *attempt) {
	if a.err != nil || !a.complete || d.fallback != nil {
		if a.err == nil && !a.complete {
			d.report(a)
		}
		a.close()
		return
	}
	d.fallback = a
}

// choose returns the attempt after closing the fallback, if that is another attempt.
func (d *dispatch) choose(a *attempt) *attempt {
	if d.fallback != nil && d.fallback != a {
		d.fallback.close()
	}
	d.fallback = nil
	return a
}

// nextServer returns the server for another attempt after a failed one, or nil if there
// must not be another attempt. reuse is whether it may use a pooled connection.
func (d *dispatch) nextServer(a *attempt) (server *Server, reuse bool) {
	if errors.Is(a.err, errNoToken) {
		return nil, false
	}
	if d.attempts >= maxAttempts || d.requestContext.Err() != nil || d.callerCancelled() || !d.canResend(a) {
		return nil, false
	}
	if a.err != nil && a.reused && a.noBytes && a.result == ResultBroken {
		return a.server, false // closing an idle connection does not mean that the server failed
	}
	if a.sent || a.result == ResultShed || a.err == nil {
		if !d.budget.spend(time.Now()) {
			return nil, false
		}
	}
	return d.pick(), d.safe
}

// canResend reports whether the request may be sent again after the attempt.
func (d *dispatch) canResend(a *attempt) bool {
	if a.sent {
		return d.safe
	}
	return d.x.Body != nil || d.body.unread()
}

// callerCancelled reports whether the caller has cancelled the request.
func (d *dispatch) callerCancelled() bool { return d.x.Request.Context().Err() != nil }

// hedgeTimer returns a timer that fires when a safe request takes longer than
// hedgePercentile of the requests of its route.
func (d *dispatch) hedgeTimer() *time.Timer {
	high, ok := d.latency.percentile()
	if !d.safe || !ok {
		return stoppedTimer()
	}
	return time.NewTimer(max(high, minHedgeDelay))
}

// hedge also sends the request to a second server, if the retry budget allows it.
func (d *dispatch) hedge() {
	if d.attempts > 1 || d.callerCancelled() || !d.budget.spend(time.Now()) {
		return
	}
	if server := d.pick(); server != nil {
		d.launch(server, d.safe)
	}
}

// silentConnTimer returns a timer that fires when a safe request has waited so long that
// its reused connection may be dead.
func (d *dispatch) silentConnTimer() *time.Timer {
	due, ok := d.x.Deadline()
	if !d.safe || !ok {
		return stoppedTimer()
	}
	return time.NewTimer(time.Until(due) / silentConnDivisor)
}

// retrySilentConns repeats each attempt that has received nothing on a reused connection,
// with the same server and a new connection, and retires the old one.
func (d *dispatch) retrySilentConns() {
	for a := range d.running {
		state := a.lease.state()
		if !state.reused || state.received {
			continue
		}
		a.lease.retire()
		if d.attempts < maxAttempts && d.budget.spend(time.Now()) {
			d.launch(a.server, false)
		}
	}
}

// retireSilentConn retires the generation of the reused connection on which the attempt
// received nothing.
func (d *dispatch) retireSilentConn(a *attempt) {
	if a.reused && a.noBytes && a.result != ResultShed {
		a.lease.retire()
	}
}

// cancelStalled cancels the attempts that made no progress for the server stall timeout.
func (d *dispatch) cancelStalled() {
	for a := range d.running {
		lastActive := a.lease.state().lastActive
		if read := d.body.lastRead(); read.After(lastActive) {
			lastActive = read
		}
		if time.Since(lastActive) >= d.stage.stallTimeouts.serverStallTimeout {
			a.cancel(errStalled)
		}
	}
}

// cancelRunning cancels the attempts that are still running and waits for their end.
func (d *dispatch) cancelRunning() {
	for a := range d.running {
		a.cancel(errSuperseded)
	}
	for range d.running {
		a := <-d.finished
		d.sent = d.sent || a.sent
		d.report(a)
		d.retireSilentConn(a)
		a.close()
	}
}

func (d *dispatch) report(a *attempt) {
	d.stage.picker.Report(d.x, a.server, a.observation())
}

func stoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}
