package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lacewingmount.dev/balance"
	"lacewingmount.dev/sockets"
)

const (
	dialTimeout      = 500 * time.Millisecond
	maxIdleAge       = 20 * time.Second        // connections that were idle for longer are closed
	maxIdleConns     = balance.IdleConnections // to each backend server
	disableIdleConns = -1                      // value that disables the pool of net/http
	noReusePeriod    = 10 * time.Minute        // how long connections are not reused after unrequested bytes
)

// newTransport returns a transport to backend servers. Its net/http connections serve a
// single request each, so that net/http never repeats a request by itself. Connections
// are kept in connPool instead, where only those with a complete last response are
// reused.
func newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dialWithLease,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    disableIdleConns,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// pooledConn is a connection to a backend server.
type pooledConn struct {
	net.Conn
	generation uint64 // generation of the pool when the connection was opened
	idleSince  time.Time
}

// connPool keeps idle connections to one backend server. The zero value is an empty pool.
type connPool struct {
	mu         sync.Mutex
	idle       []*pooledConn // in the order in which they became idle
	generation uint64        // connections of earlier generations are not reused
	idleTimer  *time.Timer   // closes connections that are idle for too long; nil if there are none

	noReuseUntil time.Time // until then no connection is reused
}

// take returns the most recently used idle connection, or nil if there is none that can
// be reused.
func (p *connPool) take() *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		conn := p.idle[last]
		p.idle = p.idle[:last]
		if time.Since(conn.idleSince) < maxIdleAge && p.usable(conn) {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// put adds an idle connection, or closes it if it cannot be reused, was retired or the
// pool is full.
func (p *connPool) put(conn *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.usable(conn) || conn.generation != p.generation || len(p.idle) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	conn.idleSince = time.Now()
	p.idle = append(p.idle, conn)
	if p.idleTimer == nil {
		p.idleTimer = time.AfterFunc(maxIdleAge, p.closeExpired)
	}
}

// usable reports whether an idle connection may be reused. Bytes that a server sends
// without a request could be taken for the response to the next request. Therefore no
// connection to such a server is reused for noReusePeriod.
func (p *connPool) usable(conn *pooledConn) bool {
	state := sockets.Peek(conn.Conn)
	if state == sockets.UnrequestedData {
		unrequestedBytes.Inc()
		p.noReuseUntil = time.Now().Add(noReusePeriod)
		p.closeIdle()
	}
	return state == sockets.NoData && time.Now().After(p.noReuseUntil)
}

var unrequestedBytes = metrics.GetOrCreateCounter("lacewing_backend_unrequested_bytes_total")

// retire closes all connections of the given generation: idle ones immediately, others
// after their current request. Connections that are opened later are not affected.
func (p *connPool) retire(generation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if generation != p.generation {
		return // already retired
	}
	p.generation++
	p.closeIdle()
}

func (p *connPool) closeIdle() {
	for _, conn := range p.idle {
		_ = conn.Close()
	}
	p.idle = nil
}

func (p *connPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) >= maxIdleAge {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
	p.idleTimer = nil
	if len(p.idle) > 0 {
		p.idleTimer = time.AfterFunc(maxIdleAge-time.Since(p.idle[0].idleSince), p.closeExpired)
	}
}

func (p *connPool) currentGeneration() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generation
}

type leaseContextKey struct{}

// dialWithLease returns a pooled or a new connection for the lease in ctx.
func dialWithLease(ctx context.Context, network, address string) (net.Conn, error) {
	lease := ctx.Value(leaseContextKey{}).(*connLease)
	if lease.reuse {
		if conn := lease.pool.take(); conn != nil {
			return lease.attach(conn, true)
		}
	}
	generation := lease.pool.currentGeneration()
	conn, err := sockets.Dialer(dialTimeout).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return lease.attach(&pooledConn{Conn: conn, generation: generation}, false)
}
