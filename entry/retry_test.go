package entry

import (
	"net/http"
	"testing"
	"time"
)

// silentAfterFirst stops responding after the first response on the first two connections.
// Later connections work.
func silentAfterFirst(c *rawConn, nth int) {
	if c.read() == nil {
		return
	}
	c.send(okResponse)
	for nth <= 2 && c.read() != nil {
		c.waitForClose()
	}
	for c.read() != nil {
		c.send(okResponse)
	}
}

// TestProofWholeSilentConnection checks that a GET on a reused connection that no longer
// responds is repeated on a new connection within its deadline, that the attempt does not
// count as a failure of the server, and that the connection's generation is retired.
func TestProofWholeSilentConnection(t *testing.T) {
	server := newRawServer(t, silentAfterFirst)
	b := newHarness(t, addresses(server)...)
	pool := &b.server(0).conns
	first, second := b.openUsedConn(t), b.openUsedConn(t)
	pool.put(first)
	pool.put(second) // both have served a request and no longer respond
	got := b.do(t, http.MethodGet, "/read", nil, deadlineHeader, "3000")
	if got.status != http.StatusOK || got.body != "ok" {
		t.Fatalf("got %+v", got)
	}
	seen := b.picker.observations()
	if len(seen) != 2 || seen[0].Result != ResultAnswered || seen[0].ReusedConn || seen[1].Result != ResultCancelled || !seen[1].ReusedConn {
		t.Fatalf("observed %+v", seen)
	}
	got = b.do(t, http.MethodGet, "/read", nil, deadlineHeader, "3000")
	if got.status != http.StatusOK || len(b.picker.observations()) != 3 {
		t.Fatalf("another connection of the same generation was reused: %+v", b.picker.observations())
	}
}

// openUsedConn returns a connection that has served one request, and clears the recorded
// observations.
func (b *harness) openUsedConn(t *testing.T) *pooledConn {
	t.Helper()
	b.do(t, http.MethodGet, "/read", nil)
	for {
		if conn := b.server(0).conns.take(); conn != nil {
			b.picker.mu.Lock()
			b.picker.observed = nil
			b.picker.mu.Unlock()
			return conn
		}
		time.Sleep(time.Millisecond)
	}
}

// TestControlWholeSilentConnection checks that the same GET times out if the retry budget
// does not allow a new connection.
func TestControlWholeSilentConnection(t *testing.T) {
	server := newRawServer(t, silentAfterFirst)
	b := newHarness(t, addresses(server)...)
	b.server(0).conns.put(b.openUsedConn(t))
	b.stage.budgets.get("service", time.Now()).tokens = -10
	got := b.do(t, http.MethodGet, "/read", nil, deadlineHeader, "1000")
	if got.status != http.StatusGatewayTimeout || got.outcome != OutcomeUnknown {
		t.Fatalf("got %+v; this control expects a timeout", got)
	}
	if seen := b.picker.observations(); len(seen) != 1 || seen[0].Result != ResultTimedOut || !seen[0].ReusedConn {
		t.Fatalf("observed %+v", seen)
	}
}

func TestSlowReadIsHedgedAndSlowerAttemptCancelled(t *testing.T) {
	left := make(chan struct{})
	slow := newRawServer(t, func(c *rawConn, _ int) {
		if c.read() != nil {
			c.waitForClose()
			close(left)
		}
	})
	b := newHarness(t, addresses(slow, newRawServer(t, alwaysRespond(okResponse)))...)
	latency := b.stage.latencies.get("/read", time.Now())
	for range minLatencySamples {
		latency.add(time.Millisecond)
	}
	if got := b.do(t, http.MethodGet, "/read", nil); got.body != "ok" {
		t.Fatalf("got %+v", got)
	}
	<-left
	b.awaitIdle(t)
	if seen := b.picker.observations(); len(seen) != 2 || seen[0].Result != ResultAnswered || seen[1].Result != ResultCancelled {
		t.Fatalf("observed %+v", seen)
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	failing := alwaysRespond("HTTP/1.1 500 Broken\r\nContent-Length: 3\r\n\r\nbad")
	first, second := newRawServer(t, failing), newRawServer(t, failing)
	b := newHarness(t, addresses(first, second)...)
	const requests = 200
	started := time.Now()
	for range requests {
		if got := b.do(t, http.MethodGet, "/read", nil); got.status != http.StatusInternalServerError || got.body != "bad" {
			t.Fatalf("got %+v, want the server's error response because no better one arrived", got)
		}
	}
	_, one := first.counts()
	_, two := second.counts()
	most := requests*(1+retriesPerRequest) + initialRetryTokens + retriesPerSecond*time.Since(started).Seconds() + 1
	if sent := float64(one + two); sent > most || sent == requests {
		t.Fatalf("%v attempts for %d requests; want some retries and at most %v attempts", sent, requests, most)
	}
}

func TestForwardedDeadlineIsShortened(t *testing.T) {
	got := make(chan string, 2)
	server := newRawServer(t, func(c *rawConn, _ int) {
		request := c.read()
		got <- request.Header.Get(deadlineHeader)
		c.send(okResponse)
	})
	b := newHarness(t, addresses(server)...)
	b.do(t, http.MethodGet, "/read", nil, deadlineHeader, "500")
	b.do(t, http.MethodGet, "/read", nil, deadlineHeader, "999999999999")
	for _, most := range []string{"495", "3995"} {
		if left := <-got; len(left) > len(most) || (len(left) == len(most) && left > most) || left < "1" {
			t.Fatalf("%s ms left, want 1 to %s", left, most)
		}
	}
}
