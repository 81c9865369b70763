package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lacewingmount.dev/daemon/memory"
	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
)

// deadlineRefusal returns the refusal of a request that has no time left for another
// attempt.
func (q *request) deadlineRefusal() *refusal {
	for _, t := range q.attempts {
		if t.outcome != placement.Unreachable && t.outcome != placement.Shed && t.outcome != placement.Misdirected {
			return &refusal{http.StatusGatewayTimeout, 0, "deadline exceeded after outcome " + t.outcome.String()}
		}
	}
	return &refusal{http.StatusServiceUnavailable, shedRetryAfter, "deadline exceeded before a server ran the request"}
}

// placementRefusal returns the refusal of a request that was granted no server, or no
// further one after failed attempts.
func (q *request) placementRefusal(ctx context.Context, decision placementResult) *refusal {
	if len(q.attempts) > 0 {
		last := q.attempts[len(q.attempts)-1]
		if q.mayHaveRun() {
			return &refusal{http.StatusBadGateway, 0, "server " + last.outcome.String() + ", and no retry: " + decision.Reason}
		}
	}
	retryAfter := decision.RetryAfter
	if retryAfter <= 0 {
		retryAfter = shedRetryAfter
	}
	if ctx.Err() != nil {
		return q.deadlineRefusal()
	}
	return &refusal{http.StatusServiceUnavailable, retryAfter, decision.Reason}
}

// answer delivers the server's answer, or returns a refusal if there is none that
// callers may get.
func (q *request) answer(ctx context.Context, x *exchange) *refusal {
	switch {
	case x.outcome == placement.Shed || x.outcome == placement.Misdirected:
		if q.mayHaveRun() {
			return &refusal{http.StatusBadGateway, 0, "no server accepted the retry"}
		}
		return &refusal{http.StatusServiceUnavailable, shedRetryAfter, "none of the servers tried accepted the request"}
	case x.err != nil && errors.Is(context.Cause(ctx), errStopping):
		return &refusal{http.StatusGatewayTimeout, 0, "server did not answer before the end of this VM's grace period"}
	case x.err != nil && q.r.Context().Err() != nil:
		return &refusal{http.StatusBadGateway, 0, "caller left"}
	case x.err != nil && ctx.Err() != nil:
		return &refusal{http.StatusGatewayTimeout, 0, "server did not answer before the deadline"}
	case x.err != nil:
		return &refusal{http.StatusBadGateway, 0, "no complete answer from the server: " + x.err.Error()}
	case statusMeansNotRun(x.status):
		return &refusal{http.StatusBadGateway, 0, "server answered " + strconv.Itoa(x.status) + " and may have run the request"}
	}
	if !q.awaitTurn(http.StatusBadGateway, "caller left") {
		q.closeRest(x)
		return nil
	}
	header := q.w.Header()
	for name, values := range endToEnd(x.header) {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil // otherwise net/http sets one from the content
	}
	switch {
	case x.rest == nil && q.r.Method != http.MethodHead:
		header.Set("Content-Length", strconv.Itoa(len(x.body)))
	case x.rest != nil && x.rest.ContentLength >= 0: // otherwise a cut is not visible to callers without chunks
		header.Set("Content-Length", strconv.FormatInt(x.rest.ContentLength, 10))
	}
	q.closeIfStopping()
	q.limitWrite()
	q.w.WriteHeader(x.status)
	q.progress = answerBegun
	err := q.deliver(x)
	q.progress = answerComplete
	q.log(x.status, "", err)
	return nil
}

// deliver writes the answer to the caller. While it does, the request may be ended for what it
// holds, which makes the write fail.
func (q *request) deliver(x *exchange) error {
	if !q.hold.SetPhase(memory.Delivering) {
		return errNoMemory
	}
	for unsent := x.body; len(unsent) > 0; {
		n, err := progressWriter{q}.Write(unsent[:min(len(unsent), deliveryBlock)])
		if err != nil {
			return err
		}
		unsent = unsent[n:]
	}
	if x.rest != nil {
		x.body = nil
		q.hold.Release(x.charged)
		if err := q.stream(x); err != nil {
			return err
		}
	}
	if !q.hold.SetPhase(memory.Kept) {
		q.limitWrite() // all was written before the write was to fail
	}
	return nil
}

// deliveryBlock is how much of an answer is written at a time, in bytes.
const deliveryBlock = 64 << 10

// progressWriter writes to the caller and records the progress.
type progressWriter struct{ q *request }

func (w progressWriter) Write(p []byte) (int, error) {
	n, err := w.q.w.Write(p)
	w.q.hold.Moved(n)
	return n, err
}

// stream delivers the rest of a long answer. If the answer is cut short, it aborts the
// caller's connection, so that the caller does not take the answer for complete.
func (q *request) stream(x *exchange) error {
	defer func() { _ = x.conn.Close() }()
	if err := x.readRest(progressWriter{q}); err != nil {
		q.log(x.status, "answer was cut short after a part was delivered", err)
		if !q.r.ProtoAtLeast(1, 1) && x.rest.ContentLength < 0 {
			q.pipeline.resetOnClose() // without chunks, the end of the connection is the end of the answer
		}
		panic(http.ErrAbortHandler)
	}
	return nil
}

// statusMeansNotRun reports whether callers may conclude from the status that the
// request has not run and will not.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (q *request) closeIfStopping() {
	if q.g.isStopping() && q.pipeline.stopRunningAhead() {
		q.w.Header().Set("Connection", "close")
	}
}

func (q *request) refuse(f *refusal) {
	if !q.awaitTurn(f.status, f.reason) {
		return
	}
	header := q.w.Header()
	platform.SetRequestID(header, q.caller.RequestID)
	if f.retryAfter > 0 {
		platform.SetRetryAfter(header, f.retryAfter)
	}
	header["Content-Type"] = nil
	header.Set("Content-Length", "0")
	q.closeIfStopping()
	unread := !q.bodyRead && q.r.Body != http.NoBody
	if unread && (q.bodyBegun || q.r.Header.Get("Expect") != "") {
		header.Set("Connection", "close") // its rest may not come, or cannot be told from a request
	}
	connection := http.NewResponseController(q.w)
	if unread {
		_ = connection.EnableFullDuplex() // otherwise the answer waits for the end of the body
	}
	q.limitWrite()
	q.w.WriteHeader(f.status)
	q.progress = answerComplete
	q.log(f.status, f.reason, nil)
	if unread {
		q.discardBody(connection)
	}
}

// discardBody sends the answer and reads the body that was not needed: closing a
// connection on which the caller still sends would reset it, and the answer could be
// lost. If the body does not end in time, its rest must not be taken for a request.
func (q *request) discardBody(connection *http.ResponseController) {
	if err := connection.Flush(); err != nil {
		return // the connection is broken
	}
	limit := bodyDiscardTime
	if q.hold.Ended() {
		limit = endedDiscardTime
	}
	q.g.budget.Discard(q.r.RemoteAddr)
	_ = connection.SetReadDeadline(time.Now().Add(limit)) // fails only on a closed connection, which the read reports
	if _, err := io.CopyN(io.Discard, q.r.Body, maxBodyBytes); err != io.EOF {
		panic(http.ErrAbortHandler)
	}
}

// bodyDiscardTime limits the time in which the body of a refused request is read.
const bodyDiscardTime = 2 * time.Second

// endedDiscardTime is the same for a request that was ended because others need its memory or
// its connection.
const endedDiscardTime = 250 * time.Millisecond
