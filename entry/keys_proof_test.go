package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingmount.dev/config"
	"lacewingmount.dev/keys"
	"lacewingmount.dev/wire"
)

// recordingServer is a backend server that records all bytes that it receives.
type recordingServer struct {
	mu   sync.Mutex
	seen bytes.Buffer
}

func (r *recordingServer) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen.Write(p)
}

func (r *recordingServer) take() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.seen.Reset()
	return r.seen.String()
}

func (r *recordingServer) serve(c *rawConn, _ int) {
	c.reader = bufio.NewReader(io.TeeReader(c.Conn, r))
	for c.read() != nil {
		c.send("%s", okResponse)
	}
}

const testSecretKey = "0123456789abcdef0123456789abcdef" // key in the generated requests

// addOpenRoute adds the open route /open, and testSecretKey as a key of the account.
func (b *harness) addOpenRoute() {
	document := testDocument(nil)
	section := &document.Sections[0]
	section.Services[0].Servers = []config.BackendServer{b.server(0).Config}
	section.Routes = append(section.Routes, config.Route{Path: "/open", Methods: []string{"GET"}, Service: "service", Open: true, Timeout: testTimeout})
	section.Keys = append(section.Keys, config.Key{Account: "account", Hash: keys.Hash(testSecretKey)})
	b.entry.table.Store(newTable(wire.Snapshot{Document: document}, b.entry.table.Load()))
}

// randomCase changes random letters to upper case.
func randomCase(t *rapid.T, text string) string {
	mixed := []byte(text)
	for i := range mixed {
		if rapid.Bool().Draw(t, "upper") {
			mixed[i] = strings.ToUpper(string(mixed[i]))[0]
		}
	}
	return string(mixed)
}

// randomKeyedRequest generates a request that contains testSecretKey in one or more places.
func randomKeyedRequest(t *rapid.T) string {
	path := rapid.SampledFrom([]string{"/open", "/read", "/upload"}).Draw(t, "path")
	method := map[string]string{"/open": "GET", "/read": "GET", "/upload": "PUT"}[path]
	name := randomCase(t, keys.Header)
	lines := []string{"Host: entry", "Accept: */*"}
	for range rapid.IntRange(1, 3).Draw(t, "copies") {
		lines = append(lines, name+": "+testSecretKey)
	}
	query := ""
	for _, place := range rapid.SliceOfDistinct(rapid.IntRange(0, 6), rapid.ID).Draw(t, "places") {
		switch place {
		case 0:
			lines = append(lines, "Connection: "+randomCase(t, keys.Header)+", X-Other")
		case 1:
			query = "?key=" + testSecretKey
		case 2:
			lines = append(lines, "Authorization: Bearer "+testSecretKey)
		case 3:
			lines = append(lines, randomCase(t, keys.AccountHeader)+": forged")
		case 4:
			lines = append(lines, "Cookie: a=b; k="+testSecretKey)
		case 5:
			query = "?key=%30" + testSecretKey[1:]
		case 6:
			lines = append(lines, "Connection: close", "Connection: "+keys.AccountHeader)
		}
	}
	body := ""
	if method == "PUT" {
		lines = append(lines, "Transfer-Encoding: chunked", "Trailer: "+keys.Header)
		body = "4\r\nbody\r\n0\r\n" + randomCase(t, keys.Header) + ": " + testSecretKey + "\r\n" + keys.AccountHeader + ": forged\r\n\r\n"
	}
	return method + " " + path + query + " HTTP/1.1\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

func TestProofKeysNoBackendServerSeesAKey(t *testing.T) {
	backend := &recordingServer{}
	b := newHarness(t, addresses(newRawServer(t, backend.serve))...)
	b.addOpenRoute()
	forwarded := 0
	rapid.Check(t, func(t *rapid.T) {
		request := randomKeyedRequest(t)
		send(t, b.Listener.Addr().String(), request)
		got := backend.take()
		if strings.Contains(strings.ToLower(got), testSecretKey) || strings.Contains(got, "forged") || strings.Contains(strings.ToLower(got), strings.ToLower(keys.Header)) {
			t.Fatalf("the backend server got\n%s\nfor\n%s", got, request)
		}
		if got != "" {
			forwarded++
		}
	})
	if forwarded == 0 {
		t.Error("no request was forwarded")
	}
	events, err := json.Marshal(b.entry.events.Events())
	if err != nil || strings.Contains(string(events), testSecretKey) {
		t.Errorf("the timeline contains the key, or cannot be encoded (%v)", err)
	}
}

// TestControlKeysStrippingOneHeaderLeaks checks that the search for the key detects a leak:
// only the header with the usual name is removed here, and copies in other places remain.
func TestControlKeysStrippingOneHeaderLeaks(t *testing.T) {
	leaks := 0
	rapid.Check(t, func(t *rapid.T) {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(randomKeyedRequest(t))))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Del(keys.Header)
		var forwarded bytes.Buffer
		if err := request.WriteProxy(&forwarded); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(strings.ToLower(forwarded.String()), testSecretKey) {
			leaks++
		}
	})
	if leaks == 0 {
		t.Error("the check did not detect any leak")
	}
}

