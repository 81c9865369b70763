package gateway

import (
	"net/http"
	"slices"
	"time"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
	"lacewingmount.dev/requestlog"
)

const (
	defaultDeadline    = 30 * time.Second       // for callers that send no deadline
	answerMargin       = 30 * time.Millisecond  // between the server's deadline and the caller's
	minServerTime      = 100 * time.Millisecond // until the deadline; a server with less time cannot finish
	configurationWait  = 800 * time.Millisecond // longest wait of a request for the first configuration; a start takes up to this time on a sixth of a core
	startRetryAfter    = 500 * time.Millisecond // for callers of a VM that has no configuration even then
	stoppingRetryAfter = 100 * time.Millisecond // for callers of a VM that is stopping; other VMs can serve them at once
	memoryRetryAfter   = time.Second            // for callers that find no memory; a body that stalls is ended within moments, an honest one arrives
	shedRetryAfter     = 500 * time.Millisecond // after no server accepted the request
)

// request holds the state of one caller's request while it passes the stages.
type request struct {
	g         *Gateway
	w         http.ResponseWriter // nil until the turn of a request that is run early
	pipeline  *pipeline           // of the caller's connection; nil if there is none
	early     *earlyRun           // nil if the request is not run early
	r         *http.Request
	caller    platform.CallerHeaders
	arrived   time.Time
	deadline  time.Time // by which the caller gets a final answer
	table     *table
	route     *platform.Route
	service   string
	account   *platform.Account
	outbound  *outbound
	attempts  []attempt
	refused   *placementResult // the decision not to place the request; nil if there was none
	progress  answerProgress
	bodyBegun bool         // a part of the body was read
	bodyRead  bool         // the body was read, or reading it failed
	hold      *daemon.Hold // what the request holds in memory; nil before identify
}

// attempt is the result of sending a request to one server.
type attempt struct {
	outcome placement.Outcome
	logged  requestlog.Attempt
}

// refusal ends a request with an answer by the gateway itself.
type refusal struct {
	status     int
	retryAfter time.Duration
	reason     string
}

func (f *refusal) Error() string { return f.reason }

// ServeHTTP serves one request of a caller. It implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := pipelineOf(r.Context())
	if run := p.take(r); run != nil {
		run.deliver(w)
		return
	}
	g.serve(&request{g: g, w: w, r: r, pipeline: p})
}

// serve passes a request through the stages.
func (g *Gateway) serve(q *request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	q.caller, q.arrived = platform.ReadCallerHeaders(q.r.Header), time.Now()
	defer func() { q.hold.Close() }()
	defer q.recoverPanic()
	g.lastArrival.Store(q.arrived.UnixNano())
	defer g.budget.BeginRequest(q.r.RemoteAddr)()
	stages := []func() *refusal{q.findRoute, q.identify, q.checkBody, q.readBody, q.admit, q.forward}
	for _, stage := range stages {
		if f := stage(); f != nil {
			q.refuse(f)
			return
		}
	}
}

// accountName returns the name of the client account, or "" on routes open to all.
func (q *request) accountName() string {
	if q.account == nil {
		return ""
	}
	return q.account.Name
}

// rank returns the rank of the account and then that of the route. A request without an
// account has the route's rank in both places.
func (q *request) rank() placement.Rank {
	rank := placement.Rank{Account: q.route.Priority, Route: q.route.Priority}
	if q.account != nil {
		rank.Account = q.account.Priority
	}
	return rank
}

// mayHaveRun reports whether a server may have run the request.
func (q *request) mayHaveRun() bool {
	return slices.ContainsFunc(q.attempts, func(t attempt) bool {
		switch t.outcome {
		case placement.Shed, placement.Misdirected, placement.Unreachable:
			return false
		}
		return true
	})
}
