package entry

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/daemon/memory"
)

// Errors in receiving the request body from the caller.
var (
	errCallerStalled = errors.New("the caller made no progress with the body")
	errBodyTruncated = errors.New("the caller's body ended before it was complete")
)

// callerBody reads the request body from the caller. Reading fails if there is no progress
// for stallTimeout. At most two blocks of the body are buffered.
type callerBody struct {
	raw          io.Reader
	source       io.Reader // reads raw and verifies the digest
	control      *http.ResponseController
	stallTimeout time.Duration // maximum time without progress
	length       int64         // announced length in bytes, or -1 if unknown
	hold         *daemon.Hold  // of the request

	mu          sync.Mutex
	stopped     bool
	readStarted bool      // a read was attempted
	read        int64     // bytes read so far
	lastByte    time.Time // time of the last byte
	atEOF       bool      // the end was reached
	failure     error     // why the body could not be received completely
}

// newCallerBody returns the body of the exchange, or nil if it has none. If there is a
// Content-Digest header, the last bytes are returned only after the digest is verified.
// It fails if that header is malformed.
func newCallerBody(x *Exchange, stallTimeout time.Duration) (*callerBody, error) {
	if x.Request.ContentLength == 0 || x.Request.Body == nil {
		return nil, nil
	}
	sums, err := parseContentDigest(x.Request.Header)
	if err != nil {
		return nil, err
	}
	body := &callerBody{
		raw: x.Request.Body, control: http.NewResponseController(x.Writer),
		stallTimeout: stallTimeout, length: x.Request.ContentLength, hold: x.hold,
	}
	body.source = sums.verify(timeoutReader{body})
	return body, nil
}

// timeoutReader reads the body with stallTimeout as the timeout of each read.
type timeoutReader struct{ *callerBody }

func (r timeoutReader) Read(p []byte) (int, error) {
	if !r.setDeadline(time.Now().Add(r.stallTimeout)) {
		return 0, errBodyTruncated
	}
	if r.hold.Ended() { // checked after the deadline, which replaces the one that ends the body
		return 0, errNoMemory
	}
	n, err := r.raw.Read(p)
	r.countBytes(n)
	r.hold.Moved(n)
	if err == io.EOF || r.length >= 0 && r.fullyRead() {
		r.hold.SetPhase(memory.Kept)
	}
	if err != nil && err != io.EOF && r.hold.Ended() {
		err = errNoMemory
	}
	return n, err
}

func (b *callerBody) countBytes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read += int64(n)
	if n > 0 {
		b.lastByte = time.Now()
	}
}

// lastRead returns the time of the last byte from the caller.
func (b *callerBody) lastRead() time.Time {
	if b == nil {
		return time.Time{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastByte
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err != nil {
		b.setDeadline(time.Time{}) // a remaining read deadline would interrupt the wait for the response
		err = b.finish(err)
	}
	return n, err
}

// setDeadline sets the deadline of reads from the caller. It returns false after stop.
func (b *callerBody) setDeadline(at time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false
	}
	b.readStarted = true
	_ = b.control.SetReadDeadline(at)
	return true
}

// finish records why reading ended and returns the error for the reader.
func (b *callerBody) finish(err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	var timeout interface{ Timeout() bool }
	switch {
	case err == io.EOF:
		b.atEOF = true
		return err
	case errors.Is(err, errDigestMismatch) || errors.Is(err, errNoMemory):
		b.failure = err
	case errors.As(err, &timeout) && timeout.Timeout():
		b.failure = errors.Mark(err, errCallerStalled)
	default:
		b.failure = errors.Mark(err, errBodyTruncated)
	}
	return b.failure
}

// stop ends reading before the handler returns. If reading was started and the body was
// not read completely, the caller's connection is closed.
func (b *callerBody) stop() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return
	}
	b.stopped = true
	switch {
	case b.fullyReadLocked():
		_ = b.control.SetReadDeadline(time.Time{})
	case b.readStarted:
		_ = b.control.SetReadDeadline(time.Now())
	}
}

// unread reports whether reading has not started, so that the complete body can still be
// sent.
func (b *callerBody) unread() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.readStarted
}

// fullyRead reports whether the body was read completely.
func (b *callerBody) fullyRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fullyReadLocked()
}

func (b *callerBody) fullyReadLocked() bool {
	return b.atEOF || (b.length >= 0 && b.read >= b.length)
}

// readError returns why the body could not be received completely, or nil.
func (b *callerBody) readError() error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failure
}
