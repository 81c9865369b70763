package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// resetAfterFirst responds to the first request of each connection and resets the
// connection after reading the second one.
func resetAfterFirst(c *rawConn, _ int) {
	if c.read() == nil {
		return
	}
	c.send(okResponse)
	if c.read() != nil {
		c.reset()
	}
}

// closeAfterFirst responds to one request of each connection, then closes it.
func closeAfterFirst(c *rawConn, _ int) {
	if c.read() != nil {
		c.send(okResponse)
	}
}

func TestProofOnceProtectedRequestIsSentOnce(t *testing.T) {
	for name, serve := range map[string]handler{
		"resets after reading": resetAfterFirst, "closes idle": closeAfterFirst, "resets": resetAfterRead, "half an answer": respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newRawServer(t, serve), newRawServer(t, serve)
			b := newHarness(t, addresses(first, second)...)
			const requests = 5
			for range requests {
				b.protected(t, newKey(), "order")
			}
			_, one := first.counts()
			_, two := second.counts()
			if one+two != requests {
				t.Fatalf("%d requests reached backend servers %d times", requests, one+two)
			}
		})
	}
}

// TestControlOnceReusingTransportReplays shows that net/http repeats a request by itself if
// it reuses a connection to such a backend server, so that the server runs it twice.
func TestControlOnceReusingTransportReplays(t *testing.T) {
	server := newRawServer(t, resetAfterFirst)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	const requests = 2
	for range requests {
		request, err := http.NewRequest(http.MethodPost, "http://"+server.listener.Addr().String()+"/", strings.NewReader("order"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(idempotencyHeader, newKey())
		if answer, err := transport.RoundTrip(request); err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
		time.Sleep(10 * time.Millisecond) // lets the connection return to the pool
	}
	if _, runs := server.counts(); runs <= requests {
		t.Fatalf("%d requests arrived %d times; this control expects a repeated request", requests, runs)
	}
}

func TestProofOnceProtectedGoesOnWithoutItsCaller(t *testing.T) {
	release := make(chan struct{})
	server := newRawServer(t, func(c *rawConn, _ int) {
		if c.read() != nil {
			<-release
			c.send(okResponse)
		}
	})
	b := newHarness(t, addresses(server)...)
	key := newKey()
	ctx, leave := context.WithCancel(t.Context())
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, b.URL+"/protected", strings.NewReader("order"))
	request.Header.Set(idempotencyHeader, key)
	request.Header.Set("X-Client-Key", testKey)
	go func() {
		for _, runs := server.counts(); runs == 0; _, runs = server.counts() {
			time.Sleep(time.Millisecond)
		}
		leave()
	}()
	if got := roundTrip(request); got.err == nil {
		t.Fatal("the caller got a response before it cancelled the request")
	}
	if got := b.protected(t, key, "order"); got.outcome != OutcomeUnknown {
		t.Fatalf("duplicate while the first request runs: %+v", got)
	}
	close(release)
	for b.protected(t, key, "order").outcome != OutcomeReplayed {
		time.Sleep(time.Millisecond) // if it never succeeds, go test times out
	}
	if _, runs := server.counts(); runs != 1 {
		t.Fatalf("the server ran the request %d times, want 1", runs)
	}
}

// TestProofOnceDuplicateWaitsForTheAnswer checks that a duplicate that arrives while the
// first copy runs gets the response to that copy.
func TestProofOnceDuplicateWaitsForTheAnswer(t *testing.T) {
	server := newRawServer(t, func(c *rawConn, _ int) {
		if c.read() != nil {
			time.Sleep(150 * time.Millisecond)
			c.send(okResponse)
		}
	})
	b := newHarness(t, addresses(server)...)
	key := newKey()
	const copies = 4
	replies := make(chan callerResult, copies)
	for range copies {
		go func() { replies <- b.protected(t, key, "order") }()
	}
	replayed := 0
	for range copies {
		got := <-replies
		if got.body != "ok" {
			t.Fatalf("got %+v", got)
		}
		if got.outcome == OutcomeReplayed {
			replayed++
		}
	}
	if _, runs := server.counts(); runs != 1 || replayed != copies-1 {
		t.Fatalf("the server ran the request %d times, %d copies got a replayed response", runs, replayed)
	}
}
