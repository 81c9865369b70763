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

// recorder is a backend server that keeps every byte it gets.
type recorder struct {
	mu   sync.Mutex
	seen bytes.Buffer
}

func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen.Write(p)
}

func (r *recorder) take() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.seen.Reset()
	return r.seen.String()
}

func (r *recorder) serve(c *rawConn, _ int) {
	c.reader = bufio.NewReader(io.TeeReader(c.Conn, r))
	for c.read() != nil {
		c.send("%s", okAnswer)
	}
}

const secret = "0123456789abcdef0123456789abcdef" // the key of the fuzzed requests

// openRoute adds the open route /open and the secret as a key of the account.
func (b *bench) openRoute() {
	document := benchDocument(nil)
	section := &document.Sections[0]
	section.Services[0].Servers = []config.BackendServer{b.server(0).Config}
	section.Routes = append(section.Routes, config.Route{Path: "/open", Methods: []string{"GET"}, Service: "service", Open: true, Timeout: benchTimeout})
	section.Keys = append(section.Keys, config.Key{Account: "account", Hash: keys.Hash(secret)})
	b.entry.table.Store(newTable(wire.Snapshot{Document: document}, b.entry.table.Load()))
}

// randomCase changes the case of some letters.
func randomCase(t *rapid.T, text string) string {
	mixed := []byte(text)
	for i := range mixed {
		if rapid.Bool().Draw(t, "upper") {
			mixed[i] = strings.ToUpper(string(mixed[i]))[0]
		}
	}
	return string(mixed)
}

// keyedRequest draws a request that carries the secret in one or several places.
func keyedRequest(t *rapid.T) string {
	path := rapid.SampledFrom([]string{"/open", "/read", "/upload"}).Draw(t, "path")
	method := map[string]string{"/open": "GET", "/read": "GET", "/upload": "PUT"}[path]
	name := randomCase(t, keys.Header)
	lines := []string{"Host: entry", "Accept: */*"}
	for range rapid.IntRange(1, 3).Draw(t, "copies") {
		lines = append(lines, name+": "+secret)
	}
	query := ""
	for _, place := range rapid.SliceOfDistinct(rapid.IntRange(0, 6), rapid.ID).Draw(t, "places") {
		switch place {
		case 0:
			lines = append(lines, "Connection: "+randomCase(t, keys.Header)+", X-Other")
		case 1:
			query = "?key=" + secret
		case 2:
			lines = append(lines, "Authorization: Bearer "+secret)
		case 3:
			lines = append(lines, randomCase(t, keys.AccountHeader)+": forged")
		case 4:
			lines = append(lines, "Cookie: a=b; k="+secret)
		case 5:
			query = "?key=%30" + secret[1:]
		case 6:
			lines = append(lines, "Connection: close", "Connection: "+keys.AccountHeader)
		}
	}
	body := ""
	if method == "PUT" {
		lines = append(lines, "Transfer-Encoding: chunked", "Trailer: "+keys.Header)
		body = "4\r\nbody\r\n0\r\n" + randomCase(t, keys.Header) + ": " + secret + "\r\n" + keys.AccountHeader + ": forged\r\n\r\n"
	}
	return method + " " + path + query + " HTTP/1.1\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

func TestProofKeysNoBackendServerSeesAKey(t *testing.T) {
	backend := &recorder{}
	b := newBench(t, addresses(newRawServer(t, backend.serve))...)
	b.openRoute()
	forwarded := 0
	rapid.Check(t, func(t *rapid.T) {
		request := keyedRequest(t)
		send(t, b.Listener.Addr().String(), request)
		got := backend.take()
		if strings.Contains(strings.ToLower(got), secret) || strings.Contains(got, "forged") || strings.Contains(strings.ToLower(got), strings.ToLower(keys.Header)) {
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
	if err != nil || strings.Contains(string(events), secret) {
		t.Errorf("the time line shows the key (%v)", err)
	}
}

// The control: the same check finds the key when only the header under its usual
// name is removed.
func TestControlKeysStrippingOneHeaderLeaks(t *testing.T) {
	leaks := 0
	rapid.Check(t, func(t *rapid.T) {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(keyedRequest(t))))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Del(keys.Header)
		var forwarded bytes.Buffer
		if err := request.WriteProxy(&forwarded); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(strings.ToLower(forwarded.String()), secret) {
			leaks++
		}
	})
	if leaks == 0 {
		t.Error("the check cannot find a leak")
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
		t.Fatalf("no answer to\n%s: %v", request, err)
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
}

// withdraw puts a snapshot in force in which the bench's key is withdrawn.
func (b *bench) withdraw(t *testing.T, addresses []string) {
	t.Helper()
	snapshot := wire.Snapshot{Incarnation: 1, Sequence: 1, Document: benchDocument(addresses)}
	snapshot.Withdrawals = []config.Withdrawal{{Partner: snapshot.Document.Sections[0].Partner, Hash: keys.Hash(benchKey)}}
	if err := b.entry.adopt(snapshot); err != nil {
		t.Fatal(err)
	}
}

// caller is a caller on one connection.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dialCaller(t *testing.T, b *bench) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", b.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// get returns the status of a GET with the bench's key.
func (c *caller) get(path string) int {
	c.t.Helper()
	if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: entry\r\n%s: %s\r\n\r\n", path, keys.Header, benchKey); err != nil {
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

// A caller that stays connected is refused from the withdrawal on; its stream ends
// after the grace, and a protected request that was sent is answered.
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
				c.send("%s", okAnswer)
			case request.URL.Path == "/upload":
				c.send("HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n%s", strings.Repeat("x", maxBufferedAnswer*2))
				c.hang()
			default:
				c.send("%s", okAnswer)
			}
		}
	})
	b := newBench(t, addresses(server)...)
	connected := dialCaller(t, b)
	if status := connected.get("/read"); status != http.StatusOK {
		t.Fatalf("before: %d", status)
	}
	protected, stream := make(chan reply), make(chan reply)
	go func() { protected <- b.protected(t, newRequestID(), "order") }()
	go func() { stream <- b.do(t, http.MethodPut, "/upload", strings.NewReader("body")) }()
	for _, runs := server.counts(); runs < 3; _, runs = server.counts() {
		time.Sleep(time.Millisecond)
	}
	b.withdraw(t, addresses(server))
	if status := connected.get("/read"); status != http.StatusUnauthorized {
		t.Errorf("after the withdrawal: %d", status)
	}
	if got := <-stream; got.err == nil {
		t.Errorf("the stream of the withdrawn key ended as if whole")
	}
	close(release)
	if got := <-protected; got.status != http.StatusOK {
		t.Errorf("the protected request was torn: %+v", got)
	}
}

