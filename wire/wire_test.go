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

type echoed struct {
	Text string `json:"text"`
}

// clockAt returns a clock whose physical time stands still.
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

func TestErrorKindsCrossTheWire(t *testing.T) {
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
			t.Errorf("%s arrived as %v", kind, err)
		}
	}
	if err := client.Call(t.Context(), "no-such-method", struct{}{}, nil); !strings.Contains(err.Error(), "same version") {
		t.Errorf("unknown method: %v", err)
	}
	if err := client.Call(t.Context(), string(errs.Denied), []int{1}, nil); errs.KindOf(err) != errs.Invalid {
		t.Errorf("question of another type: %v", err)
	}
}

func TestStampsTravelBothWays(t *testing.T) {
	ahead, behind := clockAt(100), clockAt(1)
	handlers := NewHandlers(ahead)
	var during timeline.Stamp
	Handle(handlers, "echo", func(_ context.Context, q echoed) (echoed, error) {
		during = ahead.Now()
		return q, nil
	})
	client := dial(t, serve(t, handlers), behind)
	var answer echoed
	if err := client.Call(t.Context(), "echo", echoed{Text: "hi"}, &answer); err != nil || answer.Text != "hi" {
		t.Fatal(answer, err)
	}
	if after := behind.Now(); !during.Before(after) {
		t.Fatalf("the answer's stamp was not observed: %v, then %v", during, after)
	}
	future := clockAt(1000)
	if err := dial(t, client.address, future).Call(t.Context(), "echo", echoed{}, &answer); err != nil {
		t.Fatal(err)
	}
	if during.Wall < future.Now().Wall {
		t.Fatalf("the question's stamp was not observed: %v", during)
	}
}

// silentThenServing accepts connections; the first is never answered or read.
func silentThenServing(t *testing.T, handlers *Handlers) string {
	t.Helper()
	target := serve(t, handlers)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var accepted atomic.Int32
	var carrying sync.WaitGroup
	t.Cleanup(carrying.Wait)
	t.Cleanup(func() { _ = listener.Close() })
	carrying.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			if accepted.Add(1) == 1 {
				continue
			}
			onward, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = onward.Close() })
			carrying.Go(func() { _, _ = io.Copy(onward, conn) })
			carrying.Go(func() { _, _ = io.Copy(conn, onward) })
		}
	})
	return listener.Addr().String()
}

func TestSilentConnectionIsRetired(t *testing.T) {
	for name, size := range map[string]int{"small question": 1, "question larger than the socket's buffers": 8 << 20} {
		t.Run(name, func(t *testing.T) {
			handlers := NewHandlers(clockAt(1))
			Handle(handlers, "echo", func(_ context.Context, q echoed) (echoed, error) { return q, nil })
			client := dial(t, silentThenServing(t, handlers), clockAt(1))
			used, err := client.acquire(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			client.release(used)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			err = client.Call(ctx, "echo", echoed{Text: strings.Repeat("x", size)}, nil)
			if errs.KindOf(err) != errs.Ambiguous {
				t.Fatalf("a call without an answer ended with %v", err)
			}
			var answer echoed
			if err := client.Call(t.Context(), "echo", echoed{Text: "again"}, &answer); err != nil || answer.Text != "again" {
				t.Fatalf("the next call must use a fresh connection: %v", err)
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
			Handle(handlers, "slow", func(_ context.Context, q echoed) (echoed, error) {
				began <- struct{}{}
				<-finish
				return q, nil
			})
			client := dial(t, serve(t, handlers), clockAt(1))
			patient := make(chan error, 1)
			go func() { patient <- client.Call(t.Context(), "slow", echoed{}, nil) }()
			<-began
			ctx, cancel := end(t.Context())
			defer cancel()
			if name == "cancelled" {
				go func() { <-began; cancel() }()
			}
			if err := client.Call(ctx, "slow", echoed{}, nil); errs.KindOf(err) != errs.Ambiguous {
				t.Errorf("the short call ended with %v", err)
			}
			close(finish)
			if err := <-patient; err != nil {
				t.Errorf("the other call lost its answer: %v", err)
			}
		})
	}
}

func TestCallWithoutConnectionIsUnavailable(t *testing.T) {
	err := NewClient("127.0.0.1:1", clockAt(1)).Call(t.Context(), "echo", echoed{}, nil)
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
		Handle(handlers, "echo", func(_ context.Context, q echoed) (echoed, error) { return q, nil })
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
