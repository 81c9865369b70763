package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
)

// partialServer accepts connections. It answers requests with the ID "first" as it should, and
// passes the connection to answer when it has read the head of another one.
func partialServer(t *testing.T, answer func(conn *net.TCPConn)) (address string) {
	t.Helper()
	listener := listen(t)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if request.Header.Get("Request-Id") != "first" {
						answer(conn)
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: first\r\nServer-Signature: s\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// attemptAt sends a request with the ID r1 and the body, on a connection that has served another
// request if reused is set. It allows one second.
func attemptAt(t *testing.T, address string, body []byte, reused bool) *exchange {
	t.Helper()
	b := &backend{pool: newBackendPool()}
	attempt := func(id string, content []byte) *exchange {
		const limit = time.Second
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		request := &outbound{method: http.MethodPost, uri: "/", host: "h", id: id, header: http.Header{"Request-Id": {id}}, body: wholeBody(content)}
		return b.attempt(ctx, platform.Server{ID: "s", Address: address}, request, time.Now().Add(limit))
	}
	if reused {
		if x := attempt("first", nil); x.outcome != placement.Answered {
			t.Fatalf("the first request: %v, %v", x.outcome, x.err)
		}
	}
	x := attempt("r1", body)
	t.Cleanup(func() { _ = x.conn.Close() })
	if x.reused != reused {
		t.Fatalf("reused: %v", x.reused)
	}
	return x
}

// longUpload is more than the sockets of a connection hold.
var longUpload = make([]byte, 16<<20)

// Guards against a part of an answer that is taken for the whole: a server sends a part of an
// answer without a length and resets the connection while the upload is still written. The
// write may get the error, and the read then a regular end.
func TestAnswerWithoutLengthThatEndsWithAResetIsNotWhole(t *testing.T) {
	t.Parallel()
	for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"} {
		for _, size := range []int{4, maxBufferedBody + 4} {
			address := partialServer(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, head+"Request-Id: r1\r\nServer-Signature: s\r\n\r\n"+strings.Repeat("x", size))
				time.Sleep(50 * time.Millisecond) // until the sockets are full and the answer is read
				_ = conn.SetLinger(0)
			})
			for i := range 4 { // two on a new connection, two on a used one
				for _, body := range [][]byte{longUpload, nil} {
					x := attemptAt(t, address, body, i%2 == 0)
					err := x.err
					if x.rest != nil {
						err = x.readRest(io.Discard)
					} else if x.outcome != placement.Broken || !x.sent {
						t.Errorf("%.20q, %d bytes: outcome %v", head, size, x.outcome)
					}
					if err == nil {
						t.Fatalf("%.40q: %d bytes of an answer that was reset count as the whole, upload of %d bytes, attempt %d", head, len(x.body), len(body), i)
					}
				}
			}
		}
	}
}

// Guards against the refusal of answers that do end: without a length, with the end of the
// connection, also before the upload is read.
func TestAnswerWithoutLengthThatEndsIsWhole(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n"} {
		address := partialServer(t, func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, head+"Request-Id: r1\r\nServer-Signature: s\r\n\r\nwhole")
			_ = conn.CloseWrite()
			time.Sleep(100 * time.Millisecond)
		})
		for _, body := range [][]byte{longUpload, nil} {
			for _, reused := range []bool{false, true} {
				if x := attemptAt(t, address, body, reused); x.outcome != placement.Answered || string(x.body) != "whole" {
					t.Errorf("%q, upload of %d bytes: outcome %v, %q, %v", head, len(body), x.outcome, x.body, x.err)
				}
			}
		}
	}
}

