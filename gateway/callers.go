package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/sockets"
)

// callerStallTimeout is the time from a request's deadline until its caller must have taken
// the answer.
const callerStallTimeout = 30 * time.Second

// listenForCallers opens the listener for callers. TCP_USER_TIMEOUT is off, because it also
// ends a connection whose caller pauses; limitWrite bounds the writes instead.
func listenForCallers(ctx context.Context, address string) (net.Listener, error) {
	liveness := sockets.DefaultLiveness
	liveness.UserTimeout = 0
	return daemon.ListenWith(ctx, liveness, address)
}

// limitWrite sets the time by which the answer must be written. The limit is one for the
// whole answer, since each write of a long one may make little progress.
func (q *request) limitWrite() {
	from := time.Now()
	if q.deadline.After(from) {
		from = q.deadline
	}
	_ = http.NewResponseController(q.w).SetWriteDeadline(from.Add(q.g.callerStallTimeout)) // fails only on a closed connection, which the write reports
}
