package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// deadlineHeader is the request header with the time left in milliseconds, from
	// callers and to backend servers.
	deadlineHeader    = "X-Deadline-Ms"
	responseAllowance = 5 * time.Millisecond // reserved for the transfer of the response
)

// Causes with which the context of an attempt is cancelled.
var (
	errDeadline   = errors.New("the deadline passed")
	errSuperseded = errors.New("another attempt completed first")
	errStalled    = errors.New("the backend server made no progress")
)

// Deadline returns when the response to the caller is due: at the timeout of the route,
// or earlier if the caller sent an earlier deadline. ok is false if there is no deadline,
// which is possible for uploads only.
func (x *Exchange) Deadline() (due time.Time, ok bool) {
	if !x.Route.Upload {
		due, ok = x.Started.Add(x.Route.Timeout), true
	}
	left, err := strconv.Atoi(x.Request.Header.Get(deadlineHeader))
	if err != nil || left <= 0 || left > maxDeadlineMs {
		return due, ok
	}
	requested := x.Started.Add(time.Duration(left) * time.Millisecond)
	if !ok || requested.Before(due) {
		return requested, true
	}
	return due, true
}

// maxDeadlineMs is the largest accepted value of deadlineHeader: one day.
const maxDeadlineMs = 24 * 60 * 60 * 1000

// requestContext is the context of an exchange in the forward stage. Its deadline can be
// removed when the response begins.
type requestContext struct {
	context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer // nil without a deadline
}

// newRequestContext returns the context of the exchange. A protected request continues
// after its caller disconnects, so that a later duplicate gets the response.
func newRequestContext(x *Exchange) *requestContext {
	parent := x.Request.Context()
	if x.Route.Protected {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithCancelCause(parent)
	c := &requestContext{Context: ctx, cancel: cancel}
	due, ok := x.Deadline()
	switch left := time.Until(due); {
	case ok && left <= 0:
		cancel(errDeadline) // already passed: nothing must be sent
	case ok:
		c.timer = time.AfterFunc(left, func() { cancel(errDeadline) })
	}
	return c
}

// removeDeadline stops the timer that cancels the context.
func (c *requestContext) removeDeadline() {
	if c.timer != nil {
		c.timer.Stop()
	}
}

func (c *requestContext) end() {
	c.removeDeadline()
	c.cancel(context.Canceled)
}

// setDeadline sets the header that tells the backend server how much time is left.
func setDeadline(header http.Header, x *Exchange) {
	header.Del(deadlineHeader)
	if due, ok := x.Deadline(); ok {
		left := max(time.Until(due)-responseAllowance, time.Millisecond)
		header.Set(deadlineHeader, strconv.FormatInt(left.Milliseconds(), 10))
	}
}
