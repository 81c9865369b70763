package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
)

// exchangeWith sends one request with the ID r1 to a server that sends the bytes when the
// request has arrived.
func exchangeWith(t *testing.T, sent string) *exchange {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := conn.Read(make([]byte, 1<<10)); err == nil {
			_, _ = io.WriteString(conn, sent)
			_, _ = io.Copy(io.Discard, conn) // until the caller closes
		}
	}()
	const limit = time.Second
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	request := &outbound{method: http.MethodGet, uri: "/", host: "h", id: "r1", header: http.Header{}}
	b := &backend{pool: newBackendPool()}
	x := b.attempt(ctx, platform.Server{ID: "s", Address: listener.Addr().String()}, request, time.Now().Add(limit))
	_ = x.conn.Close()
	return x
}

const (
	ownAnswer   = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: s\r\nContent-Length: 3\r\n\r\nown"
	ownFailure  = "HTTP/1.1 500 X\r\nRequest-Id: r1\r\nServer-Signature: s\r\nContent-Length: 3\r\n\r\nown"
	strayAnswer = "HTTP/1.1 503 X\r\nRequest-Id: r0\r\nNot-Executed: 1\r\nContent-Length: 5\r\n\r\nstray"
)

// Guards against an answer that is given up because of what precedes it: many interim answers
// and answers to other requests, in any order.
func TestAnswerAfterInterimAndStrayAnswersIsFound(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	for name, before := range map[string]string{
		"interim":         strings.Repeat(interim, 12),
		"stray":           strings.Repeat(strayAnswer, 6),
		"both":            strings.Repeat(interim+strayAnswer+interim, 4),
		"stray, no body":  "HTTP/1.1 204 X\r\nRequest-Id: r0\r\nServer-Signature: s\r\n\r\n",
		"stray in chunks": "HTTP/1.1 200 X\r\nRequest-Id: r0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstray\r\n0\r\n\r\n",
	} {
		if x := exchangeWith(t, before+ownAnswer); x.outcome != placement.Answered || string(x.body) != "own" {
			t.Errorf("%s: outcome %v, body %q, %v", name, x.outcome, x.body, x.err)
		}
	}
}

// Guards against the head of half an answer that is completed by the head of the next one: the
// outcome of one answer is taken for that of another.
func TestHalfAnAnswerIsNotCompletedByTheNext(t *testing.T) {
	t.Parallel()
	for _, half := range []string{
		"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nInstance-Id: ", "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nInstance-Id: i-7", "HTTP/1.1 200 OK\r\nServer-Signature: ",
		"HTTP/1.1 200 OK\r\nServer-Signature: s\r\nRequest-Id: ", "HTTP/1.1 421 X\r\nInstance-Id: ", "HTTP/1.1 503 X\r\nNot-Executed: 1", "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n",
		"HTTP/1.1 503 ", "HTTP/1.1 200 ", "HTTP/1.1 200 O",
	} {
		for _, own := range []string{ownAnswer, ownFailure} {
			x := exchangeWith(t, half+own)
			if x.outcome == placement.Shed || x.outcome == placement.Misdirected || !x.sent {
				t.Errorf("%q before %.15q: taken for a refusal", half, own)
			}
			if x.outcome == placement.Answered && own == ownFailure {
				t.Errorf("%q before %.15q: taken for a success", half, own)
			}
		}
	}
}
