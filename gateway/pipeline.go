package gateway

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/sockets"
)

const (
	maxHeldBytes  = 32 << 10 // read ahead on one connection; two heads of the largest size that is read ahead
	firstHeld     = 2 << 10  // bytes of the first buffer of a connection; it doubles as needed
	maxAheadCount = 16       // requests that are read or run ahead on one connection
)

// pipeline is the order of the requests on one connection of a caller. The HTTP server reads
// through it and gets one request at a time, byte for byte as the caller sent it. While a
// request is served, the server's background read reads ahead and starts the idempotent
// requests that it finds. When their turn comes, the server reads and parses them as usual,
// and their handlers deliver the responses of the early runs.
//
// The reads of the server follow each other, so only the fields below mu are shared.
type pipeline struct {
	g    *Gateway
	conn daemon.CallerConn
	raw  syscall.RawConn
	base context.Context // of the connection

	// What the server gets.
	offset int64       // in the caller's bytes, of the next byte
	head   headScanner // of the request whose head is delivered
	inHead bool
	left   int64 // bytes of a body that follow
	served bool  // a request was delivered
	opaque bool  // the ends of requests are not known any more; all bytes are passed on

	// What was read ahead.
	held      []byte // from offset on
	found     []foundRequest
	ahead     headScanner
	aheadAt   int64 // offset of the request that is scanned ahead
	aheadFed  int64 // offset of the next byte for the scanner
	aheadDone bool  // no request after those found may run early
	readErr   error // that ended the caller's connection

	mu      sync.Mutex
	current *earlyRun              // of the request that the server has read last; nil if it did not run early
	waiting map[*earlyRun]struct{} // run early, and the server has not read them yet
	sealed  bool                   // no request may be run early any more
	closed  bool                   // the connection ends
	charged int                    // bytes of held that the budget knows
	ctx     context.Context        // of early runs; nil before the first
	cancel  context.CancelFunc
	ended   chan struct{} // closed when no response can be delivered any more; nil before the first early run
}

// foundRequest is a complete request that was read ahead.
type foundRequest struct {
	start, end int64 // offsets; the body may not have been read
	headLength int
	plain      bool // has no body and may run early
	run        *earlyRun
}

type pipelineKey struct{}

// attachPipeline is the ConnContext callback of the HTTP server. Connections that are no
// sockets are read as usual, since the caller's leaving could not be noticed beside unread data.
func (g *Gateway) attachPipeline(ctx context.Context, c net.Conn) context.Context {
	conn, ok := c.(daemon.CallerConn)
	if !ok {
		return ctx
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return ctx
	}
	p := &pipeline{g: g, conn: conn, raw: raw, base: ctx}
	conn.SetHook(p)
	return context.WithValue(ctx, pipelineKey{}, p)
}

// pipelineOf returns the pipeline of the connection whose context ctx is derived from; nil if
// it has none.
func pipelineOf(ctx context.Context) *pipeline {
	p, _ := ctx.Value(pipelineKey{}).(*pipeline)
	return p
}

// Read implements daemon.ConnHook.
func (p *pipeline) Read(b []byte) (int, error) {
	switch {
	case p.readErr != nil:
		return 0, p.readErr
	case p.opaque && len(p.held) == 0:
		return p.conn.ReadSocket(b)
	// Only the background read has a buffer of one byte between requests: it begins when a
	// request has been read completely and ends with its handler.
	case !p.opaque && len(b) == 1 && p.served && !p.inHead && p.left == 0:
		return p.readAhead(b)
	case len(p.held) > 0:
		n := p.deliver(p.held[:min(len(b), len(p.held))])
		copy(b, p.held[:n])
		p.drop(n)
		return n, nil
	}
	if p.left > 0 {
		b = b[:min(int64(len(b)), p.left)]
	}
	n, err := p.conn.ReadSocket(b)
	if n == 0 {
		return n, err
	}
	delivered := p.deliver(b[:n])
	if delivered < n {
		p.hold(b[delivered:n])
	}
	return delivered, err
}

