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

func framed(body string, extra string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", extra, len(body), body)
}

func gzipped(text string) string {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	_, _ = writer.Write([]byte(text))
	_ = writer.Close()
	return buffer.String()
}

// TestProofWholeSmallAnswers: what a caller takes for an answer is whole.
func TestProofWholeSmallAnswers(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	tests := []struct {
		name, method, answer string
		status               int
		body                 string // of an answer that must come through
	}{
		{"plain", "GET", okAnswer, 200, "ok"},
		{"empty", "GET", framed("", ""), 200, ""},
		{"chunked", "GET", chunked + "\r\n2\r\nok\r\n0\r\n\r\n", 200, "ok"},
		{"early hints first", "GET", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + okAnswer, 200, "ok"},
		{"continue first", "POST", "HTTP/1.1 100 Continue\r\n\r\n" + okAnswer, 200, "ok"},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n", 200, ""},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		{"no content that has a length", "GET", "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nhello", 204, ""},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 304, ""},
		{"compressed", "GET", framed(gzipped("text"), "Content-Encoding: gzip\r\n"), 200, gzipped("text")},
		{"digest", "GET", framed("ok", "Content-Digest: "+contentDigestOf("ok")+"\r\n"), 200, "ok"},
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
		{"wrong digest", "GET", framed("ok", "Content-Digest: "+contentDigestOf("no")+"\r\n"), 502, ""},
		{"malformed digest", "GET", framed("ok", "Content-Digest: sha-256=ok\r\n"), 502, ""},
		{"switches protocols", "GET", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nok", 502, ""},
		{"not HTTP", "GET", "ok ok ok\r\n\r\n", 502, ""},
		{"headers without end", "GET", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n\r\n", 502, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, addresses(newRawServer(t, answeringOnce(test.answer)))...)
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
				t.Fatalf("length %q of the answer to HEAD", got.header.Get("Content-Length"))
			}
		})
	}
}

// TestProofWholeOwnAnswer: bytes that no request asked for, and answers to
// abandoned requests, reach no caller.
func TestProofWholeOwnAnswer(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	arrived := make(chan struct{}, 100)
	for name, serve := range map[string]handler{
		"doubled answer": answering(okAnswer + other),
		"over-long body": answering(okAnswer + "excess"),
		"late second answer": func(c *rawConn, _ int) {
			for c.read() != nil {
				c.send(okAnswer)
				time.Sleep(5 * time.Millisecond)
				c.send(other)
				arrived <- struct{}{}
			}
		},
		"answer to the request before": func(c *rawConn, nth int) {
			for c.read() != nil {
				if nth == 1 {
					time.Sleep(150 * time.Millisecond) // the caller has left by then
					c.send(other)
					return
				}
				c.send(okAnswer)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, addresses(newRawServer(t, serve))...)
			if name == "answer to the request before" {
				b.do(t, http.MethodGet, "/read", nil, deadlineHeader, "50")
			}
			for i := range 20 {
				got := b.do(t, http.MethodGet, "/read", nil)
				if got.status == http.StatusOK && got.body != "ok" {
					t.Fatalf("request %d got %q, the answer to another one", i, got.body)
				}
				if name == "late second answer" {
					<-arrived // between two requests
				}
			}
		})
	}
}

