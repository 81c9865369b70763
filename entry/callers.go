package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/sockets"
)

// maxUnsentResponse is the part of a response in bytes that may wait in the send buffer. A
// write to a slow caller goes on when some of it is sent, so that a caller that reads is not
// taken for a stalled one.
const maxUnsentResponse = 128 << 10

// minIdleBeforeClose is how long a caller's connection must have been idle before a
// stopping entry closes it.
const minIdleBeforeClose = time.Second

// listenForCallers opens the listener for callers. TCP_USER_TIMEOUT is off, because it also
// ends a connection whose caller pauses; callerStallTimeout limits that.
func listenForCallers(ctx context.Context, address string) (net.Listener, error) {
	liveness := sockets.DefaultLiveness
	liveness.UserTimeout, liveness.MaxUnsent = 0, maxUnsentResponse
	return daemon.ListenWith(ctx, liveness, address)
}

// serve accepts callers in the background.
func (e *Entry) serve(listener net.Listener) *daemon.CallerServer {
	server := daemon.NewCallerServer(newServer(e), e.budget.Limit(listener), minIdleBeforeClose)
	go func() {
		if err := server.Serve(); err != nil {
			e.log.Error("listener for callers failed; restart the entry", zap.Error(err))
		}
	}()
	return server
}

type callerConnKey struct{}

// withCallerConn is the ConnContext callback of the HTTP server.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// abort closes the caller's connection, so that the caller detects an incomplete response. It
// does not return. Without chunks and a length, a regular end would complete the response.
func abort(x *Exchange) {
	if !x.Request.ProtoAtLeast(1, 1) && x.Writer.Header().Get("Content-Length") == "" {
		if conn, ok := x.Request.Context().Value(callerConnKey{}).(daemon.CallerConn); ok {
			conn.ResetOnClose()
		}
	}
	panic(http.ErrAbortHandler)
}
