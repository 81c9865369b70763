package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lacewingmount.dev/platform/platformtest"
	"lacewingmount.dev/sockets/socketstest"
)

// stoppingVM is a VM that is shut down while callers use its connections.
type stoppingVM struct {
	*vm
	f        *fleet
	shutDown func()
	stopped  chan struct{} // closed when no connection is left
}

func newStoppingVM(t *testing.T, listener net.Listener) *stoppingVM {
	t.Helper()
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	return &stoppingVM{vm: v, f: f, shutDown: v.serveOn(listener), stopped: make(chan struct{})}
}

// stop begins the shutdown and returns when new requests are refused.
func (v *stoppingVM) stop() {
	go func() {
		defer close(v.stopped)
		v.shutDown()
	}()
	v.f.waitFor("the VM refuses requests", func() bool { return !v.accepts(time.Now()) })
}

// testCaller is one connection of a caller.
type testCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (v *stoppingVM) dial(t *testing.T) *testCaller {
	t.Helper()
	conn, err := net.Dial("tcp", v.callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &testCaller{conn: conn, reader: bufio.NewReader(conn)}
}

func (c *testCaller) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		t.Fatal(err)
	}
}

// receive reads an answer without a body, or one that is short.
func (c *testCaller) receive(t *testing.T) *http.Response {
	t.Helper()
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		t.Fatalf("the answer broke off: %v", err)
	}
	return answer
}

// wantRefusal reads an answer that says that the request has not run and that the
// connection ends.
func (c *testCaller) wantRefusal(t *testing.T) {
	t.Helper()
	if answer := c.receive(t); answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" || !answer.Close {
		t.Fatalf("the request ends with %d, %v", answer.StatusCode, answer.Header)
	}
}

// head returns the head of a request up to the empty line.
func head(id string) string {
	return fmt.Sprintf("POST /r/ HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nKey: k1\r\nContent-Length: 0\r\n", platformtest.Host, id)
}

// Load: a VM that is busy for half a second has not read a request of an open connection
// when it is about to close it.
func TestShutdownDoesNotCutRequestsThatAreNotReadYet(t *testing.T) {
	t.Parallel()
	const readDelay = 500 * time.Millisecond
	v := newStoppingVM(t, &socketstest.BusyListener{TCPListener: listen(t), ReadDelay: readDelay})
	caller := v.dial(t)
	caller.send(t, head("before")+"\r\n")
	if answer := caller.receive(t); answer.StatusCode != http.StatusOK {
		t.Fatalf("%d, %v", answer.StatusCode, answer.Header)
	}
	time.Sleep(readDelay + 2*quietTime) // until the connection is idle
	v.stop()
	time.Sleep(quietTime / 4)
	caller.send(t, head("after")+"\r\n")
	caller.wantRefusal(t)
	<-v.stopped
}

// Load: the head of a request arrives in pieces while the VM is about to close its
// connection.
func TestShutdownDoesNotCutRequestsThatArriveInPieces(t *testing.T) {
	t.Parallel()
	v := newStoppingVM(t, listen(t))
	caller := v.dial(t)
	caller.send(t, head("before")+"\r\n")
	caller.receive(t)
	time.Sleep(quietTime)
	v.stop()
	caller.send(t, head("after"))
	for i := range 4 {
		time.Sleep(quietTime / 3)
		caller.send(t, fmt.Sprintf("Piece: %d\r\n", i))
	}
	caller.send(t, "\r\n")
	caller.wantRefusal(t)
	<-v.stopped
}

// Load: a VM that is busy for half a second has not served new connections, on which
// requests have arrived, when it is about to close its listener.
func TestShutdownDoesNotCutConnectionsThatAreNotServedYet(t *testing.T) {
	for dialed, name := range []string{"accepted", "in the queue of the listener"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			late := socketstest.NewLateListener(listen(t))
			v := newStoppingVM(t, late)
			var earlier []*testCaller // their connections are accepted before
			for range dialed {
				earlier = append(earlier, v.dial(t))
			}
			caller := v.dial(t)
			caller.send(t, head("new")+"\r\n")
			v.stop()
			go func() {
				<-v.stopped
				close(late.Exited)
			}()
			time.Sleep(2*quietTime + 100*time.Millisecond)
			close(late.Resume)
			caller.wantRefusal(t)
			for _, c := range earlier {
				_ = c.conn.Close()
			}
			<-v.stopped
		})
	}
}

// stuckListener accepts no connection.
type stuckListener struct {
	*net.TCPListener
	closed chan struct{}
}

func (l *stuckListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l *stuckListener) Close() error {
	err := l.TCPListener.Close()
	if err == nil {
		close(l.closed)
	}
	return err
}

// Load: the queue of the listener does not become empty.
func TestShutdownEndsWithinTheGracePeriodBesideAFullQueue(t *testing.T) {
	t.Parallel()
	v := newStoppingVM(t, &stuckListener{TCPListener: listen(t), closed: make(chan struct{})})
	v.dial(t)
	began := time.Now()
	v.stop()
	<-v.stopped
	if took, limit := time.Since(began), v.settings.Bounds.GracePeriod; took > limit {
		t.Errorf("the shutdown took %v, the grace period is %v", took, limit)
	}
}

// Load: a caller sends a head without end, a line at a time.
func TestShutdownEndsWithinTheGracePeriodBesideAHeadWithoutEnd(t *testing.T) {
	t.Parallel()
	v := newStoppingVM(t, listen(t))
	caller := v.dial(t)
	caller.send(t, head("endless"))
	began := time.Now()
	v.stop()
	for running := true; running; {
		_, _ = io.WriteString(caller.conn, "Piece: 1\r\n") // fails when the VM has closed the connection
		select {
		case <-v.stopped:
			running = false
		case <-time.After(quietTime / 3):
		}
	}
	if took, limit := time.Since(began), v.settings.Bounds.GracePeriod; took > limit {
		t.Errorf("the shutdown took %v, the grace period is %v", took, limit)
	}
}
