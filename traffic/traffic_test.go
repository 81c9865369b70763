package traffic

import (
	"io"
	"net"
	"testing"
)

func TestMeterCountsEachDirection(t *testing.T) {
	meter := NewMeter("test_sent", "test_received")
	near, far := net.Pipe()
	conn := meter.Count(near)
	go func() {
		_, _ = io.ReadFull(far, make([]byte, 5))
		_, _ = far.Write([]byte("abc"))
		_ = far.Close()
	}()
	_, _ = conn.Write([]byte("hello"))
	_, _ = io.ReadAll(conn)
	if sent, received := meter.sent.Get(), meter.received.Get(); sent != 5 || received != 3 {
		t.Fatalf("sent %d, received %d; want 5 and 3", sent, received)
	}
}
