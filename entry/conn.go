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
	dialTimeout   = 500 * time.Millisecond
	maxIdleAge    = 20 * time.Second        // an older idle connection is closed, not used
	maxIdleConns  = balance.IdleConnections // to each backend server
	maxIdleUnused = -1                      // of net/http's own pool
	noReuseTime   = 10 * time.Minute        // without reuse after unrequested bytes
)

// newTransport returns a transport to backend servers. net/http serves a single
// request on each connection that it gets and never replays one; connections
// are kept by connPool, which knows whether the answer before was whole.
func newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dialLease,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleUnused,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// pooledConn is a connection to a backend server.
type pooledConn struct {
	net.Conn
	era       uint64 // of the pool when it was opened
	idleSince time.Time
}

// connPool keeps idle connections to one backend server. The zero value is ready.
type connPool struct {
	mu    sync.Mutex
	idle  []*pooledConn // longest idle first
	era   uint64        // connections of earlier eras are not used again
	sweep *time.Timer   // closes connections that stay idle; nil when none is

	noReuseUntil time.Time // until then no connection is used again
}

// take returns the connection that was used last, or nil if a new one is needed.
func (p *connPool) take() *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		conn := p.idle[last]
		p.idle = p.idle[:last]
		if time.Since(conn.idleSince) < maxIdleAge && p.quiet(conn) {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// put keeps a connection for the next request, unless it was retired.
func (p *connPool) put(conn *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.quiet(conn) || conn.era != p.era || len(p.idle) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	conn.idleSince = time.Now()
	p.idle = append(p.idle, conn)
	if p.sweep == nil {
		p.sweep = time.AfterFunc(maxIdleAge, p.closeAged)
	}
}

// quiet reports whether an idle connection may be used. A server that sends
// bytes that nobody asked for could send them as the answer to the next request,
// so none of its connections is used again for a time.
func (p *connPool) quiet(conn *pooledConn) bool {
	state := sockets.Peek(conn.Conn)
	if state == sockets.UnrequestedData {
		unrequestedBytes.Inc()
		p.noReuseUntil = time.Now().Add(noReuseTime)
		p.closeIdle()
	}
	return state == sockets.NoData && time.Now().After(p.noReuseUntil)
}

var unrequestedBytes = metrics.GetOrCreateCounter("lacewing_backend_unrequested_bytes_total")

// retire closes all connections up to the given era, now if they are idle and
// otherwise after their request. Connections opened later are not affected.
func (p *connPool) retire(era uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if era != p.era {
		return // retired before
	}
	p.era++
	p.closeIdle()
}

func (p *connPool) closeIdle() {
	for _, conn := range p.idle {
		_ = conn.Close()
	}
	p.idle = nil
}

func (p *connPool) closeAged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) >= maxIdleAge {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
	p.sweep = nil
	if len(p.idle) > 0 {
		p.sweep = time.AfterFunc(maxIdleAge-time.Since(p.idle[0].idleSince), p.closeAged)
	}
}

func (p *connPool) currentEra() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

type leaseKey struct{}

// dialLease connects on behalf of the lease in ctx.
func dialLease(ctx context.Context, network, address string) (net.Conn, error) {
	lease := ctx.Value(leaseKey{}).(*connLease)
	if lease.reuse {
		if conn := lease.pool.take(); conn != nil {
			return lease.attach(conn, true)
		}
	}
	era := lease.pool.currentEra()
	conn, err := sockets.Dialer(dialTimeout).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return lease.attach(&pooledConn{Conn: conn, era: era}, false)
}
