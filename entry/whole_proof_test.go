package entry

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

func responseWithLength(body string, extra string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", extra, len(body), body)
}

func gzipped(text string) string {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	_, _ = writer.Write([]byte(text))
	_ = writer.Close()
	return buffer.String()
}

// TestProofWholeSmallAnswers checks that callers get only complete and valid responses.
func TestProofWholeSmallAnswers(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	tests := []struct {
		name, method, answer string
		status               int
		body                 string // expected body if status is below 500
	}{
		{"plain", "GET", okResponse, 200, "ok"},
		{"empty", "GET", responseWithLength("", ""), 200, ""},
		{"chunked", "GET", chunked + "\r\n2\r\nok\r\n0\r\n\r\n", 200, "ok"},
		{"early hints first", "GET", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + okResponse, 200, "ok"},
		{"continue first", "POST", "HTTP/1.1 100 Continue\r\n\r\n" + okResponse, 200, "ok"},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n", 200, ""},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		{"no content that has a length", "GET", "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nhello", 204, ""},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 304, ""},
		{"compressed", "GET", responseWithLength(gzipped("text"), "Content-Encoding: gzip\r\n"), 200, gzipped("text")},
		{"digest", "GET", responseWithLength("ok", "Content-Digest: "+contentDigestOf("ok")+"\r\n"), 200, "ok"},
		{"without length but with digest", "GET", "HTTP/1.1 200 OK\r\nContent-Digest: " + contentDigestOf("ok") + "\r\n\r\nok", 200, "ok"},
		{"client error", "GET", "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno", 404, "no"},
		{"short", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 502, ""},
		{"without length", "GET", "HTTP/1.1 200 OK\r\n\r\nhalf", 502, ""},
		{"old protocol without length", "GET", "HTTP/1.0 200 OK\r\n\r\nhalf", 502, ""},
		{"broken chunk", "GET", chunked + "\r\n4\r\nhal", 502, ""},
		{"missing last chunk", "GET", chunked + "\r\n2\r\nok\r\n", 502, ""},
		{"malformed chunk", "GET", chunked + "\r\nzz\r\nok\r\n0\r\n\r\n", 502, ""},
		{"two lengths", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nokok", 502, ""},
		{"negative length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", 502, ""},
		{"wrong digest", "GET", responseWithLength("ok", "Content-Digest: "+contentDigestOf("no")+"\r\n"), 502, ""},
		{"malformed digest", "GET", responseWithLength("ok", "Content-Digest: sha-256=ok\r\n"), 502, ""},
		{"switches protocols", "GET", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nok", 502, ""},
		{"not HTTP", "GET", "ok ok ok\r\n\r\n", 502, ""},
		{"headers without end", "GET", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n\r\n", 502, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, addresses(newRawServer(t, respondOnce(test.answer)))...)
			path := "/read"
			if test.method == http.MethodPost {
				path = "/post"
			}
			got := b.do(t, test.method, path, nil)
			if got.err != nil || got.status != test.status || (test.status < 500 && got.body != test.body) {
				t.Fatalf("got %d %q, error %v; want %d %q", got.status, got.body, got.err, test.status, test.body)
			}
			if test.status == http.StatusBadGateway && got.outcome != OutcomeUnknown {
				t.Fatalf("outcome %q; the server may have run the request", got.outcome)
			}
			if test.name == "head" && got.header.Get("Content-Length") != "300000" {
				t.Fatalf("Content-Length %q of the response to HEAD", got.header.Get("Content-Length"))
			}
		})
	}
}

// TestProofWholeOwnAnswer checks that no caller gets bytes that a server sent without a
// request or in response to an abandoned request.
func TestProofWholeOwnAnswer(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	arrived := make(chan struct{}, 100)
	for name, serve := range map[string]handler{
		"duplicated response": alwaysRespond(okResponse + other),
		"over-long body":      alwaysRespond(okResponse + "excess"),
		"late second response": func(c *rawConn, _ int) {
			for c.read() != nil {
				c.send(okResponse)
				time.Sleep(5 * time.Millisecond)
				c.send(other)
				arrived <- struct{}{}
			}
		},
		"late response to an abandoned request": func(c *rawConn, nth int) {
			for c.read() != nil {
				if nth == 1 {
					time.Sleep(150 * time.Millisecond) // the request has timed out by then
					c.send(other)
					return
				}
				c.send(okResponse)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, addresses(newRawServer(t, serve))...)
			if name == "late response to an abandoned request" {
				b.do(t, http.MethodGet, "/read", nil, deadlineHeader, "50")
			}
			for i := range 20 {
				got := b.do(t, http.MethodGet, "/read", nil)
				if got.status == http.StatusOK && got.body != "ok" {
					t.Fatalf("request %d got %q, which is not the response to it", i, got.body)
				}
				if name == "late second response" {
					<-arrived // between two requests
				}
			}
		})
	}
}