// deliver notes that bytes go to the server, and returns how many of them: not more than to the
// end of the present request.
func (p *pipeline) deliver(b []byte) int {
	if p.opaque {
		p.offset += int64(len(b))
		return len(b)
	}
	n := 0
	if p.left == 0 {
		if !p.inHead {
			p.beginRequest()
		}
		var complete bool
		n, complete = p.head.feed(b)
		if p.head.opaque {
			p.opaque, p.found, n = true, nil, len(b)
		}
		if complete {
			p.inHead, p.left = false, p.head.length
			p.aheadDone = p.aheadDone || p.head.closes
		}
	}
	if !p.inHead {
		body := min(p.left, int64(len(b)-n))
		p.left -= body
		n += int(body)
	}
	p.offset += int64(n)
	return n
}

// beginRequest notes that the server gets the first byte of a request.
func (p *pipeline) beginRequest() {
	p.inHead, p.served = true, true
	p.head = headScanner{}
	var run *earlyRun
	for len(p.found) > 0 && p.found[0].start <= p.offset {
		if p.found[0].start == p.offset {
			run = p.found[0].run
		}
		p.found = p.found[1:]
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = run
}

// readAhead reads while a handler runs, until the server sets a deadline in the past. It
// returns no byte.
func (p *pipeline) readAhead(b []byte) (int, error) {
	for {
		if !p.aheadDone && len(p.held) > 0 {
			p.findRequests()
			p.startFound()
		}
		n, err := 0, error(nil)
		switch {
		case len(p.held) == 0: // as without the pipeline, so that idle callers cost no buffer
			if n, err = p.conn.ReadSocket(b); n > 0 {
				p.hold(b[:n])
			}
		case p.aheadDone || !p.makeRoom():
			err = sockets.AwaitHangup(p.raw)
		default:
			n, err = p.conn.ReadSocket(p.held[len(p.held):cap(p.held)])
			p.held = p.held[:len(p.held)+n]
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			p.readErr = err
			p.drop(len(p.held))
			p.End()
		}
		return 0, err
	}
}

// findRequests scans what was read ahead for complete requests.
func (p *pipeline) findRequests() {
	if p.aheadAt < p.offset { // the server has got the bytes that were scanned
		p.ahead, p.aheadAt, p.aheadFed = headScanner{}, p.offset, p.offset
	}
	end := p.offset + int64(len(p.held))
	for !p.aheadDone && p.aheadFed < end && len(p.found) < maxAheadCount {
		n, complete := p.ahead.feed(p.held[p.aheadFed-p.offset:])
		p.aheadFed += int64(n)
		if p.ahead.opaque {
			p.aheadDone = true
			return
		}
		if !complete {
			return
		}
		f := foundRequest{start: p.aheadAt, end: p.aheadFed + p.ahead.length, headLength: int(p.aheadFed - p.aheadAt), plain: p.ahead.length == 0}
		p.found = append(p.found, f)
		p.aheadDone = p.ahead.closes
		p.ahead, p.aheadAt, p.aheadFed = headScanner{}, f.end, f.end
	}
}

// startFound starts those of the requests found that may run early.
func (p *pipeline) startFound() {
	t := p.g.table.Load()
	if t == nil {
		return
	}
	for i := range p.found {
		f := &p.found[i]
		if !f.plain || f.run != nil {
			continue
		}
		if !p.g.pipelined.hasRoom(earlyCharge) {
			pipelinedLimited.Inc()
			return
		}
		from := int(f.start - p.offset)
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(p.held[from : from+f.headLength])))
		if err != nil || r.Body != http.NoBody {
			f.plain = false
			continue
		}
		if route := t.route(r.Host, r.URL.Path); route == nil || !route.Safe {
			f.plain = false
			continue
		}
		r.RemoteAddr = p.conn.RemoteAddr().String() // the budget knows the connection by it
		f.run = p.start(r)
	}
}

