package entry

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxAttempts     = 3 // of one request
	progressChecks  = 4 // of a stalled attempt, per progress limit
	minHedgeDelay   = 10 * time.Millisecond
	silentPartOfDue = 2 // a reused connection is doubted after 1/2 of the time left
)

// dispatch sends one exchange to backend servers until one gives a whole
// answer. Its methods run on the goroutine of the request.
type dispatch struct {
	stage   *forwardStage
	x       *Exchange
	work    *work
	body    *callerBody
	read    bool // a repeated run changes nothing, and the request can be sent again
	budget  *retryBudget
	latency *latencies
	tried   map[*Server]bool
	started int
	running map[*attempt]bool
	ended   chan *attempt
	spare   *attempt // a whole answer that says that the server failed
	sent    bool     // some attempt may have run the request
}

func (s *forwardStage) newDispatch(x *Exchange, work *work, body *callerBody) *dispatch {
	now := time.Now()
	budget := s.budgets.of(x.Service.Config.Name, now)
	budget.earn(now)
	return &dispatch{
		stage: s, x: x, work: work, body: body,
		read:   isRead(x.Request.Method) && body == nil && !x.Route.Protected,
		budget: budget, latency: s.latencies.of(x.Route.Path, now),
		tried: map[*Server]bool{}, running: map[*attempt]bool{}, ended: make(chan *attempt, maxAttempts),
	}
}

// isRead reports whether the method is safe to run several times at once.
func isRead(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// run returns the attempt to answer with, or the last failed one, or nil if no
// server could be picked. It ends with no attempt running.
func (d *dispatch) run() *attempt {
	defer d.outpace()
	server := d.pick()
	if server == nil {
		return nil
	}
	d.launch(server, d.read)
	hedge, doubt := d.hedgeTimer(), d.doubtTimer()
	defer hedge.Stop()
	defer doubt.Stop()
	progress := time.NewTicker(d.stage.limits.serverProgress / progressChecks)
	defer progress.Stop()
	for {
		select {
		case a := <-d.ended:
			delete(d.running, a)
			if last := d.judge(a); last != nil {
				return last
			}
		case <-hedge.C:
			d.hedge()
		case <-doubt.C:
			d.refresh()
		case <-progress.C:
			d.endStalled()
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

// launch starts an attempt in the background.
func (d *dispatch) launch(server *Server, reuse bool) {
	a := newAttempt(d.work, server, reuse)
	a.lease.gate = d.x.permit.spend
	request := outbound(d.x, a, d.body)
	d.started++
	d.running[a] = true
	go func() {
		a.run(d.stage.transport, request)
		d.ended <- a
	}()
}

// judge returns the attempt with which the exchange ends, or nil to go on.
func (d *dispatch) judge(a *attempt) *attempt {
	d.sent = d.sent || a.sent
	if a.err != nil && d.body.fault() != nil {
		a.ended = EndCancelled // the server is not to blame for the caller's body
	}
	if a.err == nil && a.complete {
		d.report(a)
	}
	if a.err == nil && !(d.read && serverFailed(a.answer.StatusCode)) {
		d.latency.add(a.took)
		return d.choose(a)
	}
	if a.err != nil {
		d.report(a)
		d.doubtConnection(a)
	}
	if len(d.running) > 0 {
		d.keep(a)
		return nil
	}
	if next, reuse := d.next(a); next != nil {
		d.keep(a)
		d.launch(next, reuse)
		return nil
	}
	if a.err != nil && d.spare != nil {
		a.close()
		return d.choose(d.spare)
	}
	return d.choose(a)
}

// serverFailed reports whether another server may give a better answer.
func serverFailed(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// keep holds a whole answer back in case that no better one comes.
func (d *dispatch) keep(a *attempt) {
	if a.err != nil || !a.complete || d.spare != nil {
		if a.err == nil && !a.complete {
			d.report(a)
		}
		a.close()
		return
	}
	d.spare = a
}

func (d *dispatch) choose(a *attempt) *attempt {
	if d.spare != nil && d.spare != a {
		d.spare.close()
	}
	d.spare = nil
	return a
}

// next returns the server for another attempt after a failed one, or nil.
func (d *dispatch) next(a *attempt) (server *Server, reuse bool) {
	if errors.Is(a.err, errNoToken) {
		return nil, false
	}
	if d.started >= maxAttempts || d.work.Err() != nil || d.callerGone() || !d.repeatable(a) {
		return nil, false
	}
	if a.err != nil && a.reused && a.silent && a.ended == EndBroken {
		return a.server, false // the server closed an idle connection; that says nothing about it
	}
	if a.sent || a.ended == EndShed || a.err == nil {
		if !d.budget.spend(time.Now()) {
			return nil, false
		}
	}
	return d.pick(), d.read
}

// repeatable reports whether the request may be sent again after this attempt.
func (d *dispatch) repeatable(a *attempt) bool {
	if a.sent {
		return d.read
	}
	return d.x.Body != nil || d.body.untouched()
}

// callerGone reports whether nobody waits for the answer any more.
func (d *dispatch) callerGone() bool { return d.x.Request.Context().Err() != nil }

// hedgeTimer fires when a read takes longer than most of its route.
func (d *dispatch) hedgeTimer() *time.Timer {
	high, ok := d.latency.percentile()
	if !d.read || !ok {
		return stoppedTimer()
	}
	return time.NewTimer(max(high, minHedgeDelay))
}

// hedge sends the read to a second server as well.
func (d *dispatch) hedge() {
	if d.started > 1 || d.callerGone() || !d.budget.spend(time.Now()) {
		return
	}
	if server := d.pick(); server != nil {
		d.launch(server, d.read)
	}
}

// doubtTimer fires when a read has waited so long that a silent connection has
// to be ruled out.
func (d *dispatch) doubtTimer() *time.Timer {
	due, ok := d.x.Deadline()
	if !d.read || !ok {
		return stoppedTimer()
	}
	return time.NewTimer(time.Until(due) / silentPartOfDue)
}

// refresh tries the server of each silent reused connection again, over a fresh one.
func (d *dispatch) refresh() {
	for a := range d.running {
		state := a.lease.state()
		if !state.reused || state.received {
			continue
		}
		a.lease.retire()
		if d.started < maxAttempts && d.budget.spend(time.Now()) {
			d.launch(a.server, false)
		}
	}
}

// doubtConnection retires the connections that are as old as one that gave no byte in time.
func (d *dispatch) doubtConnection(a *attempt) {
	if a.reused && a.silent && a.ended != EndShed {
		a.lease.retire()
	}
}

func (d *dispatch) endStalled() {
	for a := range d.running {
		active := a.lease.state().active
		if read := d.body.lastRead(); read.After(active) {
			active = read
		}
		if time.Since(active) >= d.stage.limits.serverProgress {
			a.cancel(errStalled)
		}
	}
}

// outpace ends the attempts that are still running.
func (d *dispatch) outpace() {
	for a := range d.running {
		a.cancel(errOutpaced)
	}
	for range d.running {
		a := <-d.ended
		d.sent = d.sent || a.sent
		d.report(a)
		d.doubtConnection(a)
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
