package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// rawCaller is a caller with one connection that sends the bytes of its requests itself.
type rawCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// dial opens a caller's connection, which is usable for 30 s.
func (v *vm) dial(t *testing.T) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", v.callers)
	if err != nil {
		t.Fatal(err)
	}
	return newRawCaller(t, conn)
}

// newRawCaller returns a caller with the connection, which is usable for 30 s.
func newRawCaller(t *testing.T, conn net.Conn) *rawCaller {
	t.Helper()
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &rawCaller{t, conn, bufio.NewReader(conn)}
}

func (c *rawCaller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Errorf("the connection was closed while the caller sent: %v", err)
	}
}

// receive reads an answer and its body. Without a complete one it fails the test.
func (c *rawCaller) receive() *http.Response {
	c.t.Helper()
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		c.t.Fatalf("the answer broke off: %v", err)
	}
	return answer
}

// wantRefusal reads an answer that says that the request has not run and that the
// connection ends.
func (c *rawCaller) wantRefusal() {
	c.t.Helper()
	if answer := c.receive(); answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" || !answer.Close {
		c.t.Fatalf("the request ends with %d, %v", answer.StatusCode, answer.Header)
	}
}
