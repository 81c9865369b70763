package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lacewingmount.dev/sockets"
)

const queuePollPeriod = 20 * time.Millisecond // between checks whether the listener's queue is empty

// CallerServer serves callers over HTTP. To stop without losing requests that have reached
// this VM, call StopAccepting, wait until Quiesced, and then call Shutdown or Close.
type CallerServer struct {
	http     *http.Server
	listener net.Listener
	minIdle  time.Duration
	ended    chan struct{} // closed when all accepted connections are in idle and no more are accepted

	mu   sync.Mutex
	idle map[*callerConn]time.Time // all open connections with the start of their idle time; zero while a request is served
}

// NewCallerServer returns a CallerServer for the connections of listener, which Serve
// accepts. A connection that was used within minIdle is not quiesced: the caller's next
// request may already be in transit on it. server must have no ConnState.
func NewCallerServer(server *http.Server, listener net.Listener, minIdle time.Duration) *CallerServer {
	s := &CallerServer{http: server, listener: listener, minIdle: minIdle, ended: make(chan struct{}), idle: map[*callerConn]time.Time{}}
	server.ConnState = s.trackState
	return s
}

// Serve accepts callers until StopAccepting, Shutdown or Close. It is called once, and
// returns an error only if the listener fails.
func (s *CallerServer) Serve() error {
	defer close(s.ended)
	err := s.http.Serve(callerListener{s.listener})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Addr returns the address of the listener.
func (s *CallerServer) Addr() net.Addr { return s.listener.Addr() }

// StopAccepting closes the listener once the connections in its queue are accepted, since
// closing it resets them, or when ctx ends.
func (s *CallerServer) StopAccepting(ctx context.Context) {
	for sockets.HasPendingConn(s.listener) && ctx.Err() == nil {
		time.Sleep(queuePollPeriod)
	}
	_ = s.listener.Close()
	select {
	case <-s.ended:
	case <-ctx.Done():
	}
}

// Quiesced reports whether no request is served or received, and every connection has been
// idle for the minimum time.
func (s *CallerServer) Quiesced(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, since := range s.idle {
		if since.IsZero() || now.Sub(since) < s.minIdle {
			return false
		}
	}
	for conn := range s.idle {
		if conn.isReceiving(now, s.minIdle) {
			return false
		}
	}
	return true
}

// Shutdown closes idle connections, and the others when their answers are complete. It
// fails if ctx ends before.
func (s *CallerServer) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if errors.Is(err, net.ErrClosed) {
		return nil // StopAccepting has closed the listener
	}
	return err
}

// Close closes the listener and all connections at once.
func (s *CallerServer) Close() error {
	err := s.http.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// trackState is the ConnState callback of the HTTP server.
func (s *CallerServer) trackState(accepted net.Conn, state http.ConnState) {
	conn := accepted.(*callerConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		s.idle[conn] = time.Now()
	case http.StateActive:
		s.idle[conn] = time.Time{}
	default:
		delete(s.idle, conn)
	}
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

// CallerConn is a connection of a caller, as the ConnContext of the HTTP server gets it.
type CallerConn interface {
	net.Conn
	// SetHook makes the HTTP server read through the hook. It must be called before the first read.
	SetHook(hook ConnHook)
	// ReadSocket reads from the socket, past the hook.
	ReadSocket(p []byte) (int, error)
	// SyscallConn returns access to the socket. It fails if there is none.
	SyscallConn() (syscall.RawConn, error)
	// ResetOnClose makes the close of the connection an error for the caller. Data that the
	// caller has not received is lost.
	ResetOnClose()
}

// ConnHook is between the HTTP server and the connection of a caller.
type ConnHook interface {
	// Read replaces the Read of the connection. There is one call at a time.
	Read(p []byte) (int, error)
	// End is called before the connection is closed in one or both directions, maybe repeatedly.
	End()
}

// callerConn implements CallerConn.
type callerConn struct {
	net.Conn
	hook     ConnHook     // nil if there is none
	lastRead atomic.Int64 // when data was read, Unix nanoseconds; 0 if never
}

// SetHook implements CallerConn.
func (c *callerConn) SetHook(hook ConnHook) { c.hook = hook }

// SyscallConn implements CallerConn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// ResetOnClose implements CallerConn.
func (c *callerConn) ResetOnClose() {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // fails only on a closed connection
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.hook != nil {
		return c.hook.Read(p)
	}
	return c.ReadSocket(p)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.hook != nil {
		c.hook.End()
	}
	return c.Conn.Close()
}

// ReadSocket implements CallerConn.
func (c *callerConn) ReadSocket(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// CloseWrite ends the outgoing direction. The HTTP server uses it so that a caller gets a
// response that precedes the end of its request.
func (c *callerConn) CloseWrite() error {
	if c.hook != nil {
		c.hook.End()
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Close()
}

// isReceiving reports whether data waits in the socket or was read within minIdle: the HTTP
// server calls a connection idle until it has read the whole header of a request.
func (c *callerConn) isReceiving(now time.Time, minIdle time.Duration) bool {
	return sockets.Peek(c.Conn) == sockets.UnrequestedData || now.Sub(time.Unix(0, c.lastRead.Load())) < minIdle
}
