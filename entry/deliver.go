package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"lacewingmount.dev/keys"
)

const copyBlock = 32 << 10 // bytes copied at once

// deliver sends the answer to the caller. A whole one is sent with its length;
// another is copied as it comes and breaks the caller's connection if it breaks.
func (s *forwardStage) deliver(x *Exchange, d *dispatch, last *attempt) {
	settled := s.settleAnswered(x, last)
	defer settled() // a graceful shutdown waits for it
	control := http.NewResponseController(x.Writer)
	out := &progressWriter{writer: x.Writer, control: control, progress: s.limits.callerProgress}
	defer out.clear()
	header := x.Writer.Header()
	copyHeader(header, last.answer.Header)
	if d.body != nil && !d.body.whole() {
		header.Set("Connection", "close") // the rest of the caller's body is not read
	}
	if last.complete && x.Request.Method != http.MethodHead && len(last.answer.Trailer) == 0 {
		header.Set("Content-Length", strconv.Itoa(len(last.body)))
	}
	x.Writer.WriteHeader(last.answer.StatusCode)
	err := s.copyAnswer(out, last)
	if !last.complete {
		d.report(last)
	}
	if err != nil {
		panic(http.ErrAbortHandler) // breaks the connection, so that the caller sees a broken answer
	}
	_ = control.Flush()
	copyTrailer(header, last.answer.Trailer)
}

// copyAnswer writes what was read of the body, then the rest.
func (s *forwardStage) copyAnswer(out io.Writer, last *attempt) error {
	if _, err := out.Write(last.body); err != nil || last.complete {
		return err
	}
	stalled := time.AfterFunc(s.limits.serverProgress, func() { last.cancel(errStalled) })
	defer stalled.Stop()
	block := make([]byte, copyBlock)
	for {
		stalled.Reset(s.limits.serverProgress)
		n, err := last.source.Read(block)
		stalled.Stop()
		if _, writeErr := out.Write(block[:n]); writeErr != nil {
			last.fail(EndCancelled)
			return writeErr
		}
		if err == io.EOF {
			last.bodyEnded = true
			return nil
		}
		if err != nil {
			last.fail(EndBroken)
			return err
		}
	}
}

// fail records that a streamed answer did not end well.
func (a *attempt) fail(end End) { a.ended = end }

// progressWriter bounds the wait for the caller to take each piece.
type progressWriter struct {
	writer   io.Writer
	control  *http.ResponseController
	progress time.Duration
}

// Write implements io.Writer.
func (w *progressWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	_ = w.control.SetWriteDeadline(time.Now().Add(w.progress))
	return w.writer.Write(p)
}

func (w *progressWriter) clear() { _ = w.control.SetWriteDeadline(time.Time{}) }

// copyTrailer announces and sets the trailers of an answer.
func copyTrailer(header, trailer http.Header) {
	trailer = trailer.Clone()
	removeHopHeaders(trailer)
	keys.Strip(trailer)
	for name, values := range trailer {
		header[http.TrailerPrefix+name] = values
	}
}
