package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
)

// endlessServer accepts connections and sends first, then repeats next until the caller
// closes. It reports each closed connection.
func endlessServer(t *testing.T, first, next string) (address string, closed chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	closed = make(chan struct{}, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, err := conn.Write([]byte(first))
				for block := []byte(strings.Repeat(next, 1+16<<10/len(next))); err == nil; {
					_, err = conn.Write(block)
				}
				_ = conn.Close()
				closed <- struct{}{}
			}()
		}
	}()
	return listener.Addr().String(), closed
}

// Load: servers that send bytes without end which are no answer, at full speed. The
// attempt ends by the deadline, in little memory and with a failure of the server, and
// the connection is closed.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: s\r\n"
	for _, c := range []struct{ name, first, next string }{
		{"no status line", "", "x"},
		{"status line", "HTTP/1.1 200 O", "K"},
		{"header value", "HTTP/1.1 200 OK\r\nA: ", "b"},
		{"headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"answer to another request", "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Signature: s\r\n\r\n", "x"},
		{"answers to other requests", "", "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n"},
		{"chunk size", signed + "Transfer-Encoding: chunked\r\n\r\n", "1"},
		{"chunk extension", signed + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailers", signed + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			const limit = time.Second
			address, closed := endlessServer(t, c.first, c.next)
			b := &backend{pool: newBackendPool()}
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			request := &outbound{method: http.MethodGet, uri: "/", host: "h", id: "r1", header: http.Header{}}
			x := b.attempt(ctx, platform.Server{ID: "s", Address: address}, request, began.Add(limit))
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			if x.outcome != placement.Broken && x.outcome != placement.Silent || !x.sent {
				t.Errorf("outcome %v, sent %v, error %v; want a failure after the request was sent", x.outcome, x.sent, x.err)
			}
			if took > limit+limit/2 {
				t.Errorf("the attempt took %v, the deadline was %v", took, limit)
			}
			if used := after.TotalAlloc - before.TotalAlloc; used > 8<<20 {
				t.Errorf("%d MB were allocated", used>>20)
			}
			select {
			case <-closed:
			case <-time.After(limit):
				t.Error("the connection is still open")
			}
			if b.pool.take("s@"+address, "next") != nil {
				t.Error("the connection is kept for other requests")
			}
		})
	}
}

// Load: an answer whose body never ends. Its caller gets it until the deadline, cut off
// and not taken for complete; no more than the first part is held in memory.
func TestBodyWithoutEndIsCutAtTheDeadline(t *testing.T) {
	const limit = time.Second
	address, closed := endlessServer(t, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: s\r\n\r\n", "x")
	b := &backend{pool: newBackendPool()}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	began := time.Now()
	x := b.attempt(ctx, platform.Server{ID: "s", Address: address}, &outbound{method: http.MethodGet, uri: "/", host: "h", id: "r1", header: http.Header{}}, began.Add(limit))
	if x.rest == nil || len(x.body) > maxBufferedBody+1 {
		t.Fatalf("outcome %v, %d bytes in memory, error %v", x.outcome, len(x.body), x.err)
	}
	if _, err := x.rest.Body.Read(make([]byte, 1)); err != nil {
		t.Errorf("the rest cannot be read: %v", err)
	}
	for err := error(nil); err == nil; _, err = x.rest.Body.Read(make([]byte, 64<<10)) {
		if time.Since(began) > limit+limit/2 {
			t.Fatal("the rest of the body is read beyond the deadline")
		}
	}
	_ = x.conn.Close()
	<-closed
}

// Load: callers whose head never ends, or whose body stalls. Each gets an answer in its
// time that is true for a request that has not run.
func TestCallersBytesWithoutEndAreRefused(t *testing.T) {
	f := newFleet(t, 1)
	parameters := defaultParameters
	parameters.timeout = "500ms"
	f.configure(parameters)
	v := f.startReady("vm-1")
	for _, c := range []struct {
		name, first, next string
		status            int
	}{
		{"header value", "POST /r/ HTTP/1.1\r\nHost: h.example\r\nA: ", "b", http.StatusRequestHeaderFieldsTooLarge},
		{"headers", "POST /r/ HTTP/1.1\r\nHost: h.example\r\n", "A: b\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"stalled body", "POST /r/ HTTP/1.1\r\nHost: h.example\r\nKey: k1\r\nRequest-Id: stalls\r\nContent-Length: 100\r\n\r\nbegin", "", http.StatusRequestTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", v.callers)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			began := time.Now()
			if err := conn.SetDeadline(began.Add(3 * time.Second)); err != nil {
				t.Fatal(err)
			}
			go func() {
				_, err := conn.Write([]byte(c.first))
				for block := []byte(strings.Repeat(c.next, 1<<10)); err == nil && len(block) > 0; {
					_, err = conn.Write(block)
				}
			}()
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || answer.StatusCode != c.status || !answer.Close {
				t.Fatalf("%+v, %v; want status %d on a connection that closes", answer, err, c.status)
			}
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("the answer took %v", took)
			}
		})
	}
	if runs := f.servers[0].Runs(); len(runs) > 0 {
		t.Errorf("ran %+v", runs)
	}
}

// Load: long answers of known length that the server cuts off. No caller takes what it got for
// complete, nor one whose HTTP version has no chunks.
func TestCutOffLongAnswerIsIncompleteForAllCallers(t *testing.T) {
	const length, sent = 3 << 20, 2 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nServer-Signature: s\r\nRequest-Id: long\r\n\r\n%s", length, strings.Repeat("x", sent))
			}
			_ = conn.Close()
		}
	}()
	f := newFleet(t, 1)
	f.servers[0].Address = listener.Addr().String()
	f.store.Put(platform.ServersPrefix+f.servers[0].ID, f.servers[0].Record("svc", "ready", 2))
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		conn, err := net.Dial("tcp", v.callers)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = fmt.Fprintf(conn, "GET /r/ %s\r\nHost: h.example\r\nKey: k1\r\nRequest-Id: long\r\n\r\n", version)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || answer.StatusCode != http.StatusOK {
			t.Fatalf("%s: %+v, %v", version, answer, err)
		}
		if n, err := io.Copy(io.Discard, answer.Body); err == nil {
			t.Errorf("%s: the caller takes %d of %d bytes for the whole answer", version, n, length)
		}
	}
}