// Guards against a status that is none and is delivered, or skipped until the deadline.
func TestInvalidStatusIsAFailureOfTheServer(t *testing.T) {
	heads := map[string]string{}
	for _, status := range []string{"000", "001", "099", "1000", "9999", "abc", "2x0", "+20", "-20", "-00", "20", "2", ""} {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			for _, connection := range []string{"keep-alive", "close"} {
				heads[version+" "+status+" "+connection] = fmt.Sprintf("%s %s X\r\nRequest-Id: r1\r\nServer-Signature: s\r\nNot-Executed: 1\r\nConnection: %s\r\nContent-Length: 0\r\n\r\n", version, status, connection)
			}
		}
	}
	for name, head := range heads {
		address := partialServer(t, func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, head)
			_, _ = io.Copy(io.Discard, conn)
		})
		for _, reused := range []bool{false, true} {
			if x := attemptAt(t, address, nil, reused); x.outcome != placement.Broken || !x.sent {
				t.Errorf("status %q, reused %v: outcome %v, status %d, %v", name, reused, x.outcome, x.status, x.err)
			}
		}
	}
}

// Guards against interim answers without end, fast or slow.
func TestInterimAnswersWithoutEndAreAFailureOfTheServer(t *testing.T) {
	for _, pause := range []time.Duration{0, 2 * time.Millisecond} {
		for _, interim := range []string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 199 X\r\n\r\n", "HTTP/1.0 103 X\r\nA: b\r\n\r\n"} {
			address := partialServer(t, func(conn *net.TCPConn) {
				for err := error(nil); err == nil; time.Sleep(pause) {
					_, err = io.WriteString(conn, interim)
				}
			})
			for _, reused := range []bool{false, true} {
				if x := attemptAt(t, address, nil, reused); x.outcome != placement.Broken || !x.sent {
					t.Errorf("%.12q: outcome %v, %v", interim, x.outcome, x.err)
				}
			}
		}
	}
}

// Guards against a partial or malformed answer that a caller takes for an answer to its request,
// and against one that says that the request did not run.
func TestCallersNoticePartialAndMalformedAnswers(t *testing.T) {
	const signed = "Request-Id: r1\r\nServer-Signature: s\r\n"
	answers := map[string]func(conn *net.TCPConn){
		"short": func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+signed+"\r\npart")
		},
		"long": func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n"+signed+"\r\n"+strings.Repeat("x", 2*maxBufferedBody))
		},
		"long, in chunks": func(conn *net.TCPConn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", signed, 2*maxBufferedBody, strings.Repeat("x", 2*maxBufferedBody))
		},
		"status 000": func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 000 X\r\n"+signed+"Content-Length: 0\r\n\r\n")
		},
		"status 099": func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "HTTP/1.0 099 X\r\n"+signed+"Not-Executed: 1\r\n\r\n")
		},
	}
	for name, answer := range answers {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			f := newFleet(t, 1)
			f.servers[0].Address = partialServer(t, func(conn *net.TCPConn) {
				answer(conn)
				time.Sleep(50 * time.Millisecond)
				_ = conn.SetLinger(0)
			})
			f.store.Put(platform.ServersPrefix+f.servers[0].ID, f.servers[0].Record("svc", "ready", 2))
			f.configure(defaultParameters)
			v := f.startReady("vm-1")
			v.table.Load().config.Limits.MaxBodyBytes = int64(len(longUpload))
			c := v.dial(t)
			go func() {
				_, _ = fmt.Fprintf(c.conn, "POST /r/ %s\r\nHost: h.example\r\nRequest-Id: r1\r\nKey: k1\r\nContent-Length: %d\r\n\r\n", version, len(longUpload))
				_, _ = c.conn.Write(longUpload) // the answer tells
			}()
			response, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				t.Fatalf("%s: no answer: %v", name, err)
			}
			n, err := io.Copy(io.Discard, response.Body)
			if response.StatusCode != http.StatusBadGateway && err == nil {
				t.Errorf("%s, %s: the caller takes status %d and %d bytes for the answer", name, version, response.StatusCode, n)
			}
		}
	}
}

// wholeBody returns a request body of one piece.
func wholeBody(content []byte) body { return body{pieces: [][]byte{content}, length: len(content)} }
