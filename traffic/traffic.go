// Package traffic counts the bytes of network connections.
package traffic

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Meter counts the bytes sent and received on a set of connections.
type Meter struct {
	sent, received *metrics.Counter
}

// NewMeter returns a meter that counts in the metrics with these two names.
func NewMeter(sent, received string) *Meter {
	return &Meter{sent: metrics.GetOrCreateCounter(sent), received: metrics.GetOrCreateCounter(received)}
}

// Count returns a connection that counts the bytes read from and written to conn.
func (m *Meter) Count(conn net.Conn) net.Conn { return &countedConn{Conn: conn, meter: m} }

// Dialer returns a dial function that uses dialer and counts the bytes of its connections.
func (m *Meter) Dialer(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Count(conn), nil
	}
}

type countedConn struct {
	net.Conn
	meter *Meter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(n)
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(n)
	return n, err
}
