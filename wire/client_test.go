package wire

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/timeline"
)

type text struct {
	Text string `json:"text"`
}

// newPeer serves "echo", "slow" (until release is closed) and "silent" (for
// good) and counts connections.
func newPeer(t *testing.T, release <-chan struct{}) (client *Client, accepted *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counting := &countingListener{Listener: listener}
	clock := timeline.NewClock(time.Now)
	handlers := NewHandlers(clock)
	Handle(handlers, "echo", func(_ context.Context, q text) (text, error) { return q, nil })
	Handle(handlers, "slow", func(_ context.Context, q text) (text, error) { <-release; return q, nil })
	Handle(handlers, "silent", func(ctx context.Context, _ text) (text, error) { <-ctx.Done(); return text{}, ctx.Err() })
	go handlers.Serve(t.Context(), counting)
	client = NewClient(listener.Addr().String(), clock)
	t.Cleanup(client.Close)
	return client, &counting.accepted
}

type countingListener struct {
	net.Listener
	accepted atomic.Int32
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

// A call that times out makes later calls use a fresh connection and leaves a
// long poll on the old one alone.
func TestTimedOutCallRetiresItsConnectionOnly(t *testing.T) {
	release := make(chan struct{})
	client, accepted := newPeer(t, release)
	poll := make(chan error, 1)
	go func() {
		var got text
		poll <- client.Call(t.Context(), "slow", text{"poll"}, &got)
	}()
	for accepted.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := client.Call(short, "silent", text{}, nil); errs.KindOf(err) != errs.Ambiguous {
		t.Fatalf("got %v", err)
	}
	var got text
	if err := client.Call(t.Context(), "echo", text{"again"}, &got); err != nil || got.Text != "again" {
		t.Fatalf("got %q, %v", got.Text, err)
	}
	if accepted.Load() != 2 {
		t.Fatalf("%d connections; the one that timed out must not be used again", accepted.Load())
	}
	close(release)
	if err := <-poll; err != nil {
		t.Fatalf("the long poll ended with %v", err)
	}
}

// A caller that gives up says nothing about its connection.
func TestCancelledCallKeepsItsConnection(t *testing.T) {
	client, accepted := newPeer(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = client.Call(t.Context(), "echo", text{}, nil)
	_ = client.Call(ctx, "silent", text{}, nil)
	if err := client.Call(t.Context(), "echo", text{}, nil); err != nil || accepted.Load() != 1 {
		t.Fatalf("%v, %d connections", err, accepted.Load())
	}
}
