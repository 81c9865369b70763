package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"lacewingmount.dev/config"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/keys"
	"lacewingmount.dev/wire"
)

// rawServer is a backend server that sends arbitrary bytes, so that it can violate HTTP in
// any way.
type rawServer struct {
	listener net.Listener
	mu       sync.Mutex
	conns    int
	requests int // requests that were read completely
}

// handler serves one connection. nth is the number of the connection at its server,
// starting with 1. Requests that are read with rawConn.read are counted.
type handler func(c *rawConn, nth int)

type rawConn struct {
	net.Conn
	reader *bufio.Reader
	server *rawServer
}

func newRawServer(t *testing.T, serve handler) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &rawServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for nth := 1; ; nth++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server.count(&server.conns)
			t.Cleanup(func() { _ = conn.Close() })
			go func() {
				defer conn.Close()
				serve(&rawConn{Conn: conn, reader: bufio.NewReader(conn), server: server}, nth)
			}()
		}
	}()
	return server
}

func (s *rawServer) count(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

func (s *rawServer) counts() (conns, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns, s.requests
}

// read reads one complete request. It returns nil if the connection ended first.
func (c *rawConn) read() *http.Request {
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil
	}
	c.server.count(&c.server.requests)
	return request
}

func (c *rawConn) send(format string, args ...any) { _, _ = fmt.Fprintf(c.Conn, format, args...) }

// reset closes the connection with a TCP RST.
func (c *rawConn) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// waitForClose discards input until the peer closes the connection.
func (c *rawConn) waitForClose() { _, _ = io.Copy(io.Discard, c.reader) }

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// alwaysRespond sends the same bytes in response to each request.
func alwaysRespond(answer string) handler {
	return func(c *rawConn, _ int) {
		for c.read() != nil {
			c.send("%s", answer)
		}
	}
}

// respondOnce responds to one request of each connection, then closes it.
func respondOnce(answer string) handler {
	return func(c *rawConn, _ int) {
		if c.read() != nil {
			c.send("%s", answer)
		}
	}
}

// neverRespond reads the request and sends no response.
func neverRespond(c *rawConn, _ int) {
	if c.read() != nil {
		c.waitForClose()
	}
}

// resetAfterRead reads the request and resets the connection.
func resetAfterRead(c *rawConn, _ int) {
	if c.read() != nil {
		c.reset()
	}
}

// unusedAddress returns an address at which no process listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// sequentialPicker selects servers in the order of the configuration and records the
// observations.
type sequentialPicker struct {
	mu       sync.Mutex
	observed []Observation
}

func (p *sequentialPicker) Pick(x *Exchange, tried map[*Server]bool) *Server {
	for _, server := range x.Service.Servers {
		if !tried[server] {
			return server
		}
	}
	return nil
}

func (p *sequentialPicker) Report(_ *Exchange, _ *Server, observed Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observed = append(p.observed, observed)
}

func (p *sequentialPicker) observations() []Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Observation(nil), p.observed...)
}

// inMemoryClaimer is a Claimer that behaves like an agent with a working store.
type inMemoryClaimer struct {
	mu          sync.Mutex
	records     map[string]*wire.SettleRequest
	loseAnswers bool          // Claim records the claim but returns an error
	delay       time.Duration // duration of a claim
}

