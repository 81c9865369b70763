package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// uploader is a caller that sends the parts of a request itself.
type uploader struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (f *fleet) dialUploader(v *vm) *uploader {
	f.t.Helper()
	conn, err := net.Dial("tcp", v.callers)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		f.t.Fatal(err)
	}
	return &uploader{f.t, conn, bufio.NewReader(conn)}
}

func (u *uploader) send(text string) {
	u.t.Helper()
	if _, err := io.WriteString(u.conn, text); err != nil {
		u.t.Errorf("the connection was closed while the caller sent: %v", err)
	}
}

// receive reads an answer and returns its status.
func (u *uploader) receive() int {
	u.t.Helper()
	answer, err := http.ReadResponse(u.reader, nil)
	if err != nil {
		u.t.Errorf("no answer: %v", err)
		return 0
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

func uploadHead(path string, length int, more string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nKey: k1\r\nRequest-Id: upload\r\nContent-Length: %d\r\n%s\r\n", path, length, more)
}

// Load: callers whose request is refused by its head, and whose body is slow or never ends.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	body := uploadHead("/r/", 0, "") // must not be taken for a request
	slow, stalled := f.dialUploader(v), f.dialUploader(v)
	for _, u := range []*uploader{slow, stalled} {
		began := time.Now()
		u.send(uploadHead("/none/", len(body), "") + body[:1])
		if status, took := u.receive(), time.Since(began); status != http.StatusNotFound || took > time.Second {
			t.Errorf("status %d after %v", status, took)
		}
	}
	slow.send(body[1:] + uploadHead("/r/", 0, ""))
	if status := slow.receive(); status != http.StatusOK {
		t.Errorf("status %d for the next request on the connection", status)
	}
	if _, err := stalled.reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection with the stalled body: %v, want its end", err)
	}
	if n := f.countRuns("upload"); n != 1 {
		t.Errorf("%d requests ran, want 1", n)
	}
}

// Load: callers that send 360 kB within a second before they read, and are refused by the head.
func TestRefusalDoesNotResetAnUpload(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	const parts, size = 10, 36_000
	for _, header := range []string{"", "Connection: close\r\n"} {
		u := f.dialUploader(v)
		u.send(uploadHead("/none/", parts*size, header))
		for range parts {
			u.send(strings.Repeat("x", size))
			time.Sleep(100 * time.Millisecond)
		}
		if status := u.receive(); status != http.StatusNotFound {
			t.Errorf("%q: status %d", header, status)
		}
	}
}

// Load: a request to the VM itself. No answer says that a server has served it.
func TestOptionsOfTheVMIsNoSuccess(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	u := f.dialUploader(f.startReady("vm-1"))
	u.send("OPTIONS * HTTP/1.1\r\nHost: h.example\r\nKey: k1\r\nRequest-Id: options\r\n\r\n")
	if status := u.receive(); status != http.StatusNotFound {
		t.Errorf("status %d", status)
	}
}
