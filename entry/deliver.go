package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/daemon/memory"
	"lacewingmount.dev/keys"
)

const copyBufferBytes = 32 << 10 // size of the buffer for streamed responses

// deliver sends the response to the caller. A response that was read completely is sent
// with its length. Other responses are streamed; if one fails, the caller's connection is
// closed.
func (s *forwardStage) deliver(x *Exchange, d *dispatch, last *attempt) {
	s.settleResponse(x, last)
	control := http.NewResponseController(x.Writer)
	out := &timeoutWriter{writer: x.Writer, control: control, stallTimeout: s.stallTimeouts.callerStallTimeout, hold: x.hold}
	defer out.clear()
	header := x.Writer.Header()
	copyHeader(header, last.response.Header)
	x.announceClose()
	if d.body != nil && !d.body.fullyRead() {
		header.Set("Connection", "close") // the rest of the request body is not read
	}
	if last.complete && x.Request.Method != http.MethodHead && len(last.response.Trailer) == 0 {
		header.Set("Content-Length", strconv.Itoa(len(last.body)))
	}
	x.hold.SetPhase(memory.Delivering)
	x.Writer.WriteHeader(last.response.StatusCode)
	err := s.copyResponse(out, last)
	x.hold.SetPhase(memory.Kept)
	if !last.complete {
		d.report(last)
	}
	if err != nil {
		abort(x)
	}
	_ = control.Flush()
	copyTrailer(header, last.response.Trailer)
}

// copyResponse writes the part of the body that was already read and streams the rest.
func (s *forwardStage) copyResponse(out io.Writer, last *attempt) error {
	if _, err := out.Write(last.body); err != nil || last.complete {
		return err
	}
	stalled := time.AfterFunc(s.stallTimeouts.serverStallTimeout, func() { last.cancel(errStalled) })
	defer stalled.Stop()
	block := make([]byte, copyBufferBytes)
	for {
		stalled.Reset(s.stallTimeouts.serverStallTimeout)
		n, err := last.bodyReader.Read(block)
		stalled.Stop()
		if _, writeErr := out.Write(block[:n]); writeErr != nil {
			last.setResult(ResultCancelled)
			return writeErr
		}
		if err == io.EOF {
			last.bodyRead = true
			return nil
		}
		if err != nil {
			last.setResult(ResultBroken)
			return err
		}
	}
}

// setResult changes the result of an attempt whose streamed response failed.
func (a *attempt) setResult(end Result) { a.result = end }

// timeoutWriter is a writer to the caller that fails if a single write takes longer than
// stallTimeout.
type timeoutWriter struct {
	writer       io.Writer
	control      *http.ResponseController
	stallTimeout time.Duration
	hold         *daemon.Hold
}

// Write implements io.Writer.
func (w *timeoutWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	_ = w.control.SetWriteDeadline(time.Now().Add(w.stallTimeout))
	if w.hold.Ended() { // checked after the deadline, which replaces the one that ends the response
		return 0, errNoMemory
	}
	n, err := w.writer.Write(p)
	w.hold.Moved(n)
	return n, err
}

func (w *timeoutWriter) clear() { _ = w.control.SetWriteDeadline(time.Time{}) }

// copyTrailer sends the trailers of a response, without hop-by-hop headers and keys.
func copyTrailer(header, trailer http.Header) {
	trailer = trailer.Clone()
	removeHopHeaders(trailer)
	keys.Strip(trailer)
	for name, values := range trailer {
		header[http.TrailerPrefix+name] = values
	}
}
