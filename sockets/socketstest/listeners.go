// Package socketstest provides listeners that behave as those of a VM with too little
// processor time.
package socketstest

import (
	"net"
	"sync/atomic"
	"time"

	"lacewingmount.dev/sockets"
)

// BusyListener accepts connections whose reads return ReadDelay after data has arrived.
type BusyListener struct {
	*net.TCPListener
	ReadDelay time.Duration
}

// Accept implements net.Listener.
func (l *BusyListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &busyConn{TCPConn: conn, delay: l.ReadDelay}, nil
}

// busyConn is a connection whose reads return late. Without a read deadline in the past, a
// read waits for data and then for delay.
type busyConn struct {
	*net.TCPConn
	delay    time.Duration
	deadline atomic.Int64 // Unix nanoseconds, 0 for none
}

// SetReadDeadline implements net.Conn.
func (c *busyConn) SetReadDeadline(at time.Time) error {
	nanos := int64(0)
	if !at.IsZero() {
		nanos = at.UnixNano()
	}
	c.deadline.Store(nanos)
	return c.TCPConn.SetReadDeadline(at)
}

// Read implements net.Conn.
func (c *busyConn) Read(p []byte) (int, error) {
	for sockets.Peek(c.TCPConn) == sockets.NoData {
		if at := c.deadline.Load(); at != 0 && time.Now().UnixNano() >= at {
			break
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(c.delay)
	return c.TCPConn.Read(p)
}

// LateListener holds the first connection that it accepts, and does not accept others,
// until Resume is closed.
type LateListener struct {
	*net.TCPListener
	Resume chan struct{}
	Exited chan struct{} // closed when the process would have ended
}

// NewLateListener returns a LateListener that accepts the connections of listener.
func NewLateListener(listener *net.TCPListener) *LateListener {
	return &LateListener{TCPListener: listener, Resume: make(chan struct{}), Exited: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *LateListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	<-l.Resume
	select {
	case <-l.Exited:
		_ = conn.Close()
		return nil, net.ErrClosed
	default:
		return conn, nil
	}
}
