package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
	"lacewingmount.dev/sockets"
)

const (
	backendDialTimeout = 150 * time.Millisecond // connecting takes 1 ms and two crossings between availability zones
	idleMargin         = 700 * time.Millisecond // a connection is closed this long before the server closes it, so that a request can still arrive
	defaultIdleTime    = 2 * time.Second        // for servers that send no Keep-Alive timeout
	maxBufferedBody    = 1 << 20                // bytes; of a longer answer, this much is read before any of it is delivered
	maxInlineBody      = 16 << 10               // bytes; a longer request body is written while the answer is awaited
	maxSkippedAnswers  = 64                     // 1xx answers, and answers to other requests, that are skipped in one exchange
	readBufferSize     = 4 << 10                // bytes; the size of most answers
	backendDescriptors = 0.375                  // share of the descriptors above which no connection to a server is kept idle
)

// backendLiveness detects within 2 s that the path to a server is cut, so that no
// request is sent over a dead idle connection.
var backendLiveness = sockets.Liveness{Idle: time.Second, Interval: 500 * time.Millisecond, Probes: 2, UserTimeout: 2 * time.Second}

// Errors of an exchange that package net/http does not detect.
var (
	errOtherRequest      = errors.New("the server sent answers to other requests only")
	errUnsigned          = errors.New("the server sent a success status without its signature")
	errTwoHeads          = errors.New("the head of the answer contains the status line of another one")
	errInvalidStatus     = errors.New("the server sent a status that is none")
	errReset             = errors.New("the server reset the connection during an answer without a length")
	errSwitchedProtocols = errors.New("the server switched protocols without being asked")
)

// backendConn is a connection to a backend server.
type backendConn struct {
	net.Conn
	limiter   *headLimiter
	reader    *bufio.Reader
	sent      sentIDs
	idleUntil time.Time
	reused    bool
	pool      *backendPool // that counts it; nil for none
	closed    atomic.Bool
}

// Close implements net.Conn.
func (c *backendConn) Close() error {
	if c.pool != nil && c.closed.CompareAndSwap(false, true) {
		c.pool.open.Add(-1)
	}
	return c.Conn.Close()
}

// backendPool keeps idle connections to the servers, by server ID and address. It is
// safe for concurrent use.
type backendPool struct {
	mu      sync.Mutex
	idle    map[string][]*backendConn
	open    atomic.Int64 // connections, idle ones and those in use
	maxOpen int64        // above it, no connection is kept idle; 0 for no limit
}

func newBackendPool() *backendPool { return &backendPool{idle: map[string][]*backendConn{}} }

// take returns an idle connection that is still open and accepts a request with the ID, or
// nil.
func (p *backendPool) take(key, id string) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle[key]) - 1; i >= 0; i-- {
		conn := p.idle[key][i]
		open := time.Now().Before(conn.idleUntil) && sockets.Peek(conn.Conn) == sockets.NoData
		if open && !conn.sent.accepts(id) {
			repeatsPassedOver.Inc()
			continue
		}
		p.idle[key] = slices.Delete(p.idle[key], i, i+1)
		if open {
			conn.reused = true
			return conn
		}
		_ = conn.Close()
	}
	if len(p.idle[key]) == 0 {
		delete(p.idle, key)
	}
	return nil
}

func (p *backendPool) put(key string, conn *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxOpen > 0 && p.open.Load() > p.maxOpen {
		_ = conn.Close()
		return
	}
	p.idle[key] = append(p.idle[key], conn)
}

// sweep closes the connections whose idle time is over.
func (p *backendPool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, conns := range p.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if now.Before(conn.idleUntil) {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close()
		}
		if p.idle[key] = kept; len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}

// outbound is a request in the form that is sent to backend servers.
type outbound struct {
	method, uri, host, id string
	header                http.Header
	body                  body
	checkZone             func() error // called right before the request is sent, which an error prevents; may be nil
	early                 *earlyRun    // nil if the request is not run early
	hold                  *daemon.Hold // is charged with the answers; nil for none
}

