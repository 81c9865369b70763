package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lacewingmount.dev/platform"
	"lacewingmount.dev/sockets"
)

const longAnswer = 20 << 20 // bytes; more than the buffers of both ends

// startWithLongAnswers starts a VM whose only server sends long answers.
func startWithLongAnswers(t *testing.T) (*fleet, *vm) {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Signature", "sig")
		w.Header().Set("Content-Length", fmt.Sprint(longAnswer))
		_, _ = io.WriteString(w, strings.Repeat("x", longAnswer))
	}))
	t.Cleanup(backend.Close)
	f := newFleet(t, 1)
	f.servers[0].Address = strings.TrimPrefix(backend.URL, "http://")
	f.store.Put(platform.ServersPrefix+f.servers[0].ID, f.servers[0].Record("svc", "ready", 2))
	parameters := defaultParameters
	parameters.timeout = "20s"
	f.configure(parameters)
	return f, f.startReady("vm-1")
}

// askSlowly sends a request over a connection with a small receive window.
func askSlowly(t *testing.T, v *vm, deadline time.Duration) *rawCaller {
	t.Helper()
	caller := v.dial(t)
	if err := caller.conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	caller.send(head("long") + fmt.Sprintf("Deadline-Ms: %d\r\n\r\n", deadline.Milliseconds()))
	return caller
}

// Load: a caller stops reading for longer than data may stay unacknowledged on other
// connections.
func TestAnswerToCallerThatPausesIsNotCut(t *testing.T) {
	t.Parallel()
	_, v := startWithLongAnswers(t)
	caller := askSlowly(t, v, 18*time.Second)
	answer, err := http.ReadResponse(caller.reader, nil)
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Fatalf("%+v, %v", answer, err)
	}
	time.Sleep(sockets.UserTimeout + 2*time.Second)
	_ = caller.conn.(*net.TCPConn).SetReadBuffer(longAnswer)
	if n, err := io.Copy(io.Discard, answer.Body); err != nil || n != longAnswer {
		t.Fatalf("the answer broke off after %d of %d bytes: %v", n, longAnswer, err)
	}
}

// Load: a caller reads nothing and does not close its connection.
func TestAnswerToCallerThatReadsNothingEnds(t *testing.T) {
	t.Parallel()
	f, v := startWithLongAnswers(t)
	v.callerStallTimeout = 500 * time.Millisecond
	askSlowly(t, v, time.Second)
	f.waitFor("the answer is being written", func() bool { return v.active.Load() == 1 })
	f.waitFor("the gateway gives it up", func() bool { return v.active.Load() == 0 })
}
