package entry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/daemon/memory"
	"lacewingmount.dev/keys"
)

// newHarnessWithMemory returns an entry that may hold the given bytes for callers.
func newHarnessWithMemory(t *testing.T, bytes int64, addresses ...string) *harness {
	t.Helper()
	b := newHarness(t, addresses...)
	b.entry.budget = daemon.NewBudget(memory.Limits{Bytes: bytes}, zap.NewNop())
	b.entry.stages = slices.Insert(b.entry.stages, 2, Stage(memoryStage{b.entry.budget}))
	return b
}

// sendPart sends a request whose body stops one byte short of its length, and returns the
// connection.
func (b *harness) sendPart(t *testing.T, method, path string, length int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", b.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, keys.Header, testKey, idempotencyHeader, newKey(), length, strings.Repeat("x", length-1))
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// statuses returns the statuses and outcomes of the responses that arrive on the connections
// within the time.
func statuses(conns []net.Conn, within time.Duration) map[string]int {
	found := map[string]int{}
	end := time.Now().Add(within)
	for _, conn := range conns {
		_ = conn.SetReadDeadline(end)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			continue
		}
		found[fmt.Sprint(response.StatusCode, " ", response.Header.Get(OutcomeHeader))]++
	}
	return found
}

// TestStalledProtectedBodyMakesRoom guards against protected bodies, which are held whole,
// that stop just short of their end and fill the memory.
func TestStalledProtectedBodyMakesRoom(t *testing.T) {
	t.Parallel()
	server := newRawServer(t, alwaysRespond(okResponse))
	b := newHarnessWithMemory(t, 1<<20, addresses(server)...)
	var stalled []net.Conn
	for range 3 {
		stalled = append(stalled, b.sendPart(t, http.MethodPost, "/protected", 200<<10))
	}
	time.Sleep(3 * time.Second)
	if got := b.protected(t, newKey(), strings.Repeat("y", 200<<10)); got.status != http.StatusOK {
		t.Fatalf("the honest request ended with %d %s, %v", got.status, got.body, got.err)
	}
	found := statuses(stalled, time.Second)
	if found["503 not-run"] == 0 || len(found) != 1 {
		t.Fatalf("the stalled requests ended with %v", found)
	}
	if _, requests := server.counts(); requests != 1 {
		t.Fatalf("%d requests reached the server, 1 was whole", requests)
	}
}

// TestStalledUploadMakesRoom guards against uploads that stop just short of their end and use
// up the memory of the connections to servers. Their servers may have begun to run them.
func TestStalledUploadMakesRoom(t *testing.T) {
	t.Parallel()
	server := newRawServer(t, alwaysRespond(okResponse))
	b := newHarnessWithMemory(t, 5*uploadBytes, addresses(server)...)
	var stalled []net.Conn
	for range 5 {
		stalled = append(stalled, b.sendPart(t, http.MethodPut, "/upload", 40<<10))
	}
	time.Sleep(4 * time.Second)
	if got := b.do(t, http.MethodPut, "/upload", strings.NewReader("upload")); got.status != http.StatusOK {
		t.Fatalf("the honest upload ended with %d %s, %v", got.status, got.body, got.err)
	}
	for end := range statuses(stalled, time.Second) {
		if strings.HasSuffix(end, string(OutcomeNotRun)) {
			t.Fatalf("a stalled upload that its server may have seen ended with %s", end)
		}
	}
}

// TestAnnouncedBodyOverLimitIsNotRead guards against reading what the announced length
// already refuses.
func TestAnnouncedBodyOverLimitIsNotRead(t *testing.T) {
	t.Parallel()
	b := newHarnessWithMemory(t, 1<<20, addresses(newRawServer(t, alwaysRespond(okResponse)))...)
	conn, err := net.Dial("tcp", b.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /protected HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n",
		keys.Header, testKey, idempotencyHeader, newKey(), maxProtectedBodyBytes+1)
	if err != nil {
		t.Fatal(err)
	}
	if found := statuses([]net.Conn{conn}, 2*time.Second); found["413 not-run"] != 1 {
		t.Fatalf("the request ended with %v", found)
	}
}