// A pool that keeps the connection of an abandoned request gives the next
// caller the answer to it.
func TestControlWholeAbandonedConnection(t *testing.T) {
	server := newRawServer(t, func(c *rawConn, _ int) {
		for i := 0; c.read() != nil; i++ {
			c.send("%s", framed(fmt.Sprint(i), ""))
		}
	})
	conn, err := net.Dial("tcp", server.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var got []byte
	for range 2 { // the first answer is not read
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		got = make([]byte, len(framed("0", "")))
	}
	if _, err := io.ReadFull(conn, got); err != nil || got[len(got)-1] != '0' {
		t.Fatalf("got %q, %v; the control must show the first answer given to the second request", got, err)
	}
}

// TestProofWholeLargeAnswers: an answer too large to be checked first is whole
// or breaks the caller's connection.
func TestProofWholeLargeAnswers(t *testing.T) {
	body := strings.Repeat("0123456789", maxBufferedAnswer/5)
	digest := "Content-Digest: " + contentDigestOf(body) + "\r\n"
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n%x\r\n%s\r\n", digest, len(body), body)
	tests := []struct {
		name, answer string
		whole        bool
	}{
		{"length", framed(body, ""), true},
		{"length and digest", framed(body, digest), true},
		{"chunked", chunked + "0\r\n\r\n", true},
		{"cut off", framed(body, "")[:maxBufferedAnswer+maxBufferedAnswer/2], false},
		{"missing last chunk", chunked, false},
		{"wrong digest", framed(body[1:]+"x", digest), false},
		{"chunked with wrong digest", strings.Replace(chunked, "0123456789", "9876543210", 1) + "0\r\n\r\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, addresses(newRawServer(t, answeringOnce(test.answer)))...)
			got := b.do(t, http.MethodGet, "/read", nil)
			if whole := got.err == nil && got.body == body; whole != test.whole {
				t.Fatalf("whole: %t, %d of %d bytes, error %v", whole, len(got.body), len(body), got.err)
			}
			if !test.whole && got.err == nil {
				t.Fatal("the answer broke and the caller cannot see it")
			}
			b.awaitIdle(t)
		})
	}
}

// awaitIdle waits until no request is counted at the first server any more.
func (b *bench) awaitIdle(t *testing.T) {
	t.Helper()
	for b.server(0).InFlight.Load() != 0 {
		time.Sleep(time.Millisecond) // the test's own time limit ends a hang
	}
}

func TestProofWholeStreamedAnswerCountsInFlight(t *testing.T) {
	release := make(chan struct{})
	size := 4 * maxBufferedAnswer
	b := newBench(t, addresses(newRawServer(t, func(c *rawConn, _ int) {
		c.read()
		c.send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size/2))
		<-release
		c.send("%s", strings.Repeat("x", size/2))
	}))...)
	request, _ := http.NewRequest(http.MethodGet, b.URL+"/read", nil)
	request.Header.Set("X-Client-Key", benchKey)
	answer, err := callerTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if inFlight := b.server(0).InFlight.Load(); inFlight != 1 {
		t.Fatalf("%d requests counted while an answer is streamed", inFlight)
	}
	close(release)
	if n, err := io.Copy(io.Discard, answer.Body); err != nil || n != int64(size) {
		t.Fatalf("%d bytes, %v", n, err)
	}
	b.awaitIdle(t)
}

// TestProofWholeTruncatedReadIsRetried: a read whose answer breaks is answered by another server.
func TestProofWholeTruncatedReadIsRetried(t *testing.T) {
	for name, serve := range map[string]handler{
		"short": answeringOnce("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), "reset": resetting,
		"failed": answeringOnce("HTTP/1.1 500 Broken\r\nContent-Length: 3\r\n\r\nbad"), "shed": answeringOnce(shedAnswer),
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, addresses(newRawServer(t, serve), newRawServer(t, answering(okAnswer)))...)
			if got := b.do(t, http.MethodGet, "/read", nil); got.status != http.StatusOK || got.body != "ok" {
				t.Fatalf("got %+v", got)
			}
		})
	}
}

func TestWholeTrailersPassWithoutKeys(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum, X-Client-Key\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 7\r\nX-Client-Key: k\r\n\r\n"
	b := newBench(t, addresses(newRawServer(t, answeringOnce(answer)))...)
	got := b.do(t, http.MethodGet, "/read", nil)
	if got.body != "ok" || got.trailer.Get("X-Sum") != "7" || got.trailer.Get("X-Client-Key") != "" {
		t.Fatalf("got %+v", got)
	}
}