// exchange is one attempt of a request at one server.
type exchange struct {
	outcome  placement.Outcome
	sent     bool // the request may have reached the server, and the server did not report that it did not run it
	status   int
	header   http.Header
	body     []byte
	charged  int            // bytes that are charged for body
	rest     *http.Response // rest of an answer longer than body; nil if body is complete
	conn     *backendConn
	took     time.Duration
	reused   bool
	err      error
	unusable bool // the connection must not serve another request
	writeErr chan error
}

// backend sends requests to servers.
type backend struct {
	pool *backendPool
}

// attempt sends the request to one server and reads the answer, until ctx ends or the
// deadline is reached.
func (b *backend) attempt(ctx context.Context, server platform.Server, request *outbound, deadline time.Time) *exchange {
	x := &exchange{}
	started := time.Now()
	key := server.ID + "@" + server.Address
	conn, err := b.connect(ctx, key, server.Address, request.id)
	if err != nil {
		x.outcome, x.err, x.took = placement.Unreachable, err, time.Since(started)
		if ctx.Err() != nil {
			x.outcome = placement.Unused
		}
		return x
	}
	if request.checkZone != nil { // connecting may have taken backendDialTimeout
		if err := request.checkZone(); err != nil {
			_ = conn.Close()
			x.outcome, x.err, x.took = placement.Unused, err, time.Since(started)
			return x
		}
	}
	x.conn, x.reused, x.sent = conn, conn.reused, true
	conn.sent.add(request.id)
	_ = conn.SetDeadline(deadline) // fails only on a closed connection, which the write reports
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	x.err = x.roundTrip(request)
	x.took = time.Since(started)
	x.classify(ctx)
	if !stop() || x.err != nil || !x.reusable() {
		if x.rest == nil {
			_ = conn.Close()
		}
		return x
	}
	_ = conn.SetDeadline(time.Time{})
	conn.idleUntil = time.Now().Add(idleTime(x.header))
	b.pool.put(key, conn)
	return x
}

// connect returns a connection on which a request with the ID may be sent.
func (b *backend) connect(ctx context.Context, key, address, id string) (*backendConn, error) {
	if conn := b.pool.take(key, id); conn != nil {
		return conn, nil
	}
	backendConnects.Inc()
	conn, err := backendLiveness.Dialer(backendDialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	limiter := &headLimiter{Conn: conn}
	b.pool.open.Add(1)
	return &backendConn{Conn: conn, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferSize), pool: b.pool}, nil
}

// roundTrip writes the request and reads its answer, skipping answers to other
// requests.
func (x *exchange) roundTrip(request *outbound) error {
	if err := x.write(request); err != nil {
		return err
	}
	for range maxSkippedAnswers {
		x.conn.limiter.beginHead()
		response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: request.method})
		x.conn.limiter.endHead()
		if err != nil {
			return err
		}
		if holdsStatusLine(response) {
			return errTwoHeads
		}
		if response.StatusCode < http.StatusContinue { // also one with a sign
			return errInvalidStatus
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return errSwitchedProtocols
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if platform.ReadResponseHeaders(response.StatusCode, response.Header).RequestID != request.id {
			mismatchedAnswers.Inc()
			if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBody)); err != nil || n == maxBufferedBody {
				return errors.CombineErrors(errOtherRequest, err)
			}
			x.unusable = true // answers may no longer match requests on this connection
			continue
		}
		return x.read(response, request)
	}
	return errOtherRequest
}

// holdsStatusLine reports whether the head of an answer broke off in a line that the status
// line of the next answer completed. Then the headers of one answer stand under the status of
// the other.
func holdsStatusLine(response *http.Response) bool {
	for _, values := range response.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return statusLine.MatchString(response.Status)
}