// start runs a request early. It returns nil if that is not possible now.
func (p *pipeline) start(r *http.Request) *earlyRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sealed || p.g.isStopping() || !p.g.pipelined.reserve(earlyCharge) {
		return nil
	}
	if p.ctx == nil {
		p.ctx, p.cancel = context.WithCancel(p.base)
		p.ended = make(chan struct{})
		p.waiting = map[*earlyRun]struct{}{}
	}
	run := &earlyRun{budget: p.g.pipelined, charged: earlyCharge, turn: make(chan http.ResponseWriter, 1), ended: p.ended, done: make(chan struct{})}
	run.q = &request{g: p.g, r: r.WithContext(p.ctx), pipeline: p, early: run}
	p.waiting[run] = struct{}{}
	pipelinedRequests.Inc()
	go run.serve()
	return run
}

// take returns the early run of the request that the server has parsed; nil if there is none.
func (p *pipeline) take(r *http.Request) *earlyRun {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	run := p.current
	p.current = nil
	if run == nil {
		return nil
	}
	delete(p.waiting, run)
	if !run.isOf(r) {
		// Cannot happen while the scanner accepts a subset of net/http's requests. What was
		// run belongs to nobody, so the connection is not trusted any more.
		pipelinedMismatches.Inc()
		p.endLocked()
		panic(http.ErrAbortHandler)
	}
	return run
}

// stopRunningAhead reports whether the connection may be closed after the present response: no
// request behind it runs early. None will from then on.
func (p *pipeline) stopRunningAhead() bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) > 0 {
		return false
	}
	p.sealed = true
	return true
}

// resetOnClose makes the caller notice the close of its connection as an error.
func (p *pipeline) resetOnClose() {
	if p != nil {
		p.conn.ResetOnClose()
	}
}

// End implements daemon.ConnHook. It cancels the requests that run early.
func (p *pipeline) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endLocked()
}

func (p *pipeline) endLocked() {
	p.sealed, p.closed = true, true
	p.chargeLocked(0)
	if p.ctx == nil {
		return
	}
	p.cancel()
	select {
	case <-p.ended:
	default:
		close(p.ended)
	}
}

// hold keeps bytes that were read beyond the present request. It may exceed the budget, by at
// most the server's read buffer for each connection: the bytes are here already.
func (p *pipeline) hold(b []byte) {
	if len(p.held) == 0 && cap(p.held) < len(b) {
		size := max(firstHeld, len(b))
		p.charge(size)
		p.held = make([]byte, 0, size)
	}
	p.held = append(p.held, b...)
}

// makeRoom makes room for reading more, and reports false at the bounds.
func (p *pipeline) makeRoom() bool {
	if len(p.held) < cap(p.held) {
		return true
	}
	size := min(max(firstHeld, 2*len(p.held)), maxHeldBytes)
	if size <= len(p.held) {
		pipelinedLimited.Inc()
		return false
	}
	if !p.g.pipelined.hasRoom(size) {
		pipelinedLimited.Inc()
		return false
	}
	p.charge(size)
	p.held = append(make([]byte, 0, size), p.held...)
	return true
}

// drop forgets held bytes that the server has got.
func (p *pipeline) drop(n int) {
	if p.held = p.held[n:]; len(p.held) == 0 { // a connection that does not pipeline any more holds nothing
		p.held, p.found = nil, p.found[:0:0]
		p.charge(0)
	}
}

// charge tells the budget how many bytes are held.
func (p *pipeline) charge(size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chargeLocked(size)
}

func (p *pipeline) chargeLocked(size int) {
	if p.closed {
		size = 0
	}
	if size != p.charged {
		p.g.pipelined.add(size - p.charged)
		p.charged = size
	}
}
