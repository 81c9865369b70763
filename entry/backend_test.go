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

// rawServer is a backend server that speaks bytes, so that it can break any rule.
type rawServer struct {
	listener net.Listener
	mu       sync.Mutex
	conns    int
	runs     int // requests read whole
}

// handler serves one connection, the nth of its server; it counts requests with read.
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

func (s *rawServer) counts() (conns, runs int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns, s.runs
}

// read reads one request whole; nil if the connection ended first.
func (c *rawConn) read() *http.Request {
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil
	}
	c.server.count(&c.server.runs)
	return request
}

func (c *rawConn) send(format string, args ...any) { _, _ = fmt.Fprintf(c.Conn, format, args...) }

// reset ends the connection with RST.
func (c *rawConn) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// hang waits until the other side closes the connection.
func (c *rawConn) hang() { _, _ = io.Copy(io.Discard, c.reader) }

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// answering serves each request with the same bytes.
func answering(answer string) handler {
	return func(c *rawConn, _ int) {
		for c.read() != nil {
			c.send("%s", answer)
		}
	}
}

// once serves one request of each connection, then closes it.
func answeringOnce(answer string) handler {
	return func(c *rawConn, _ int) {
		if c.read() != nil {
			c.send("%s", answer)
		}
	}
}

// hanging reads the request and never answers.
func hanging(c *rawConn, _ int) {
	if c.read() != nil {
		c.hang()
	}
}

func resetting(c *rawConn, _ int) {
	if c.read() != nil {
		c.reset()
	}
}

// refusing returns an address on which nothing listens.
func refusing(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// orderPicker picks servers in the order of the configuration and keeps what it is told.
type orderPicker struct {
	mu       sync.Mutex
	observed []Observation
}

func (p *orderPicker) Pick(x *Exchange, tried map[*Server]bool) *Server {
	for _, server := range x.Service.Servers {
		if !tried[server] {
			return server
		}
	}
	return nil
}

func (p *orderPicker) Report(_ *Exchange, _ *Server, observed Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observed = append(p.observed, observed)
}

func (p *orderPicker) observations() []Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Observation(nil), p.observed...)
}

// memoryClaimer claims in memory, as one agent with a working store would.
type memoryClaimer struct {
	mu      sync.Mutex
	records map[string]*wire.SettleRequest
	lost    bool          // answers to claims are lost after they took effect
	delay   time.Duration // of a claim
}

func (c *memoryClaimer) Claim(_ context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error) {
	time.Sleep(c.delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.records[request.Key]
	if record == nil {
		c.records[request.Key] = &wire.SettleRequest{Claim: request}
		if c.lost {
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

func (c *memoryClaimer) Settle(_ context.Context, request wire.SettleRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.NotRun {
		delete(c.records, request.Claim.Key)
		return nil
	}
	c.records[request.Claim.Key] = &request
	return nil
}

// bench is an entry with fakes around it.
type bench struct {
	*httptest.Server
	picker  *orderPicker
	claimer *memoryClaimer
	stage   *forwardStage
	entry   *Entry
}

const (
	benchKey     = "test-key"
	benchTimeout = 4 * time.Second
	benchStall   = 300 * time.Millisecond // progress limit of tests in which nothing moves
)

// stallSoon makes the entry give up soon when nothing moves.
func (b *bench) stallSoon() {
	b.stage.limits = limits{callerProgress: benchStall, serverProgress: benchStall}
}

// newBench serves /read, /open, /post, /protected and /upload from the given addresses.
func newBench(t *testing.T, addresses ...string) *bench {
	t.Helper()
	b := &bench{picker: &orderPicker{}, claimer: &memoryClaimer{records: map[string]*wire.SettleRequest{}}}
	e := New(Settings{VM: "vm", Zone: "a", Agent: "127.0.0.1:1"}, zap.NewNop())
	b.stage = newForwardStage(b.picker, b.claimer)
	e.authority.extend(time.Now(), time.Hour)
	e.stages = []Stage{e.stages[0], e.stages[1], claimStage{claimer: b.claimer}, b.stage}
	e.table.Store(newTable(wire.Snapshot{Document: benchDocument(addresses)}, nil))
	b.entry = e
	b.Server = httptest.NewUnstartedServer(e)
	b.Server.Config.ErrorLog = nil
	b.Start()
	t.Cleanup(b.Close)
	return b
}

func benchDocument(addresses []string) *config.Document {
	service := config.Service{Name: "service", Floor: 1, Slots: 6, Connections: 400}
	for i, address := range addresses {
		service.Servers = append(service.Servers, config.BackendServer{Name: fmt.Sprint("server-", i), Address: address, Zone: "a"})
	}
	route := func(path string, timeout time.Duration, methods ...string) config.Route {
		return config.Route{Path: path, Methods: methods, Service: "service", Timeout: timeout}
	}
	protected := route("/protected", benchTimeout, "POST")
	protected.Protected = true
	upload := route("/upload", 0, "PUT", "POST")
	upload.Upload = true
	return &config.Document{Revision: 1, Sections: []config.Section{{
		Partner: "partner", Services: []config.Service{service},
		Accounts: []config.ClientAccount{{Name: "account", Rate: 1, Burst: 1}},
		Keys:     []config.Key{{Account: "account", Hash: keys.Hash(benchKey)}},
		Routes: []config.Route{
			route("/read", benchTimeout, "GET", "HEAD"), route("/post", benchTimeout, "POST"), protected, upload,
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

// reply is what a caller got: err is set if the answer is not whole.
type reply struct {
	status  int
	outcome Outcome
	body    string
	header  http.Header
	trailer http.Header
	err     error
}

func (b *bench) do(t *testing.T, method, path string, body io.Reader, header ...string) reply {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, b.URL+path, body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(keys.Header, benchKey)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Add(header[i], header[i+1])
	}
	return perform(request)
}

var callerTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

func perform(request *http.Request) reply {
	answer, err := callerTransport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	return reply{
		status: answer.StatusCode, outcome: Outcome(answer.Header.Get(OutcomeHeader)),
		body: string(content), header: answer.Header, trailer: answer.Trailer, err: err,
	}
}

func (b *bench) protected(t *testing.T, key, body string) reply {
	t.Helper()
	return b.do(t, http.MethodPost, "/protected", strings.NewReader(body), idempotencyHeader, key)
}

// newKey returns an Idempotency-Key stamped now.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// server returns the live counters of the ith backend server.
func (b *bench) server(i int) *Server {
	return b.entry.table.Load().services["service"].Servers[i]
}
