package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lacewingmount.dev/sockets"
)

// serveLongAnswer starts an entry with a listener for callers as in production, and a
// backend server whose answer has the given size.
func serveLongAnswer(t *testing.T, size int) *stoppableEntry {
	t.Helper()
	s := newStoppableEntry(t, func(c *rawConn, _ int) {
		if c.read() != nil {
			c.send("%s", responseWithLength(strings.Repeat("x", size), ""))
		}
	}, func(l *net.TCPListener) net.Listener {
		_ = l.Close()
		listener, err := listenForCallers(t.Context(), "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return listener
	})
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// dialSlowly is dial with a small receive window.
func (s *stoppableEntry) dialSlowly(t *testing.T) *testCaller {
	t.Helper()
	caller := s.dial(t)
	if err := caller.conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	return caller
}

// TestProofWholeAnswerToCallerThatPauses checks that a caller may stop reading for longer
// than data may stay unacknowledged elsewhere, but less than callerStallTimeout.
func TestProofWholeAnswerToCallerThatPauses(t *testing.T) {
	t.Parallel()
	const size = 20 << 20 // more than the buffers of both ends
	caller := serveLongAnswer(t, size).dialSlowly(t)
	caller.send(t, "/read")
	answer := caller.receive(t)
	time.Sleep(sockets.UserTimeout + 2*time.Second)
	_ = caller.conn.(*net.TCPConn).SetReadBuffer(size)
	if got := caller.finish(t, answer); len(got) != size {
		t.Fatalf("%d of %d bytes", len(got), size)
	}
}

// TestProofWholeAnswerToCallerThatReadsSlowly checks that a caller that reads all the time
// does not count as stalled, however full the buffers are.
func TestProofWholeAnswerToCallerThatReadsSlowly(t *testing.T) {
	t.Parallel()
	const (
		size         = 6 << 20
		readBytes    = 7 << 10 // every readPause, 0.7 MB/s
		readPause    = 10 * time.Millisecond
		stallTimeout = time.Second // less than a third of a full send buffer takes
	)
	s := serveLongAnswer(t, size)
	s.stage.stallTimeouts.callerStallTimeout = stallTimeout
	caller := s.dialSlowly(t)
	caller.send(t, "/read")
	answer := caller.receive(t)
	if answer.StatusCode != http.StatusOK {
		t.Fatalf("status %d", answer.StatusCode)
	}
	got, err := int64(0), error(nil)
	for ; err == nil; time.Sleep(readPause) {
		var n int64
		n, err = io.CopyN(io.Discard, answer.Body, readBytes)
		got += n
	}
	if got != size {
		t.Fatalf("%d of %d bytes, %v", got, size, err)
	}
}
