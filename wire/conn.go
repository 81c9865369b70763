package wire

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"
)

// writeTimeout bounds one write. Without it, a peer that reads nothing would
// block a call beyond its deadline once the socket's buffer is full.
const writeTimeout = time.Second

// boundedConn closes the connection when a write does not get through in time,
// since a part of a message may have been written.
type boundedConn struct {
	net.Conn
}

func (c boundedConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	if err != nil {
		_ = c.Close()
	}
	return n, err
}

// newConn serves handler on the socket until either side closes it or ctx ends.
func newConn(ctx context.Context, socket net.Conn, handler jsonrpc2.Handler) *jsonrpc2.Conn {
	stream := jsonrpc2.NewPlainObjectStream(boundedConn{meter.Count(socket)})
	return jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(faultCounter{}))
}

// faults counts messages that could not be delivered or understood.
var faults = metrics.GetOrCreateCounter("lacewing_wire_faults_total")

// faultCounter takes the place of the library's logger, whose lines are no
// key=value pairs. The caller of a lost message gets an error in any case.
type faultCounter struct{}

func (faultCounter) Printf(string, ...any) { faults.Inc() }
