package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

func uploadHead(path string, length int, more string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nKey: k1\r\nRequest-Id: upload\r\nContent-Length: %d\r\n%s\r\n", path, length, more)
}

// Load: callers whose request is refused by its head, and whose body is slow or never ends.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	body := uploadHead("/r/", 0, "") // must not be taken for a request
	slow, stalled := v.dial(t), v.dial(t)
	for _, u := range []*rawCaller{slow, stalled} {
		began := time.Now()
		u.send(uploadHead("/none/", len(body), "") + body[:1])
		if status, took := u.receive().StatusCode, time.Since(began); status != http.StatusNotFound || took > time.Second {
			t.Errorf("status %d after %v", status, took)
		}
	}
	slow.send(body[1:] + uploadHead("/r/", 0, ""))
	if status := slow.receive().StatusCode; status != http.StatusOK {
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
		u := v.dial(t)
		u.send(uploadHead("/none/", parts*size, header))
		for range parts {
			u.send(strings.Repeat("x", size))
			time.Sleep(100 * time.Millisecond)
		}
		if status := u.receive().StatusCode; status != http.StatusNotFound {
			t.Errorf("%q: status %d", header, status)
		}
	}
}

// Load: a request to the VM itself. No answer says that a server has served it.
func TestOptionsOfTheVMIsNoSuccess(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	u := f.startReady("vm-1").dial(t)
	u.send("OPTIONS * HTTP/1.1\r\nHost: h.example\r\nKey: k1\r\nRequest-Id: options\r\n\r\n")
	if status := u.receive().StatusCode; status != http.StatusNotFound {
		t.Errorf("status %d", status)
	}
}