func TestProofKeysWithoutAuthorityOnlyOpenRoutesAreServed(t *testing.T) {
	server := newRawServer(t, answering(okAnswer))
	b := newBench(t, addresses(server)...)
	b.openRoute()
	b.entry.authority.until.Store(&time.Time{})
	if got := b.do(t, http.MethodGet, "/read", nil); got.status != http.StatusServiceUnavailable || got.outcome != OutcomeNotRun {
		t.Errorf("keyed route: %+v", got)
	}
	if got := b.do(t, http.MethodGet, "/open", nil); got.status != http.StatusOK {
		t.Errorf("open route: %+v", got)
	}
	b.entry.authority.extend(time.Now(), time.Minute)
	b.entry.authority.extend(time.Now().Add(-time.Hour), time.Minute) // a late answer
	if got := b.do(t, http.MethodGet, "/read", nil); got.status != http.StatusOK {
		t.Errorf("with authority: %+v", got)
	}
}

// An entry forgets nothing, whatever a restarted agent says.
func TestProofConfigEntryNeverGoesBack(t *testing.T) {
	document := func(revision uint64) *config.Document {
		document := benchDocument(nil)
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
		next, err := merge(held, snapshot)
		if err != nil {
			t.Fatal(err)
		}
		if next.Document.Revision < 4 || len(next.Withdrawals) != 1 || next.Members < 11 {
			t.Errorf("%s: revision %d, %d withdrawals, %d members", name, next.Document.Revision, len(next.Withdrawals), next.Members)
		}
		if next.Incarnation != 2 {
			t.Errorf("%s: %v", name, fmt.Sprint(next.Incarnation))
		}
	}
}
