package gateway

import (
	"context"
	"net/http"
	"time"
)

func (q *request) findRoute() *refusal {
	q.table = q.g.waitForTable(q.r.Context())
	if q.table == nil {
		return &refusal{http.StatusServiceUnavailable, startRetryAfter, "no configuration yet"}
	}
	if !q.g.accepts(time.Now()) {
		return &refusal{http.StatusServiceUnavailable, stoppingRetryAfter, errStopping.Error()}
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
	q.deadline = q.arrived.Add(left)
	return nil
}

// waitForTable returns the configuration in force; nil if there is none yet. A VM gets
// its first configuration shortly after its start, so a request waits for it up to
// configurationWait: after a restart of all VMs, no other VM could serve it either.
func (g *Gateway) waitForTable(ctx context.Context) *table {
	if t := g.table.Load(); t != nil {
		return t
	}
	ctx, cancel := context.WithTimeout(ctx, configurationWait)
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
