package entry

import (
	"context"
	"net"
	"sync"
	"time"
)

// connLease is the use of one connection by one attempt. net/http closes its
// connection after each answer; the lease then returns it to the pool if the
// attempt found the answer whole, and closes it otherwise.
type connLease struct {
	pool  *connPool
	reuse bool         // may use and leave behind a pooled connection
	gate  func() error // asked right before the first byte leaves; nil for none

	mu       sync.Mutex
	conn     *pooledConn // nil until connected
	reused   bool        // the connection served an earlier request
	busy     int         // reads and writes in progress
	sent     bool        // a byte may have reached the server
	received bool        // a byte came from the server
	active   time.Time   // of the last byte in either direction
	dropped  bool        // net/http is done with the connection
	ended    bool        // the attempt is over
	whole    bool        // and its answer was whole
}

func newConnLease(pool *connPool, reuse bool) *connLease {
	return &connLease{pool: pool, reuse: reuse, active: time.Now()}
}

// in returns a context that makes the transport connect through the lease.
func (l *connLease) in(ctx context.Context) context.Context {
	return context.WithValue(ctx, leaseKey{}, l)
}

func (l *connLease) attach(conn *pooledConn, reused bool) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || l.conn != nil {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.conn, l.reused, l.active = conn, reused, time.Now()
	return &leasedConn{Conn: conn.Conn, lease: l}, nil
}

// end says that the attempt is over. No byte leaves after it returned.
func (l *connLease) end(whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.ended, l.whole = true, whole && l.busy == 0
	l.settle()
}

// drop says that net/http is done with the connection.
func (l *connLease) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dropped {
		return
	}
	l.dropped = true
	if l.busy > 0 {
		l.ended, l.whole = true, false // closed in the middle of a request
	}
	l.settle()
}

// settle returns the connection to the pool or closes it, once that is decided.
func (l *connLease) settle() {
	if l.conn == nil || !l.ended {
		return
	}
	if !l.whole || !l.reuse {
		_ = l.conn.Close()
		return
	}
	if l.dropped {
		l.pool.put(l.conn)
	}
}

// retire makes the pool open new connections in place of this one and its contemporaries.
func (l *connLease) retire() {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		l.pool.retire(conn.era)
	}
}

// leaseState is what is known about a connection's use so far.
type leaseState struct {
	reused, sent, received bool
	active                 time.Time
}

func (l *connLease) state() leaseState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return leaseState{reused: l.reused, sent: l.sent, received: l.received, active: l.active}
}

func (l *connLease) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil
}

func (l *connLease) begin(write bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || l.dropped {
		return net.ErrClosed
	}
	if write && !l.sent && l.gate != nil {
		if err := l.gate(); err != nil {
			return err
		}
	}
	l.busy++
	l.sent = l.sent || write
	return nil
}

func (l *connLease) done(n int, write bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy--
	if n > 0 {
		l.active = time.Now()
		l.received = l.received || !write
	}
}

// leasedConn is the connection as net/http sees it.
type leasedConn struct {
	net.Conn
	lease *connLease
}

func (c *leasedConn) Read(p []byte) (int, error) {
	if err := c.lease.begin(false); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.lease.done(n, false)
	return n, err
}

func (c *leasedConn) Write(p []byte) (int, error) {
	if err := c.lease.begin(true); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.lease.done(n, true)
	return n, err
}

func (c *leasedConn) Close() error {
	c.lease.drop()
	return nil
}
