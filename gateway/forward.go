package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
	"lacewingmount.dev/requestlog"
)

// forward sends the request to one server after another until an attempt is final.
func (q *request) forward() *refusal {
	ctx, cancel := context.WithDeadlineCause(q.r.Context(), q.deadline, errDeadline)
	defer cancel()
	plan := attemptPlan{maxServers: min(q.route.MaxAttempts, maxAttempts)}
	var failedAnswer *exchange // complete answer with a server failure, delivered if no other server gives a better one
	rank := q.rank()
	for {
		left := time.Until(q.deadline)
		if times := q.g.shutdown.Load(); times != nil {
			left = min(left, time.Until(times.serve))
		}
		if left < minServerTime {
			return q.deadlineRefusal()
		}
		tried, only := plan.choices(q.g.isRegistered)
		slotRequest := placement.Request{
			ID: placement.RequestID{VM: q.g.self.Name, Seq: q.g.nextSeq()}, Zone: q.g.self.Zone, Safe: q.route.Safe,
			Priority: rank.Account, RouteRank: rank.Route, Left: left, Target: q.route.Target - time.Since(q.arrived), Bytes: q.outbound.body.length, Tried: tried, Only: only, Retry: plan.arrivals > 0, Account: q.accountName(),
		}
		waiting, endWait := q.waitContext(ctx)
		decision := q.g.place(waiting, q.service, slotRequest)
		endWait()
		if decision.Verdict != placement.Granted {
			q.refused = &decision
			if failedAnswer != nil {
				return q.answer(ctx, failedAnswer)
			}
			return q.placementRefusal(ctx, decision)
		}
		server, ok := q.g.server(decision.Server)
		if !ok {
			q.g.complete(q.service, slotRequest.ID.Seq, decision.Owner, ending{server: decision.Server, outcome: placement.Unused})
			plan.exclude(decision.Server)
			continue
		}
		if q.g.isEvacuated(server.Zone) {
			q.g.complete(q.service, slotRequest.ID.Seq, decision.Owner, ending{outcome: placement.Unused})
			q.excludeEvacuated(&plan, server.ID)
			continue
		}
		x := q.tryServer(ctx, server, decision)
		if errors.Is(x.err, errEvacuated) {
			q.excludeEvacuated(&plan, server.ID)
			continue
		}
		plan.record(server.ID, x.outcome)
		if x.outcome == placement.Failed && x.rest == nil {
			failedAnswer = x
		}
		if q.isFinal(x, plan.exhausted()) {
			if x.outcome != placement.Answered && failedAnswer != nil {
				x = failedAnswer
			}
			return q.answer(ctx, x)
		}
	}
}

// waitContext returns a context for the wait for a server. It ends with errStopping when a
// shutdown refuses the requests that wait. A request that may have run goes on waiting: its
// caller could not be told to send it to another VM.
func (q *request) waitContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if q.mayHaveRun() {
		return ctx, func() {}
	}
	waiting, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(q.g.placing, func() { cancel(errStopping) })
	return waiting, func() {
		stop()
		cancel(nil)
	}
}

// maxAttempts limits the servers that a request is sent to, whatever the route allows.
const maxAttempts = 4

// Causes of the end of a request's context.
var (
	errDeadline = errors.New("request deadline exceeded")
	errStopping = errors.New("this VM stops")
)

// tryServer sends the request to the server that was granted, and reports the outcome
// to the owner of the service.
func (q *request) tryServer(ctx context.Context, server platform.Server, decision placementResult) (x *exchange) {
	seq := decision.ID.Seq
	q.g.running.add(q.service, seq, server.ID)
	if !decision.Local {
		q.g.localBrokers.recordGrant(q.g.now(), q.service, decision.ID, server.ID)
	}
	header := q.outbound.header.Clone()
	forwarded := platform.ForwardedHeaders{ServerID: server.ID, Account: q.accountName(), Deadline: time.Until(q.deadline) - answerMargin}
	forwarded.Apply(header)
	sent := *q.outbound
	sent.header = header
	sent.checkZone = func() error {
		if q.g.isEvacuated(server.Zone) {
			return errEvacuated
		}
		return nil
	}
	x = &exchange{outcome: placement.Broken} // if the attempt panics
	defer func() {
		q.g.running.remove(q.service, seq)
		if errors.Is(x.err, errEvacuated) { // the server did not get the request, so there was no attempt
			q.g.complete(q.service, seq, decision.Owner, ending{outcome: placement.Unused})
			return
		}
		q.g.complete(q.service, seq, decision.Owner, q.g.endingOf(q.service, server, x))
		q.attempts = append(q.attempts, attempt{x.outcome, requestlog.Attempt{
			Server: server.ID, Outcome: x.outcome.String(), Took: x.took, Failing: decision.Failing,
			Queued: decision.Waited, Owner: decision.Owner, LocalGrant: decision.Local, ReusedConnection: x.reused, Limit: decision.Limit,
		}})
	}()
	x = q.g.backend.attempt(ctx, server, &sent, q.deadline)
	return x
}

// isFinal reports whether the request ends with this attempt. A request that may have
// been sent is repeated only if its route is safe.
func (q *request) isFinal(x *exchange, last bool) bool {
	if x.outcome == placement.Answered || x.outcome == placement.Unused {
		return true
	}
	if x.outcome == placement.Unreachable {
		return false
	}
	return last || x.sent && !q.route.Safe
}