func send(t *rapid.T, address, request string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response to\n%s: %v", request, err)
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
}

// withdrawKey applies a snapshot in which testKey is withdrawn.
func (b *harness) withdrawKey(t *testing.T, addresses []string) {
	t.Helper()
	snapshot := wire.Snapshot{Incarnation: 1, Sequence: 1, Document: testDocument(addresses)}
	snapshot.Withdrawals = []config.Withdrawal{{Partner: snapshot.Document.Sections[0].Partner, Hash: keys.Hash(testKey)}}
	if err := b.entry.apply(snapshot); err != nil {
		t.Fatal(err)
	}
}

// caller sends requests on one connection.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dialCaller(t *testing.T, b *harness) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", b.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// get sends a GET with testKey and returns the status.
func (c *caller) get(path string) int {
	c.t.Helper()
	if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: entry\r\n%s: %s\r\n\r\n", path, keys.Header, testKey); err != nil {
		c.t.Fatal(err)
	}
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// TestProofKeysWithdrawnOnOpenConnections checks that after a withdrawal, requests on an
// open connection are refused, a streamed response is cancelled after withdrawalGrace,
// and a protected request that was already sent still gets its response.
func TestProofKeysWithdrawnOnOpenConnections(t *testing.T) {
	release := make(chan struct{})
	server := newRawServer(t, func(c *rawConn, _ int) {
		for {
			request := c.read()
			switch {
			case request == nil:
				return
			case request.URL.Path == "/protected":
				<-release
				c.send("%s", okResponse)
			case request.URL.Path == "/upload":
				c.send("HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n%s", strings.Repeat("x", maxBufferedResponse*2))
				c.waitForClose()
			default:
				c.send("%s", okResponse)
			}
		}
	})
	b := newHarness(t, addresses(server)...)
	connected := dialCaller(t, b)
	if status := connected.get("/read"); status != http.StatusOK {
		t.Fatalf("before the withdrawal: status %d", status)
	}
	protected, stream := make(chan callerResult), make(chan callerResult)
	go func() { protected <- b.protected(t, newRequestID(), "order") }()
	go func() { stream <- b.do(t, http.MethodPut, "/upload", strings.NewReader("body")) }()
	for _, runs := server.counts(); runs < 3; _, runs = server.counts() {
		time.Sleep(time.Millisecond)
	}
	b.withdrawKey(t, addresses(server))
	if status := connected.get("/read"); status != http.StatusUnauthorized {
		t.Errorf("after the withdrawal: status %d", status)
	}
	if got := <-stream; got.err == nil {
		t.Errorf("the streamed response to a request with the withdrawn key ended without an error")
	}
	close(release)
	if got := <-protected; got.status != http.StatusOK {
		t.Errorf("the protected request got no complete response: %+v", got)
	}
}

func TestProofKeysWithoutAuthorityOnlyOpenRoutesAreServed(t *testing.T) {
	server := newRawServer(t, alwaysRespond(okResponse))
	b := newHarness(t, addresses(server)...)
	b.addOpenRoute()
	b.entry.authority.until.Store(&time.Time{})
	if got := b.do(t, http.MethodGet, "/read", nil); got.status != http.StatusServiceUnavailable || got.outcome != OutcomeNotRun {
		t.Errorf("route that needs a key: %+v", got)
	}
	if got := b.do(t, http.MethodGet, "/open", nil); got.status != http.StatusOK {
		t.Errorf("open route: %+v", got)
	}
	b.entry.authority.extend(time.Now(), time.Minute)
	b.entry.authority.extend(time.Now().Add(-time.Hour), time.Minute) // a late reply of the agent
	if got := b.do(t, http.MethodGet, "/read", nil); got.status != http.StatusOK {
		t.Errorf("with authority: %+v", got)
	}
}

// TestProofConfigEntryNeverGoesBack checks that a restarted agent with older data cannot
// lower the revision or remove a withdrawal.
func TestProofConfigEntryNeverGoesBack(t *testing.T) {
	document := func(revision uint64) *config.Document {
		document := testDocument(nil)
		document.Revision = revision
		return document
	}
	known := config.Withdrawal{Partner: "partner", Hash: "hash"}
	held := wire.Snapshot{Incarnation: 1, Sequence: 9, Members: 12, Document: document(4), Withdrawals: []config.Withdrawal{known}}
	for name, snapshot := range map[string]wire.Snapshot{
		"nothing known yet": {Incarnation: 2},
		"older document":    {Incarnation: 2, Sequence: 1, Document: document(3)},
		"same document":     {Incarnation: 2, Sequence: 1, Document: document(4)},
		"newer document":    {Incarnation: 2, Sequence: 1, Document: document(5), Members: 11},
	} {
		next, err := mergeSnapshots(held, snapshot)
		if err != nil {
			t.Fatal(err)
		}
		if next.Document.Revision < 4 || len(next.Withdrawals) != 1 || next.Members < 11 {
			t.Errorf("%s: revision %d, %d withdrawals, %d members", name, next.Document.Revision, len(next.Withdrawals), next.Members)
		}
		if next.Incarnation != 2 {
			t.Errorf("%s: incarnation %v, want 2", name, fmt.Sprint(next.Incarnation))
		}
	}
}
