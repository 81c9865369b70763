package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"lacewingmount.dev/sockets"
	"lacewingmount.dev/timeline"
)

// minIdleBeforeClose is how long a caller's connection must have been idle before a
// stopping entry closes it. The next request may already be in transit on a connection
// that was used more recently.
const minIdleBeforeClose = time.Second

// callerConns holds the open connections of callers.
type callerConns struct {
	mu   sync.Mutex
	idle map[net.Conn]time.Time // start of the idle time; zero while a request is served
}

func newCallerConns() *callerConns { return &callerConns{idle: map[net.Conn]time.Time{}} }

// trackState is the ConnState callback of the HTTP server.
func (c *callerConns) trackState(conn net.Conn, state http.ConnState) {
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

// quiesced reports whether no request is served, none waits in a socket, and every
// connection has been idle for minIdleBeforeClose.
func (c *callerConns) quiesced(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if since.IsZero() || now.Sub(since) < minIdleBeforeClose || sockets.Peek(conn) == sockets.UnrequestedData {
			return false
		}
	}
	return true
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
		_ = server.http.Serve(listener)
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

const stopPollPeriod = 20 * time.Millisecond

// shutdown reports not ready, accepts connections for DrainDelay so that the load balancer
// can react, and then waits for all requests in flight and for the settlement of their
// claims. From the start, responses have the header Connection: close.
func (e *Entry) shutdown(server *callerServer) error {
	e.stopping.Store(true)
	e.updateReady()
	e.requestReport()
	e.events.Add(timeline.Event{Kind: timeline.KindStopping})
	e.log.Info("stopping")
	time.Sleep(e.settings.DrainDelay.Std())
	server.stopAccepting()
	e.events.Add(timeline.Event{Kind: timeline.KindDrainWait})
	for !e.callerConns.quiesced(time.Now()) {
		time.Sleep(stopPollPeriod)
	}
	err := server.http.Shutdown(context.Background())
	if errors.Is(err, net.ErrClosed) {
		err = nil // the listener was closed above
	}
	e.settler.wait() // the agent may stop once the entry has stopped
	e.events.Add(timeline.Event{Kind: timeline.KindStopped})
	e.log.Info("stopped")
	e.report(context.Background(), true)
	return err
}
