package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/keys"
	"lacewingmount.dev/sockets/socketstest"
)

// stoppableEntry is an entry that serves callers on a listener until it is stopped.
type stoppableEntry struct {
	*harness
	server  *daemon.CallerServer
	stopped chan struct{} // closed when the entry has stopped
}

const testDrainDelay = 100 * time.Millisecond

// newStoppableEntry returns an entry whose only backend server is served by serve. Its
// callers are accepted by the listener that wrap returns.
func newStoppableEntry(t *testing.T, serve handler, wrap func(*net.TCPListener) net.Listener) *stoppableEntry {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := wrap(tcp.(*net.TCPListener))
	s := &stoppableEntry{harness: newHarness(t, addresses(newRawServer(t, serve))...), stopped: make(chan struct{})}
	s.entry.settings.DrainDelay = daemon.Duration(testDrainDelay)
	s.server = s.entry.serve(listener)
	return s
}

func plainListener(l *net.TCPListener) net.Listener { return l }

// stop shuts the entry down in the background. After that no connection is left, as when
// the process has ended.
func (s *stoppableEntry) stop() {
	go func() {
		defer close(s.stopped)
		_ = s.entry.shutdown(s.server)
		_ = s.server.Close()
	}()
}

// testCaller is one connection of a caller.
type testCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (s *stoppableEntry) dial(t *testing.T) *testCaller {
	t.Helper()
	conn, err := net.Dial("tcp", s.server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &testCaller{conn: conn, reader: bufio.NewReader(conn)}
}

func (c *testCaller) send(t *testing.T, path string) {
	t.Helper()
	if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: entry\r\n%s: %s\r\n\r\n", path, keys.Header, testKey); err != nil {
		t.Fatal(err)
	}
}

// receive reads a response up to the end of its header.
func (c *testCaller) receive(t *testing.T) *http.Response {
	t.Helper()
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	return answer
}

// finish reads the rest of a response.
func (c *testCaller) finish(t *testing.T, answer *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatalf("the answer broke off after %d bytes: %v", len(body), err)
	}
	return string(body)
}

// wantLastAnswer reads a response and checks that it ends the connection.
func (c *testCaller) wantLastAnswer(t *testing.T) {
	t.Helper()
	answer := c.receive(t)
	if body := c.finish(t, answer); answer.StatusCode != http.StatusOK || body != "ok" || !answer.Close {
		t.Fatalf("status %d, body %q, close: %t; want 200 ok and Connection: close", answer.StatusCode, body, answer.Close)
	}
}

// TestProofShutdownAnswersTheRequestAfterAStreamedAnswer checks that a connection is not
// closed at the end of an answer that has not announced it.
func TestProofShutdownAnswersTheRequestAfterAStreamedAnswer(t *testing.T) {
	release := make(chan struct{})
	const size = 4 * maxBufferedResponse
	s := newStoppableEntry(t, func(c *rawConn, nth int) {
		if c.read() == nil {
			return
		}
		if nth > 1 {
			c.send(okResponse)
			return
		}
		c.send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size/2))
		<-release
		c.send("%s", strings.Repeat("x", size/2))
	}, plainListener)
	caller := s.dial(t)
	caller.send(t, "/read")
	answer := caller.receive(t)
	if answer.Close {
		t.Fatal("the answer began before the stop, but announces the end of the connection")
	}
	s.stop()
	time.Sleep(testDrainDelay + 2*minIdleBeforeClose)
	close(release)
	if got := caller.finish(t, answer); len(got) != size {
		t.Fatalf("%d of %d bytes", len(got), size)
	}
	caller.send(t, "/read")
	caller.wantLastAnswer(t)
	<-s.stopped
}

// TestProofShutdownAnswersInFlightCloseTheirConnections checks that the caller of a request
// that was in flight at the start of a stop learns that its connection ends.
func TestProofShutdownAnswersInFlightCloseTheirConnections(t *testing.T) {
	release := make(chan struct{})
	s := newStoppableEntry(t, func(c *rawConn, _ int) {
		if c.read() != nil {
			<-release
			c.send(okResponse)
		}
	}, plainListener)
	caller := s.dial(t)
	caller.send(t, "/read")
	for s.entry.inFlight.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.stop()
	for !s.entry.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	close(release)
	caller.wantLastAnswer(t)
	<-s.stopped
}

