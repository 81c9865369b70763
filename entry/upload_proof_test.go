package entry

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// receivedUpload describes the body of an upload that a backend server received.
type receivedUpload struct {
	sum      string
	complete bool
	size     int64
}

// recordUpload returns a handler that reads an upload and sends its description to seen.
func recordUpload(seen chan<- receivedUpload) handler {
	return func(c *rawConn, _ int) {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		hash := sha256.New()
		size, err := io.Copy(hash, request.Body)
		seen <- receivedUpload{sum: hex.EncodeToString(hash.Sum(nil)), complete: err == nil, size: size}
		if err == nil {
			c.send(okResponse)
		}
	}
}

// randomBytes returns a reader of pseudorandom bytes with a fixed seed.
func randomBytes(size int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8([32]byte{5}), size)
}

func sumOf(reader io.Reader) [sha256.Size]byte {
	hash := sha256.New()
	_, _ = io.Copy(hash, reader)
	return [sha256.Size]byte(hash.Sum(nil))
}

func TestProofWholeUploadStreamsInBoundedMemory(t *testing.T) {
	const size, bound = 96 << 20, 24 << 20 // bytes
	seen := make(chan receivedUpload, 1)
	b := newHarness(t, addresses(newRawServer(t, recordUpload(seen)))...)
	stop, most := make(chan struct{}), make(chan uint64)
	runtime.GC()
	go func() {
		var peak uint64
		for {
			select {
			case <-stop:
				most <- peak
				return
			case <-time.After(2 * time.Millisecond):
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				peak = max(peak, stats.HeapAlloc)
			}
		}
	}()
	got := b.do(t, http.MethodPut, "/upload", randomBytes(size))
	close(stop)
	if peak := <-most; peak > bound {
		t.Errorf("the heap reached %d MiB during an upload of %d MiB", peak>>20, size>>20)
	}
	want := sumOf(randomBytes(size))
	if r := <-seen; got.status != http.StatusOK || !r.complete || r.sum != hex.EncodeToString(want[:]) {
		t.Fatalf("response %+v, received %+v", got, r)
	}
}

// TestProofWholeBrokenUploads checks that a backend server never takes an incomplete or
// altered upload for a complete one.
func TestProofWholeBrokenUploads(t *testing.T) {
	body := strings.Repeat("photo", 50_000)
	tests := []struct {
		name, head, sent string
		complete         bool
	}{
		{"whole", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body, true},
		{"whole with digest", fmt.Sprintf("Content-Length: %d\r\nContent-Digest: %s\r\n", len(body), contentDigestOf(body)), body, true},
		{"wrong digest", fmt.Sprintf("Content-Length: %d\r\nContent-Digest: %s\r\n", len(body), contentDigestOf("x")), body, false},
		{"chunked with wrong digest", "Transfer-Encoding: chunked\r\nContent-Digest: " + contentDigestOf("x") + "\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), false},
		{"breaks off", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body[:len(body)/2], false},
		{"chunked breaks off", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(body), body), false},
	}
	for _, stalls := range []bool{false, true} {
		for _, test := range tests {
			if stalls && test.complete {
				continue
			}
			t.Run(fmt.Sprintf("%s, stalls %t", test.name, stalls), func(t *testing.T) {
				seen := make(chan receivedUpload, 1)
				b := newHarness(t, addresses(newRawServer(t, recordUpload(seen)))...)
				if !test.complete {
					b.shortenStallTimeouts()
				}
				conn, err := net.Dial("tcp", b.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				fmt.Fprintf(conn, "PUT /upload HTTP/1.1\r\nHost: x\r\nX-Client-Key: %s\r\n%s\r\n%s", testKey, test.head, test.sent)
				if !stalls && !test.complete {
					_ = conn.(*net.TCPConn).CloseWrite()
				}
				answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if r := <-seen; r.complete != test.complete {
					t.Fatalf("received completely: %t, %d of %d bytes", r.complete, r.size, len(body))
				}
				if test.complete && (err != nil || answer.StatusCode != http.StatusOK) {
					t.Fatalf("response %+v, error %v", answer, err)
				}
				if !test.complete && err == nil && (answer.StatusCode < 400 || answer.Header.Get(OutcomeHeader) == string(OutcomeNotRun)) {
					t.Fatalf("status %d, outcome %s", answer.StatusCode, answer.Header.Get(OutcomeHeader))
				}
			})
		}
	}
}

func TestProofWholeStalledBackendEndsUpload(t *testing.T) {
	for name, serve := range map[string]handler{
		"reads nothing":     func(_ *rawConn, _ int) { select {} },
		"sends no response": neverRespond,
		"stops within the response": func(c *rawConn, _ int) {
			c.read()
			c.send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 4*maxBufferedResponse, strings.Repeat("x", maxBufferedResponse))
			c.waitForClose()
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, addresses(newRawServer(t, serve))...)
			b.shortenStallTimeouts()
			got := b.do(t, http.MethodPut, "/upload", randomBytes(32<<20))
			if got.err == nil && got.outcome != OutcomeUnknown {
				t.Fatalf("got %d %q", got.status, got.outcome)
			}
			b.awaitIdle(t)
			if seen := b.picker.observations(); len(seen) != 1 || seen[0].Result == ResultAnswered {
				t.Fatalf("observed %+v", seen)
			}
		})
	}
}

// TestProofWholeSilentCallerIsEnded checks that the connection of a caller that does not
// read its response is closed, so that it does not occupy a slot of a backend server
// indefinitely.
func TestProofWholeSilentCallerIsEnded(t *testing.T) {
	const size = 64 << 20
	b := newHarness(t, addresses(newRawServer(t, func(c *rawConn, _ int) {
		c.read()
		c.send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		_, _ = io.Copy(c, randomBytes(size))
	}))...)
	b.shortenStallTimeouts()
	conn, err := net.Dial("tcp", b.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /read HTTP/1.1\r\nHost: x\r\nX-Client-Key: %s\r\n\r\n", testKey)
	for b.server(0).InFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	b.awaitIdle(t)
}
