package entry

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a caller's body.
var (
	errCallerStalled = errors.New("the caller made no progress with the body")
	errCallerBroke   = errors.New("the caller's body broke off")
)

// callerBody reads the body of a caller that must make progress. It holds two
// blocks at most.
type callerBody struct {
	raw      io.Reader
	source   io.Reader // raw, verified as it is read
	control  *http.ResponseController
	progress time.Duration // longest wait for a byte
	length   int64         // announced, or -1

	mu      sync.Mutex
	stopped bool
	touched bool // a read was tried
	read    int64
	last    time.Time // of the last byte
	ended   bool      // read to its end
	failed  error     // why the body is not whole
}

// newCallerBody returns the body of the exchange, or nil if it has none. An
// announced digest is verified before the last bytes are handed out.
func newCallerBody(x *Exchange, progress time.Duration) (*callerBody, error) {
	if x.Request.ContentLength == 0 || x.Request.Body == nil {
		return nil, nil
	}
	sums, err := parseContentDigest(x.Request.Header)
	if err != nil {
		return nil, err
	}
	body := &callerBody{
		raw: x.Request.Body, control: http.NewResponseController(x.Writer),
		progress: progress, length: x.Request.ContentLength,
	}
	body.source = sums.verify(progressReader{body})
	return body, nil
}

// progressReader bounds the wait for each piece of a body.
type progressReader struct{ *callerBody }

func (r progressReader) Read(p []byte) (int, error) {
	if !r.setDeadline(time.Now().Add(r.progress)) {
		return 0, errCallerBroke
	}
	n, err := r.raw.Read(p)
	r.count(n)
	return n, err
}

func (b *callerBody) count(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read += int64(n)
	if n > 0 {
		b.last = time.Now()
	}
}

// lastRead returns when the caller sent its last byte.
func (b *callerBody) lastRead() time.Time {
	if b == nil {
		return time.Time{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err != nil {
		b.setDeadline(time.Time{}) // a deadline left behind would end the wait for the answer
		err = b.finish(err)
	}
	return n, err
}

// setDeadline bounds the next read from the caller; it reports false once stopped.
func (b *callerBody) setDeadline(at time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false
	}
	b.touched = true
	_ = b.control.SetReadDeadline(at)
	return true
}

func (b *callerBody) finish(err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	var timeout interface{ Timeout() bool }
	switch {
	case err == io.EOF:
		b.ended = true
		return err
	case errors.Is(err, errDigest):
		b.failed = err
	case errors.As(err, &timeout) && timeout.Timeout():
		b.failed = errors.Mark(err, errCallerStalled)
	default:
		b.failed = errors.Mark(err, errCallerBroke)
	}
	return b.failed
}

// stop ends reading before the handler returns. A body that was not read to its
// end ends the caller's connection with it.
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
	case b.wholeLocked():
		_ = b.control.SetReadDeadline(time.Time{})
	case b.touched:
		_ = b.control.SetReadDeadline(time.Now())
	}
}

// untouched reports whether the whole body can still be sent.
func (b *callerBody) untouched() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.touched
}

// whole reports whether the body was read to its end.
func (b *callerBody) whole() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wholeLocked()
}

func (b *callerBody) wholeLocked() bool {
	return b.ended || (b.length >= 0 && b.read >= b.length)
}

// fault returns why the caller's body is not whole, or nil.
func (b *callerBody) fault() error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed
}
