package entry

import (
	"context"
	"net"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/sockets"
)

// listenForCallers opens the listener for callers. TCP_USER_TIMEOUT is off, because it also
// ends a connection whose caller pauses; callerStallTimeout limits that.
func listenForCallers(ctx context.Context, address string) (net.Listener, error) {
	liveness := sockets.DefaultLiveness
	liveness.UserTimeout = 0
	return daemon.ListenWith(ctx, liveness, address)
}
