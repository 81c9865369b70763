package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/sockets"
)

// maxUnsentResponse is the part of a response in bytes that may wait in the send buffer. A
// write to a slow caller goes on when some of it is sent, so that a caller that reads is not
// taken for a stalled one.
const maxUnsentResponse = 128 << 10

// listenForCallers opens the listener for callers. TCP_USER_TIMEOUT is off, because it also
// ends a connection whose caller pauses; callerStallTimeout limits that.
func listenForCallers(ctx context.Context, address string) (net.Listener, error) {
	liveness := sockets.DefaultLiveness
	liveness.UserTimeout, liveness.MaxUnsent = 0, maxUnsentResponse
	return daemon.ListenWith(ctx, liveness, address)
}

// callerServer is the HTTP server for callers.
type callerServer struct {
	http     *http.Server
	listener net.Listener
	ended    chan struct{} // closed when all accepted connections are in callerConns and no more are accepted
}

// serve accepts callers in the background.
func (e *Entry) serve(listener net.Listener) *callerServer {
	server := &callerServer{http: newServer(e), listener: listener, ended: make(chan struct{})}
	go func() {
		defer close(server.ended)
		_ = server.http.Serve(callerListener{listener})
	}()
	return server
}

// stopAccepting closes the listener once the connections in its queue are accepted: closing
// it resets them.
func (s *callerServer) stopAccepting() {
	for sockets.HasPendingConn(s.listener) {
		time.Sleep(stopPollPeriod)
	}
	_ = s.listener.Close()
	<-s.ended
}

// callerListener accepts connections as *callerConn.
type callerListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	lastRead atomic.Int64 // when data was read, Unix nanoseconds; 0 if never
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// CloseWrite ends the outgoing direction. The HTTP server uses it so that a caller gets a
// response that precedes the end of its request.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Close()
}

// isReceiving reports whether data waits in the socket or was read within
// minIdleBeforeClose: the HTTP server calls a connection idle until it has read the whole
// header of a request.
func (c *callerConn) isReceiving(now time.Time) bool {
	return sockets.Peek(c.Conn) == sockets.UnrequestedData || now.Sub(time.Unix(0, c.lastRead.Load())) < minIdleBeforeClose
}

// minIdleBeforeClose is how long a caller's connection must have been idle before a
// stopping entry closes it. The next request may already be in transit on a connection
// that was used more recently.
const minIdleBeforeClose = time.Second

// callerConns holds the open connections of callers.
type callerConns struct {
	mu   sync.Mutex
	idle map[*callerConn]time.Time // start of the idle time; zero while a request is served
}

func newCallerConns() *callerConns { return &callerConns{idle: map[*callerConn]time.Time{}} }

// trackState is the ConnState callback of the HTTP server.
func (c *callerConns) trackState(accepted net.Conn, state http.ConnState) {
	conn := accepted.(*callerConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.idle[conn] = time.Now()
	case http.StateActive:
		c.idle[conn] = time.Time{}
	default:
		delete(c.idle, conn)
	}
}

// quiesced reports whether no request is served or received, and every connection has been
// idle for minIdleBeforeClose.
func (c *callerConns) quiesced(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if since.IsZero() || now.Sub(since) < minIdleBeforeClose || conn.isReceiving(now) {
			return false
		}
	}
	return true
}
