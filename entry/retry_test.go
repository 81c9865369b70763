package entry

import (
	"net/http"
	"testing"
	"time"
)

// silentAfterOne is a connection that goes silent for good after its first
// answer; connections that are opened later work.
func silentAfterOne(c *rawConn, nth int) {
	if c.read() == nil {
		return
	}
	c.send(okAnswer)
	for nth <= 2 && c.read() != nil {
		c.hang()
	}
	for c.read() != nil {
		c.send(okAnswer)
	}
}

// TestProofWholeSilentConnection: a read over a connection that has gone silent
// is answered over a fresh one within its deadline, and the server is not blamed.
func TestProofWholeSilentConnection(t *testing.T) {
	server := newRawServer(t, silentAfterOne)
	b := newBench(t, addresses(server)...)
	pool := &b.server(0).conns
	first, second := b.open(t), b.open(t)
	pool.put(first)
	pool.put(second) // both have served and are silent now
	got := b.do(t, http.MethodGet, "/read", nil, deadlineHeader, "3000")
	if got.status != http.StatusOK || got.body != "ok" {
		t.Fatalf("got %+v", got)
	}
	seen := b.picker.observations()
	if len(seen) != 2 || seen[0].End != EndAnswered || seen[0].Reused || seen[1].End != EndCancelled || !seen[1].Reused {
		t.Fatalf("observed %+v", seen)
	}
	got = b.do(t, http.MethodGet, "/read", nil, deadlineHeader, "3000")
	if got.status != http.StatusOK || len(b.picker.observations()) != 3 {
		t.Fatalf("the contemporary of a silent connection was used again: %+v", b.picker.observations())
	}
}

// open returns a connection that has served one request.
func (b *bench) open(t *testing.T) *pooledConn {
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

// Without a fresh connection the read over a silent one times out.
func TestControlWholeSilentConnection(t *testing.T) {
	server := newRawServer(t, silentAfterOne)
	b := newBench(t, addresses(server)...)
	b.server(0).conns.put(b.open(t))
	b.stage.budgets.of("service", time.Now()).tokens = -10
	got := b.do(t, http.MethodGet, "/read", nil, deadlineHeader, "1000")
	if got.status != http.StatusGatewayTimeout || got.outcome != OutcomeUnknown {
		t.Fatalf("got %+v; the control must show the time-out", got)
	}
	if seen := b.picker.observations(); len(seen) != 1 || seen[0].End != EndTimedOut || !seen[0].Reused {
		t.Fatalf("observed %+v", seen)
	}
}

func TestSlowReadIsHedgedAndTheLoserCancelled(t *testing.T) {
	left := make(chan struct{})
	slow := newRawServer(t, func(c *rawConn, _ int) {
		if c.read() != nil {
			c.hang()
			close(left)
		}
	})
	b := newBench(t, addresses(slow, newRawServer(t, answering(okAnswer)))...)
	latency := b.stage.latencies.of("/read", time.Now())
	for range latencyMinimum {
		latency.add(time.Millisecond)
	}
	if got := b.do(t, http.MethodGet, "/read", nil); got.body != "ok" {
		t.Fatalf("got %+v", got)
	}
	<-left
	b.awaitIdle(t)
	if seen := b.picker.observations(); len(seen) != 2 || seen[0].End != EndAnswered || seen[1].End != EndCancelled {
		t.Fatalf("observed %+v", seen)
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	failing := answering("HTTP/1.1 500 Broken\r\nContent-Length: 3\r\n\r\nbad")
	first, second := newRawServer(t, failing), newRawServer(t, failing)
	b := newBench(t, addresses(first, second)...)
	const requests = 200
	started := time.Now()
	for range requests {
		if got := b.do(t, http.MethodGet, "/read", nil); got.status != http.StatusInternalServerError || got.body != "bad" {
			t.Fatalf("the server's own answer is delivered when no better one comes: %+v", got)
		}
	}
	_, one := first.counts()
	_, two := second.counts()
	most := requests*(1+budgetShare) + budgetInitial + budgetRefill*time.Since(started).Seconds() + 1
	if sent := float64(one + two); sent > most || sent == requests {
		t.Fatalf("%v attempts for %d requests, at most %v", sent, requests, most)
	}
}

func TestDeadlineIsPassedOnAndShrinks(t *testing.T) {
	got := make(chan string, 2)
	server := newRawServer(t, func(c *rawConn, _ int) {
		request := c.read()
		got <- request.Header.Get(deadlineHeader)
		c.send(okAnswer)
	})
	b := newBench(t, addresses(server)...)
	b.do(t, http.MethodGet, "/read", nil, deadlineHeader, "500")
	b.do(t, http.MethodGet, "/read", nil, deadlineHeader, "999999999999")
	for _, most := range []string{"495", "3995"} {
		if left := <-got; len(left) > len(most) || (len(left) == len(most) && left > most) || left < "1" {
			t.Fatalf("%s ms left, at most %s", left, most)
		}
	}
}
