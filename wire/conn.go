package wire

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"
)

// writeTimeout is the maximum duration of one write. Without it, a peer that reads
// nothing would block a call beyond its deadline once the socket's buffer is full.
const writeTimeout = time.Second

// writeDeadlineConn closes the connection when a write fails or exceeds
// writeTimeout, because part of a message may have been written.
type writeDeadlineConn struct {
	net.Conn
}

// Write implements net.Conn.
func (c writeDeadlineConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	if err != nil {
		_ = c.Close()
	}
	return n, err
}

// newConn serves handler on the socket until either side closes it or ctx ends.
func newConn(ctx context.Context, socket net.Conn, handler jsonrpc2.Handler) *jsonrpc2.Conn {
	stream := jsonrpc2.NewPlainObjectStream(writeDeadlineConn{meter.Count(socket)})
	return jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(faultCounter{}))
}

// faults counts messages that could not be delivered or decoded.
var faults = metrics.GetOrCreateCounter("lacewing_wire_faults_total")

// faultCounter replaces the logger of the JSON-RPC library, because its lines are
// not key=value pairs. The call whose message is lost fails in any case.
type faultCounter struct{}

func (faultCounter) Printf(string, ...any) { faults.Inc() }