func (c *inMemoryClaimer) Claim(_ context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error) {
	time.Sleep(c.delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.records[request.Key]
	if record == nil {
		c.records[request.Key] = &wire.SettleRequest{Claim: request}
		if c.loseAnswers {
			return wire.ClaimAnswer{}, errs.New(errs.Ambiguous, "lost", "")
		}
		return wire.ClaimAnswer{State: wire.ClaimGranted}, nil
	}
	if record.Claim.Digest != request.Digest {
		return wire.ClaimAnswer{State: wire.ClaimMismatch}, nil
	}
	if record.Kept != nil {
		return wire.ClaimAnswer{State: wire.ClaimAnswered, Kept: record.Kept}, nil
	}
	return wire.ClaimAnswer{State: wire.ClaimPending}, nil
}

func (c *inMemoryClaimer) Settle(_ context.Context, request wire.SettleRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.NotRun {
		delete(c.records, request.Claim.Key)
		return nil
	}
	c.records[request.Claim.Key] = &request
	return nil
}

// harness is an entry with fake dependencies.
type harness struct {
	*httptest.Server
	picker  *sequentialPicker
	claimer *inMemoryClaimer
	stage   *forwardStage
	entry   *Entry
}

const (
	testKey          = "test-key"
	testTimeout      = 4 * time.Second
	testStallTimeout = 300 * time.Millisecond // stall timeout in tests of stalled connections
)

// shortenStallTimeouts sets both stall timeouts to testStallTimeout.
func (b *harness) shortenStallTimeouts() {
	b.stage.stallTimeouts = stallTimeouts{callerStallTimeout: testStallTimeout, serverStallTimeout: testStallTimeout}
}

// newHarness returns an entry that serves the routes /read, /post, /protected and /upload
// from backend servers at the given addresses.
func newHarness(t *testing.T, addresses ...string) *harness {
	t.Helper()
	b := &harness{picker: &sequentialPicker{}, claimer: &inMemoryClaimer{records: map[string]*wire.SettleRequest{}}}
	e := New(Settings{VM: "vm", Zone: "a", Agent: "127.0.0.1:1"}, zap.NewNop())
	settler := newSettler(b.claimer)
	b.stage = newForwardStage(b.picker, settler)
	e.authority.extend(time.Now(), time.Hour)
	e.stages = []Stage{e.stages[0], e.stages[1], claimStage{claimer: b.claimer, settler: settler}, b.stage}
	e.table.Store(newTable(wire.Snapshot{Document: testDocument(addresses)}, nil))
	b.entry = e
	b.Server = httptest.NewUnstartedServer(e)
	b.Server.Config.ErrorLog = nil
	b.Start()
	t.Cleanup(b.Close)
	return b
}

func testDocument(addresses []string) *config.Document {
	service := config.Service{Name: "service", Floor: 1, Slots: 6, Connections: 400}
	for i, address := range addresses {
		service.Servers = append(service.Servers, config.BackendServer{Name: fmt.Sprint("server-", i), Address: address, Zone: "a"})
	}
	route := func(path string, timeout time.Duration, methods ...string) config.Route {
		return config.Route{Path: path, Methods: methods, Service: "service", Timeout: timeout}
	}
	protected := route("/protected", testTimeout, "POST")
	protected.Protected = true
	upload := route("/upload", 0, "PUT", "POST")
	upload.Upload = true
	return &config.Document{Revision: 1, Sections: []config.Section{{
		Partner: "partner", Services: []config.Service{service},
		Accounts: []config.ClientAccount{{Name: "account", Rate: 1, Burst: 1}},
		Keys:     []config.Key{{Account: "account", Hash: keys.Hash(testKey)}},
		Routes: []config.Route{
			route("/read", testTimeout, "GET", "HEAD"), route("/post", testTimeout, "POST"), protected, upload,
		},
	}}}
}

func addresses(servers ...*rawServer) []string {
	var list []string
	for _, server := range servers {
		list = append(list, server.listener.Addr().String())
	}
	return list
}

// callerResult is the response that a caller received; err is set if it is incomplete.
type callerResult struct {
	status  int
	outcome Outcome
	body    string
	header  http.Header
	trailer http.Header
	err     error
}

func (b *harness) do(t *testing.T, method, path string, body io.Reader, header ...string) callerResult {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, b.URL+path, body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(keys.Header, testKey)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Add(header[i], header[i+1])
	}
	return roundTrip(request)
}

var callerTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

func roundTrip(request *http.Request) callerResult {
	answer, err := callerTransport.RoundTrip(request)
	if err != nil {
		return callerResult{err: err}
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	return callerResult{
		status: answer.StatusCode, outcome: Outcome(answer.Header.Get(OutcomeHeader)),
		body: string(content), header: answer.Header, trailer: answer.Trailer, err: err,
	}
}

func (b *harness) protected(t *testing.T, key, body string) callerResult {
	t.Helper()
	return b.do(t, http.MethodPost, "/protected", strings.NewReader(body), idempotencyHeader, key)
}

// newKey returns an Idempotency-Key with the current time as its timestamp.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// server returns the backend server with index i.
func (b *harness) server(i int) *Server {
	return b.entry.table.Load().services["service"].Servers[i]
}
