package entry

import (
	"context"
	"net"
	"sync"
	"time"
)

// connLease is the use of one connection by one attempt. net/http closes its connection
// after each response. The lease then returns the connection to the pool if the attempt
// received a complete response, and closes it otherwise.
type connLease struct {
	pool       *connPool
	reuse      bool         // the connection may come from the pool and return to it
	beforeSend func() error // called before the first byte is sent, which its error prevents; may be nil

	mu              sync.Mutex
	conn            *pooledConn // nil until connected
	reused          bool        // the connection has served an earlier request
	operations      int         // reads and writes in progress
	sent            bool        // a byte may have reached the server
	received        bool        // a byte was received from the server
	lastActive      time.Time   // time of the last byte in either direction
	transportClosed bool        // net/http has closed the connection
	ended           bool        // the attempt has ended
	complete        bool        // the attempt received a complete response
}

func newConnLease(pool *connPool, reuse bool) *connLease {
	return &connLease{pool: pool, reuse: reuse, lastActive: time.Now()}
}

// newContext returns a context in which the transport connects through the lease.
func (l *connLease) newContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, leaseContextKey{}, l)
}

// attach sets the connection of the lease and returns it for net/http. It closes the
// connection if the attempt has ended.
func (l *connLease) attach(conn *pooledConn, reused bool) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || l.conn != nil {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.conn, l.reused, l.lastActive = conn, reused, time.Now()
	return &leasedConn{Conn: conn.Conn, lease: l}, nil
}

// end records that the attempt has ended, and whether with a complete response. No byte
// is sent after it returns.
func (l *connLease) end(complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.ended, l.complete = true, complete && l.operations == 0
	l.poolOrClose()
}

// closeByTransport records that net/http has closed the connection.
func (l *connLease) closeByTransport() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.transportClosed {
		return
	}
	l.transportClosed = true
	if l.operations > 0 {
		l.ended, l.complete = true, false // closed during a read or write
	}
	l.poolOrClose()
}

// poolOrClose closes the connection if the attempt has ended and the connection cannot be
// reused. Otherwise it returns the connection to the pool once both the attempt has ended
// and net/http has closed it.
func (l *connLease) poolOrClose() {
	if l.conn == nil || !l.ended {
		return
	}
	if !l.complete || !l.reuse {
		_ = l.conn.Close()
		return
	}
	if l.transportClosed {
		l.pool.put(l.conn)
	}
}

// retire retires the generation of the connection in the pool.
func (l *connLease) retire() {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		l.pool.retire(conn.generation)
	}
}

// leaseState is a copy of the state of a lease.
type leaseState struct {
	reused, sent, received bool
	lastActive             time.Time
}

func (l *connLease) state() leaseState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return leaseState{reused: l.reused, sent: l.sent, received: l.received, lastActive: l.lastActive}
}

func (l *connLease) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil
}

// beginIO must be called before each read or write; an error prevents it.
func (l *connLease) beginIO(write bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || l.transportClosed {
		return net.ErrClosed
	}
	if write && !l.sent && l.beforeSend != nil {
		if err := l.beforeSend(); err != nil {
			return err
		}
	}
	l.operations++
	l.sent = l.sent || write
	return nil
}

// endIO records the end of a read or write of n bytes.
func (l *connLease) endIO(n int, write bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.operations--
	if n > 0 {
		l.lastActive = time.Now()
		l.received = l.received || !write
	}
}

// leasedConn is the connection that net/http uses. Closing it does not close the
// underlying connection but informs the lease.
type leasedConn struct {
	net.Conn
	lease *connLease
}

func (c *leasedConn) Read(p []byte) (int, error) {
	if err := c.lease.beginIO(false); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.lease.endIO(n, false)
	return n, err
}

func (c *leasedConn) Write(p []byte) (int, error) {
	if err := c.lease.beginIO(true); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.lease.endIO(n, true)
	return n, err
}

func (c *leasedConn) Close() error {
	c.lease.closeByTransport()
	return nil
}
