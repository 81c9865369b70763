package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// staleAfterOne answers the first request of each connection and resets the
// connection after it has read a second one.
func staleAfterOne(c *rawConn, _ int) {
	if c.read() == nil {
		return
	}
	c.send(okAnswer)
	if c.read() != nil {
		c.reset()
	}
}

// closesIdle answers one request of each connection and closes it a moment later.
func closesIdle(c *rawConn, _ int) {
	if c.read() != nil {
		c.send(okAnswer)
	}
}

func TestProofOnceProtectedRequestIsSentOnce(t *testing.T) {
	for name, serve := range map[string]handler{
		"resets after reading": staleAfterOne, "closes idle": closesIdle, "resets": resetting, "half an answer": answeringOnce("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newRawServer(t, serve), newRawServer(t, serve)
			b := newBench(t, addresses(first, second)...)
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

// The same backend server and a client that reuses connections: net/http sends
// the request again by itself.
func TestControlOnceReusingTransportReplays(t *testing.T) {
	server := newRawServer(t, staleAfterOne)
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
		t.Fatalf("%d requests arrived %d times; the control must show a replay", requests, runs)
	}
}

func TestProofOnceProtectedGoesOnWithoutItsCaller(t *testing.T) {
	release := make(chan struct{})
	server := newRawServer(t, func(c *rawConn, _ int) {
		if c.read() != nil {
			<-release
			c.send(okAnswer)
		}
	})
	b := newBench(t, addresses(server)...)
	key := newKey()
	ctx, leave := context.WithCancel(t.Context())
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, b.URL+"/protected", strings.NewReader("order"))
	request.Header.Set(idempotencyHeader, key)
	request.Header.Set("X-Client-Key", benchKey)
	go func() {
		for _, runs := server.counts(); runs == 0; _, runs = server.counts() {
			time.Sleep(time.Millisecond)
		}
		leave()
	}()
	if got := perform(request); got.err == nil {
		t.Fatal("the caller was to leave first")
	}
	if got := b.protected(t, key, "order"); got.outcome != OutcomeUnknown {
		t.Fatalf("duplicate while the first runs: %+v", got)
	}
	close(release)
	for b.protected(t, key, "order").outcome != OutcomeReplayed {
		time.Sleep(time.Millisecond) // the test's own time limit ends a hang
	}
	if _, runs := server.counts(); runs != 1 {
		t.Fatalf("ran %d times", runs)
	}
}

// A duplicate that arrives while the first copy runs gets the answer to it.
func TestProofOnceDuplicateWaitsForTheAnswer(t *testing.T) {
	server := newRawServer(t, func(c *rawConn, _ int) {
		if c.read() != nil {
			time.Sleep(150 * time.Millisecond)
			c.send(okAnswer)
		}
	})
	b := newBench(t, addresses(server)...)
	key := newKey()
	const copies = 4
	replies := make(chan reply, copies)
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
		t.Fatalf("%d runs, %d replays", runs, replayed)
	}
}
