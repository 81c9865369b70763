// Package traffic counts the bytes of network connections.
package traffic

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Meter counts the bytes of all connections of one kind.
type Meter struct {
	sent, received *metrics.Counter
}

// NewMeter returns the meter behind the two named counters.
func NewMeter(sent, received string) *Meter {
	return &Meter{sent: metrics.GetOrCreateCounter(sent), received: metrics.GetOrCreateCounter(received)}
}

// Count returns the connection with its bytes counted.
func (m *Meter) Count(conn net.Conn) net.Conn { return &counted{Conn: conn, meter: m} }

// Dialer returns a dial function whose connections are counted.
func (m *Meter) Dialer(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Count(conn), nil
	}
}

type counted struct {
	net.Conn
	meter *Meter
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(n)
	return n, err
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(n)
	return n, err
}
