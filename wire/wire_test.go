package wire

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type echoMessage struct {
	Text string `json:"text"`
}

// clockAt returns a clock with a fixed physical time.
func clockAt(seconds int64) *timeline.Clock {
	return timeline.NewClock(func() time.Time { return time.Unix(seconds, 0) })
}

// serve answers with handlers on a loopback address until the test ends.
func serve(t *testing.T, handlers *Handlers) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { handlers.Serve(ctx, listener) })
	t.Cleanup(func() { cancel(); serving.Wait() })
	return listener.Addr().String()
}

func dial(t *testing.T, address string, clock *timeline.Clock) *Client {
	t.Helper()
	client := NewClient(address, clock)
	t.Cleanup(client.Close)
	return client
}

func TestErrorKindsAreTransmitted(t *testing.T) {
	handlers := NewHandlers(clockAt(1))
	for _, kind := range []errs.Kind{errs.Invalid, errs.NotFound, errs.Conflict, errs.Unavailable, errs.Ambiguous, errs.Denied} {
		Handle(handlers, string(kind), func(context.Context, struct{}) (struct{}, error) {
			return struct{}{}, errors.Wrap(errs.New(kind, "message", "remedy"), "context")
		})
	}
	Handle(handlers, "untyped", func(context.Context, struct{}) (struct{}, error) {
		return struct{}{}, errors.New("plain")
	})
	client := dial(t, serve(t, handlers), clockAt(1))
	for kind := range handlers.methods {
		err := client.Call(t.Context(), kind, struct{}{}, nil)
		if kind == "untyped" {
			kind = string(errs.Unknown)
		}
		if string(errs.KindOf(err)) != kind {
			t.Errorf("%s was received as %v", kind, err)
		}
	}
	if err := client.Call(t.Context(), "no-such-method", struct{}{}, nil); !strings.Contains(err.Error(), "same version") {
		t.Errorf("unknown method: %v", err)
	}
	if err := client.Call(t.Context(), string(errs.Denied), []int{1}, nil); errs.KindOf(err) != errs.Invalid {
		t.Errorf("request of another type: %v", err)
	}
}

func TestTimestampsPassInBothDirections(t *testing.T) {
	ahead, behind := clockAt(100), clockAt(1)
	handlers := NewHandlers(ahead)
	var handled timeline.Stamp
	Handle(handlers, "echo", func(_ context.Context, q echoMessage) (echoMessage, error) {
		handled = ahead.Now()
		return q, nil
	})
	client := dial(t, serve(t, handlers), behind)
	var answer echoMessage
	if err := client.Call(t.Context(), "echo", echoMessage{Text: "hi"}, &answer); err != nil || answer.Text != "hi" {
		t.Fatal(answer, err)
	}
	if after := behind.Now(); !handled.Before(after) {
		t.Fatalf("the answer's timestamp was not observed: %v, then %v", handled, after)
	}
	future := clockAt(1000)
	if err := dial(t, client.address, future).Call(t.Context(), "echo", echoMessage{}, &answer); err != nil {
		t.Fatal(err)
	}
	if handled.Wall < future.Now().Wall {
		t.Fatalf("the request's timestamp was not observed: %v", handled)
	}
}

// serveAfterSilentConnection accepts connections and forwards them to handlers, except
// the first, which is neither read nor answered.
func serveAfterSilentConnection(t *testing.T, handlers *Handlers) string {
	t.Helper()
	target := serve(t, handlers)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var accepted atomic.Int32
	var forwarding sync.WaitGroup
	t.Cleanup(forwarding.Wait)
	t.Cleanup(func() { _ = listener.Close() })
	forwarding.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			if accepted.Add(1) == 1 {
				continue
			}
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = upstream.Close() })
			forwarding.Go(func() { _, _ = io.Copy(upstream, conn) })
			forwarding.Go(func() { _, _ = io.Copy(conn, upstream) })
		}
	})
	return listener.Addr().String()
}

func TestSilentConnectionIsRetired(t *testing.T) {
	for name, size := range map[string]int{"small request": 1, "request larger than the socket's buffers": 8 << 20} {
		t.Run(name, func(t *testing.T) {
			handlers := NewHandlers(clockAt(1))
			Handle(handlers, "echo", func(_ context.Context, q echoMessage) (echoMessage, error) { return q, nil })
			client := dial(t, serveAfterSilentConnection(t, handlers), clockAt(1))
			used, err := client.acquire(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			client.release(used)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			err = client.Call(ctx, "echo", echoMessage{Text: strings.Repeat("x", size)}, nil)
			if errs.KindOf(err) != errs.Ambiguous {
				t.Fatalf("a call without an answer ended with %v", err)
			}
			var answer echoMessage
			if err := client.Call(t.Context(), "echo", echoMessage{Text: "again"}, &answer); err != nil || answer.Text != "again" {
				t.Fatalf("the next call must use a new connection: %v", err)
			}
		})
	}
}

func TestCallThatEndsEarlyLeavesOthersTheirAnswer(t *testing.T) {
	for name, end := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"cancelled": context.WithCancel,
		"timed out": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 20*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			began, finish := make(chan struct{}, 2), make(chan struct{})
			handlers := NewHandlers(clockAt(1))
			Handle(handlers, "slow", func(_ context.Context, q echoMessage) (echoMessage, error) {
				began <- struct{}{}
				<-finish
				return q, nil
			})
			client := dial(t, serve(t, handlers), clockAt(1))
			longCall := make(chan error, 1)
			go func() { longCall <- client.Call(t.Context(), "slow", echoMessage{}, nil) }()
			<-began
			ctx, cancel := end(t.Context())
			defer cancel()
			if name == "cancelled" {
				go func() { <-began; cancel() }()
			}
			if err := client.Call(ctx, "slow", echoMessage{}, nil); errs.KindOf(err) != errs.Ambiguous {
				t.Errorf("the call that ended early returned %v", err)
			}
			close(finish)
			if err := <-longCall; err != nil {
				t.Errorf("the other call got no answer: %v", err)
			}
		})
	}
}

func TestCallWithoutConnectionIsUnavailable(t *testing.T) {
	err := NewClient("127.0.0.1:1", clockAt(1)).Call(t.Context(), "echo", echoMessage{}, nil)
	if errs.KindOf(err) != errs.Unavailable {
		t.Fatal(err)
	}
}

func FuzzServer(f *testing.F) {
	f.Add([]byte(`{"jsonrpc":"2.0","id":1,"method":"echo","params":{"s":{"w":1},"b":{"text":"x"}}}`))
	f.Add([]byte(`{"jsonrpc":"2.0","id":1,"method":"echo","params":[]}`))
	f.Add([]byte(`{"method":"echo"}{]`))
	f.Fuzz(func(t *testing.T, frame []byte) {
		handlers := NewHandlers(clockAt(1))
		Handle(handlers, "echo", func(_ context.Context, q echoMessage) (echoMessage, error) { return q, nil })
		near, far := net.Pipe()
		conn := newConn(t.Context(), far, handlers.handler())
		drained := make(chan struct{})
		go func() { _, _ = io.Copy(io.Discard, near); close(drained) }()
		_, _ = near.Write(frame)
		_ = near.Close()
		<-conn.DisconnectNotify()
		<-drained
	})
}