// TestControlWholeAbandonedConnection shows that the next request gets the response to the
// abandoned request if the connection of an abandoned request is reused.
func TestControlWholeAbandonedConnection(t *testing.T) {
	server := newRawServer(t, func(c *rawConn, _ int) {
		for i := 0; c.read() != nil; i++ {
			c.send("%s", responseWithLength(fmt.Sprint(i), ""))
		}
	})
	conn, err := net.Dial("tcp", server.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var got []byte
	for range 2 { // the first response is not read
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		got = make([]byte, len(responseWithLength("0", "")))
	}
	if _, err := io.ReadFull(conn, got); err != nil || got[len(got)-1] != '0' {
		t.Fatalf("got %q, error %v; this control expects the first response to be read after the second request", got, err)
	}
}

// TestProofWholeLargeAnswers checks that a response that is too large to be buffered is
// complete, or the caller's connection is closed.
func TestProofWholeLargeAnswers(t *testing.T) {
	body := strings.Repeat("0123456789", maxBufferedResponse/5)
	digest := "Content-Digest: " + contentDigestOf(body) + "\r\n"
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n%x\r\n%s\r\n", digest, len(body), body)
	tests := []struct {
		name, answer string
		complete     bool
	}{
		{"length", responseWithLength(body, ""), true},
		{"length and digest", responseWithLength(body, digest), true},
		{"chunked", chunked + "0\r\n\r\n", true},
		{"cut off", responseWithLength(body, "")[:maxBufferedResponse+maxBufferedResponse/2], false},
		{"missing last chunk", chunked, false},
		{"wrong digest", responseWithLength(body[1:]+"x", digest), false},
		{"chunked with wrong digest", strings.Replace(chunked, "0123456789", "9876543210", 1) + "0\r\n\r\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, addresses(newRawServer(t, respondOnce(test.answer)))...)
			got := b.do(t, http.MethodGet, "/read", nil)
			if complete := got.err == nil && got.body == body; complete != test.complete {
				t.Fatalf("complete: %t, %d of %d bytes, error %v", complete, len(got.body), len(body), got.err)
			}
			if !test.complete && got.err == nil {
				t.Fatal("the response is incomplete and the caller got no error")
			}
			b.awaitIdle(t)
		})
	}
}

// awaitIdle waits until no request is in flight at the first server.
func (b *harness) awaitIdle(t *testing.T) {
	t.Helper()
	for b.server(0).InFlight.Load() != 0 {
		time.Sleep(time.Millisecond) // if it never succeeds, go test times out
	}
}

func TestProofWholeStreamedAnswerCountsInFlight(t *testing.T) {
	release := make(chan struct{})
	size := 4 * maxBufferedResponse
	b := newHarness(t, addresses(newRawServer(t, func(c *rawConn, _ int) {
		c.read()
		c.send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size/2))
		<-release
		c.send("%s", strings.Repeat("x", size/2))
	}))...)
	request, _ := http.NewRequest(http.MethodGet, b.URL+"/read", nil)
	request.Header.Set("X-Client-Key", testKey)
	answer, err := callerTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if inFlight := b.server(0).InFlight.Load(); inFlight != 1 {
		t.Fatalf("%d requests in flight while one response is streamed, want 1", inFlight)
	}
	close(release)
	if n, err := io.Copy(io.Discard, answer.Body); err != nil || n != int64(size) {
		t.Fatalf("%d bytes, %v", n, err)
	}
	b.awaitIdle(t)
}

// TestProofWholeTruncatedReadIsRetried checks that a GET whose response is incomplete, fails
// or is shed is repeated at another server.
func TestProofWholeTruncatedReadIsRetried(t *testing.T) {
	for name, serve := range map[string]handler{
		"short": respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), "reset": resetAfterRead,
		"failed": respondOnce("HTTP/1.1 500 Broken\r\nContent-Length: 3\r\n\r\nbad"), "shed": respondOnce(shedResponse),
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, addresses(newRawServer(t, serve), newRawServer(t, alwaysRespond(okResponse)))...)
			if got := b.do(t, http.MethodGet, "/read", nil); got.status != http.StatusOK || got.body != "ok" {
				t.Fatalf("got %+v", got)
			}
		})
	}
}

func TestTrailersAreForwardedWithoutKeys(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum, X-Client-Key\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 7\r\nX-Client-Key: k\r\n\r\n"
	b := newHarness(t, addresses(newRawServer(t, respondOnce(answer)))...)
	got := b.do(t, http.MethodGet, "/read", nil)
	if got.body != "ok" || got.trailer.Get("X-Sum") != "7" || got.trailer.Get("X-Client-Key") != "" {
		t.Fatalf("got %+v", got)
	}
}
