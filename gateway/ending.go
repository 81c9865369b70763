package gateway

import (
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
)

// ending is how a request for a slot ended.
type ending struct {
	server  string // "" if the request was sent to none
	outcome placement.Outcome
	took    time.Duration
	limit   *limitReport // that the server's answer names; nil if it names none
	noLimit bool         // the server answered without naming a limit, so an earlier one has ended
}

// completeAt records at a Broker how the request ended and what its server said.
func (e *ending) completeAt(b *placement.Broker, now time.Time, id placement.RequestID) []placement.Decision {
	switch {
	case e.limit != nil:
		b.ObserveLimit(now, e.limit.statement(now, id.VM))
	case e.noLimit:
		b.ObserveNoLimit(now, e.server, now.Add(-e.took), id.VM)
	}
	return b.Complete(now, id, e.server, e.outcome, e.took)
}

// endingOf returns how a request ended that was sent to the server.
func (g *Gateway) endingOf(service string, server platform.Server, x *exchange) ending {
	e := ending{server: server.ID, outcome: x.outcome, took: x.took}
	if x.header == nil || x.outcome == placement.Misdirected {
		return e
	}
	limit, named, err := platform.ReadServerLimit(x.header)
	if err != nil {
		invalidLimits.Inc()
		if g.limitSampler.allow(g.now()) {
			g.log.Warn("limit of a server ignored", zap.String("service", service), zap.String("server", server.ID), zap.Error(err))
		}
	}
	if named {
		e.limit = &limitReport{Server: server.ID, Born: server.Born, Rate: limit}
		return e
	}
	// Refusals and failures may come from another part of the server, which names no limit.
	signed := platform.ReadResponseHeaders(x.status, x.header).Signed
	e.noLimit = err == nil && signed && x.outcome == placement.Answered
	return e
}
