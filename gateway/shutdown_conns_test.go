package gateway

import (
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
	caller.send(head("before") + "\r\n")
	if answer := caller.receive(); answer.StatusCode != http.StatusOK {
		t.Fatalf("%d, %v", answer.StatusCode, answer.Header)
	}
	time.Sleep(readDelay + 2*quietTime) // until the connection is idle
	v.stop()
	time.Sleep(quietTime / 4)
	caller.send(head("after") + "\r\n")
	caller.wantRefusal()
	<-v.stopped
}

// Load: the head of a request arrives in pieces while the VM is about to close its
// connection.
func TestShutdownDoesNotCutRequestsThatArriveInPieces(t *testing.T) {
	t.Parallel()
	v := newStoppingVM(t, listen(t))
	caller := v.dial(t)
	caller.send(head("before") + "\r\n")
	caller.receive()
	time.Sleep(quietTime)
	v.stop()
	caller.send(head("after"))
	for i := range 4 {
		time.Sleep(quietTime / 3)
		caller.send(fmt.Sprintf("Piece: %d\r\n", i))
	}
	caller.send("\r\n")
	caller.wantRefusal()
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
			var earlier []*rawCaller // their connections are accepted before
			for range dialed {
				earlier = append(earlier, v.dial(t))
			}
			caller := v.dial(t)
			caller.send(head("new") + "\r\n")
			v.stop()
			go func() {
				<-v.stopped
				close(late.Exited)
			}()
			time.Sleep(2*quietTime + 100*time.Millisecond)
			close(late.Resume)
			caller.wantRefusal()
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
	caller.send(head("endless"))
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
