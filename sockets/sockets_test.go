package sockets

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// pair returns both ends of a connection that was opened with this package.
func pair(t *testing.T) (dialed, accepted net.Conn) {
	t.Helper()
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	dialed, err = Dialer(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return dialed, accepted
}

func option(t *testing.T, conn net.Conn, level, name int) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	_ = raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) })
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func TestBothEndsHaveDeadPeerDetection(t *testing.T) {
	dialed, accepted := pair(t)
	for name, conn := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		if got := option(t, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); got != int(UserTimeout.Milliseconds()) {
			t.Errorf("%s: TCP_USER_TIMEOUT = %d ms", name, got)
		}
		if got := option(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE); got != int(keepAliveIdle.Seconds()) {
			t.Errorf("%s: TCP_KEEPIDLE = %d s", name, got)
		}
		if option(t, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE) == 0 {
			t.Errorf("%s: keepalive is off", name)
		}
	}
}

func TestPeekDetectsUnrequestedDataAndClosedPeers(t *testing.T) {
	dialed, accepted := pair(t)
	if Peek(dialed) != NoData {
		t.Fatal("an open connection without data is not reported as idle")
	}
	if _, err := accepted.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	awaitState(t, dialed, UnrequestedData)
	dialed, accepted = pair(t)
	_ = accepted.Close()
	awaitState(t, dialed, Closed)
}

func awaitState(t *testing.T, conn net.Conn, want IdleState) {
	t.Helper()
	for Peek(conn) != want {
		time.Sleep(time.Millisecond) // a state that is never reached ends with the test's timeout
	}
}

func TestHasPendingConnSeesTheQueueOfAListener(t *testing.T) {
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if HasPendingConn(listener) {
		t.Fatal("the queue of a new listener is not empty")
	}
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	for !HasPendingConn(listener) {
		time.Sleep(time.Millisecond) // if it never succeeds, go test times out
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if HasPendingConn(listener) {
		t.Fatal("the queue is not empty after its connection was accepted")
	}
}

// Guards against an end of the connection that is not noticed behind unread data, and against
// a wait that a read deadline does not end.
func TestAwaitHangupSeesTheEndBehindUnreadData(t *testing.T) {
	dialed, accepted := pair(t)
	raw, err := accepted.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := dialed.Write([]byte("unread")); err != nil {
		t.Fatal(err)
	}
	awaitState(t, accepted, UnrequestedData)
	if err := accepted.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if err := AwaitHangup(raw); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("an open connection: %v", err)
	}
	if err := accepted.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, func() { _ = dialed.Close() })
	if err := AwaitHangup(raw); err != io.EOF {
		t.Fatalf("a connection that the peer has closed: %v", err)
	}
	if Peek(accepted) != UnrequestedData {
		t.Error("the data was consumed")
	}
}

// Guards against a reset that is taken for a regular end, since a write got its error, and the
// reverse.
func TestWasResetTellsAResetFromAnEnd(t *testing.T) {
	for _, reset := range []bool{false, true} {
		dialed, accepted := pair(t)
		if reset {
			if err := accepted.(*net.TCPConn).SetLinger(0); err != nil {
				t.Fatal(err)
			}
		}
		if WasReset(dialed) {
			t.Error("an open connection counts as reset")
		}
		_ = accepted.Close()
		awaitState(t, dialed, Closed)
		if got := WasReset(dialed); got != reset {
			t.Errorf("reset %v, after a close with a reset: %v", got, reset)
		}
	}
}