// TestProofShutdownAnswersRequestsThatAreNotReadYet checks that a request that waits in the
// socket of an idle connection is answered, on a VM that is busy for half a second.
func TestProofShutdownAnswersRequestsThatAreNotReadYet(t *testing.T) {
	s := newStoppableEntry(t, alwaysRespond(okResponse), func(l *net.TCPListener) net.Listener {
		return &socketstest.BusyListener{TCPListener: l, ReadDelay: 500 * time.Millisecond}
	})
	caller := s.dial(t)
	caller.send(t, "/read")
	caller.finish(t, caller.receive(t))
	time.Sleep(minIdleBeforeClose)
	s.stop()
	time.Sleep(testDrainDelay / 2)
	caller.send(t, "/read")
	caller.wantLastAnswer(t)
	<-s.stopped
}

// TestProofShutdownAnswersConnectionsThatAreNotServedYet checks that requests on new
// connections are answered on a VM that is busy for half a second.
func TestProofShutdownAnswersConnectionsThatAreNotServedYet(t *testing.T) {
	for position, name := range []string{"accepted", "in the queue of the listener"} {
		t.Run(name, func(t *testing.T) {
			var late *socketstest.LateListener
			s := newStoppableEntry(t, alwaysRespond(okResponse), func(l *net.TCPListener) net.Listener {
				late = socketstest.NewLateListener(l)
				return late
			})
			callers := []*testCaller{s.dial(t), s.dial(t)}
			callers[position].send(t, "/read")
			s.stop()
			go func() {
				<-s.stopped
				close(late.Exited)
			}()
			time.Sleep(testDrainDelay + 500*time.Millisecond)
			close(late.Resume)
			callers[position].wantLastAnswer(t)
			_ = callers[1-position].conn.Close()
			<-s.stopped
		})
	}
}

// TestProofShutdownAnswersRequestsThatArriveInPieces checks that a connection is not closed
// while the header of a request arrives on it.
func TestProofShutdownAnswersRequestsThatArriveInPieces(t *testing.T) {
	s := newStoppableEntry(t, alwaysRespond(okResponse), plainListener)
	caller := s.dial(t)
	caller.send(t, "/read")
	caller.finish(t, caller.receive(t))
	time.Sleep(minIdleBeforeClose)
	s.stop()
	time.Sleep(testDrainDelay / 2)
	if _, err := io.WriteString(caller.conn, "GET /read HTTP/1.1\r\nHost: entry\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(testDrainDelay + minIdleBeforeClose/4)
	if _, err := fmt.Fprintf(caller.conn, "%s: %s\r\n\r\n", keys.Header, testKey); err != nil {
		t.Fatal(err)
	}
	caller.wantLastAnswer(t)
	<-s.stopped
}

// TestProofShutdownRefusesRequestsThatComeLate guards against a stop that takes requests for as
// long as any other one lasts, until the process is killed. Load: one upload that lasts longer than
// that, and idle connections on which a request comes 0.5 s and 3.2 s after the drain delay.
func TestProofShutdownRefusesRequestsThatComeLate(t *testing.T) {
	t.Parallel()
	held, release := make(chan struct{}), make(chan struct{})
	s := newStoppableEntry(t, func(c *rawConn, nth int) {
		for c.read() != nil {
			if nth == 1 {
				close(held)
				<-release
			}
			c.send(okResponse)
		}
	}, plainListener)
	long, inTime, late := s.dial(t), s.dial(t), s.dial(t)
	if _, err := fmt.Fprintf(long.conn, "POST /upload HTTP/1.1\r\nHost: entry\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody", keys.Header, testKey); err != nil {
		t.Fatal(err)
	}
	<-held // the other requests must not get the server's first connection
	for _, caller := range []*testCaller{inTime, late} {
		caller.send(t, "/read")
		caller.finish(t, caller.receive(t))
	}
	s.stop()
	time.Sleep(testDrainDelay + lateRequestsTime/6)
	inTime.send(t, "/read")
	inTime.wantLastAnswer(t)
	time.Sleep(lateRequestsTime*5/6 + 200*time.Millisecond)
	late.send(t, "/read")
	answer := late.receive(t)
	late.finish(t, answer)
	if answer.StatusCode != http.StatusServiceUnavailable || Outcome(answer.Header.Get(OutcomeHeader)) != OutcomeNotRun || answer.Header.Get("Retry-After") == "" || !answer.Close {
		t.Errorf("the late request ends with %d, %v", answer.StatusCode, answer.Header)
	}
	close(release)
	long.wantLastAnswer(t)
	<-s.stopped
}
