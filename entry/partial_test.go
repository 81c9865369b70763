package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// longUpload is more than the sockets of a connection hold.
var longUpload = make([]byte, 16<<20)

// answerHead reads the head of a request, and answers those that are no uploads with okResponse
// before. So the answer under test comes on a new connection, or on one that was used.
func answerHead(answer func(c *rawConn)) handler {
	return func(c *rawConn, _ int) {
		for {
			request, err := http.ReadRequest(c.reader)
			if err != nil {
				return
			}
			if request.Header.Get("X-First") == "" {
				answer(c)
				return
			}
			c.send("%s", okResponse)
		}
	}
}

// TestProofWholeAnswerThatEndsWithAReset guards against a part of an answer that is taken for the
// whole: the server sends it without a length and resets the connection while the upload is
// still written.
func TestProofWholeAnswerThatEndsWithAReset(t *testing.T) {
	whole := strings.Repeat("x", 2*maxBufferedResponse)
	for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"} {
		for _, digest := range []string{"", "Content-Digest: " + contentDigestOf(whole) + "\r\n"} {
			for _, size := range []int{4, len(whole) - 1} {
				b := newHarness(t, addresses(newRawServer(t, answerHead(func(c *rawConn) {
					c.send("%s%s\r\n%s", head, digest, whole[:size])
					time.Sleep(50 * time.Millisecond) // until the sockets are full and the answer is read
					c.reset()
				})))...)
				for i := range 6 {
					body := io.Reader(bytes.NewReader(longUpload))
					if i%3 == 0 {
						body = nil
					}
					if i%2 == 0 {
						b.do(t, http.MethodGet, "/read", nil, "X-First", "1")
					}
					got := b.do(t, http.MethodPut, "/upload", body)
					if got.err == nil && (got.status != http.StatusBadGateway || got.outcome != OutcomeUnknown) {
						t.Fatalf("%q, %q, %d bytes: the caller takes %d, outcome %q, %d bytes for the answer", head, digest, size, got.status, got.outcome, len(got.body))
					}
				}
			}
		}
	}
}

// TestProofWholeInvalidStatus guards against a status that is none, or interim answers without
// end, that callers get or that do not count as a failure of the server.
func TestProofWholeInvalidStatus(t *testing.T) {
	answers := map[string]string{}
	for _, status := range []string{"000", "001", "099", "1000", "9999", "abc", "2x0", "+20", "-20", "-00", "20", "2", ""} {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			for _, connection := range []string{"keep-alive", "close"} {
				answers[version+" "+status+" "+connection] = fmt.Sprintf("%s %s X\r\nConnection: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", version, status, connection)
			}
		}
	}
	for _, interim := range []string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 199 X\r\nA: b\r\n\r\n", "HTTP/1.0 103 X\r\n\r\n"} {
		answers["without end: "+interim] = strings.Repeat(interim, 1+(1<<20)/len(interim))
	}
	for name, answer := range answers {
		server := newRawServer(t, answerHead(func(c *rawConn) {
			c.send("%s", answer)
			c.waitForClose()
		}))
		b := newHarness(t, addresses(server)...)
		for _, body := range []io.Reader{nil, strings.NewReader("order"), bytes.NewReader(longUpload)} {
			b.do(t, http.MethodGet, "/read", nil, "X-First", "1") // its connection is reused, unless it is closed
			began := time.Now()
			got := b.do(t, http.MethodPost, "/post", body)
			// The Go client gives up when the connection closes before its long upload is sent.
			if _, long := body.(*bytes.Reader); !long && got.err != nil || got.err == nil && (got.status != http.StatusBadGateway || got.outcome != OutcomeUnknown) {
				t.Errorf("status %q: the caller gets %d, outcome %q, %v", name, got.status, got.outcome, got.err)
			}
			if took := time.Since(began); took > testTimeout/2 {
				t.Errorf("status %q: the answer took %v", name, took)
			}
		}
		failures := 0
		for _, observed := range b.picker.observations() {
			if observed.Result == ResultBroken {
				failures++
			}
		}
		if failures != 3 {
			t.Errorf("status %q: %d of 3 count as failures of the server", name, failures)
		}
	}
}

// TestProofWholeCutAnswerForOldCallers guards against a cut answer that a caller without chunks
// takes for the whole, as its end is the end of the connection.
func TestProofWholeCutAnswerForOldCallers(t *testing.T) {
	size := 2 * maxBufferedResponse
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		s := newStoppableEntry(t, func(c *rawConn, _ int) {
			c.read()
			c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", size, strings.Repeat("x", size))
		}, plainListener)
		conn, err := net.Dial("tcp", s.server.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprintf(conn, "GET /read %s\r\nHost: x\r\nX-Client-Key: %s\r\n\r\n", version, testKey)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || answer.StatusCode != http.StatusOK {
			t.Fatalf("%s: %+v, %v", version, answer, err)
		}
		if n, err := io.Copy(io.Discard, answer.Body); err == nil {
			t.Errorf("%s: the caller takes %d bytes for the whole answer", version, n)
		}
		s.stop()
		<-s.stopped
	}
}