var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}\b`)

// write sends the head and a short body in one call, or both in the background if the
// body is long.
func (x *exchange) write(request *outbound) error {
	var head bytes.Buffer
	inline := request.body.length <= maxInlineBody
	if inline {
		head.Grow(request.body.length + 1024)
	}
	head.WriteString(request.method + " " + request.uri + " HTTP/1.1\r\nHost: " + request.host + "\r\n")
	if err := request.header.Write(&head); err != nil {
		return err
	}
	if request.body.length > 0 || request.method != http.MethodGet && request.method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(request.body.length) + "\r\n")
	}
	head.WriteString("\r\n")
	if inline {
		_, _ = request.body.WriteTo(&head) // cannot fail
		_, err := x.conn.Write(head.Bytes())
		return err
	}
	x.writeErr = make(chan error, 1)
	go func() {
		_, err := x.conn.Write(head.Bytes())
		if err == nil {
			_, err = request.body.WriteTo(x.conn)
		}
		x.writeErr <- err
	}()
	return nil
}

// read reads an answer: completely, or the first maxBufferedBody bytes of a longer one, or
// fewer if there is no memory for them.
func (x *exchange) read(response *http.Response, request *outbound) error {
	x.status, x.header = response.StatusCode, response.Header
	x.unusable = x.unusable || response.Close
	headers := platform.ReadResponseHeaders(x.status, x.header)
	if x.status < http.StatusMultipleChoices && !headers.Signed {
		return errUnsigned
	}
	length := response.ContentLength
	if response.Body == http.NoBody {
		length = 0
	}
	most := maxBufferedBody
	if length >= 0 {
		most = int(min(length, maxBufferedBody))
	}
	body, whole, charged, err := request.hold.ReadPart(response.Body, length, request.early.reserveBody(most))
	x.charged = charged
	if err != nil {
		return err
	}
	x.body = body
	if !whole {
		x.rest = response
		return nil
	}
	if err := x.checkEnd(response); err != nil {
		return err
	}
	// ContentLength is -1 for chunked answers and for those that end with the connection.
	if response.ContentLength >= 0 {
		x.header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	return nil
}

// readRest reads the rest of a long answer.
func (x *exchange) readRest(w io.Writer) error {
	if _, err := io.Copy(w, x.rest.Body); err != nil {
		return err
	}
	return x.checkEnd(x.rest)
}

// checkEnd fails if the body of an answer ended with a reset of its connection. A read does not
// tell if the answer has no length and the write of the request got the error.
func (x *exchange) checkEnd(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && sockets.WasReset(x.conn.Conn) {
		return errReset
	}
	return nil
}

// classify sets the outcome of the attempt.
func (x *exchange) classify(ctx context.Context) {
	if x.err != nil {
		x.outcome = placement.Broken
		var timeout net.Error
		cause := context.Cause(ctx)
		switch {
		case errors.Is(cause, context.Canceled) || errors.Is(cause, errStopping):
			x.outcome = placement.Unused
		case errors.As(x.err, &timeout) && timeout.Timeout():
			x.outcome = placement.Silent
		}
		return
	}
	headers := platform.ReadResponseHeaders(x.status, x.header)
	switch {
	case x.status == http.StatusMisdirectedRequest:
		x.outcome, x.sent = placement.Misdirected, false
	case headers.NotRun:
		x.outcome, x.sent = placement.Shed, false
	case x.status >= http.StatusInternalServerError:
		x.outcome = placement.Failed
	}
}

// reusable reports whether the connection may serve another request. It may not after
// a long request body: the server may not have read all of it, even if it was written.
func (x *exchange) reusable() bool {
	if x.writeErr != nil || x.unusable || x.rest != nil || x.conn.reader.Buffered() > 0 || x.conn.sent.full() {
		return false
	}
	return true
}

// idleTime returns how long a connection may stay idle after an answer.
func idleTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(text); err == nil {
				return time.Duration(seconds)*time.Second - idleMargin
			}
		}
	}
	return defaultIdleTime
}

var (
	backendConnects   = metrics.GetOrCreateCounter("lacewing_backend_connects_total")
	repeatsPassedOver = metrics.GetOrCreateCounter("lacewing_backend_repeats_passed_over_total")
	mismatchedAnswers = metrics.GetOrCreateCounter("lacewing_backend_stray_answers_total")
)
