package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// deadlineHeader tells the milliseconds that are left, on requests from
	// callers and to backend servers.
	deadlineHeader  = "X-Deadline-Ms"
	returnAllowance = 5 * time.Millisecond // kept back for the way of the answer
)

// Causes that end an attempt; context.Cause tells them apart.
var (
	errDeadline = errors.New("the deadline passed")
	errOutpaced = errors.New("another attempt answered first")
	errStalled  = errors.New("the backend server made no progress")
)

// Deadline returns when the caller's answer is due: by the route, or earlier if
// the caller says so. ok is false for an upload without a deadline.
func (x *Exchange) Deadline() (due time.Time, ok bool) {
	if !x.Route.Upload {
		due, ok = x.Started.Add(x.Route.Timeout), true
	}
	left, err := strconv.Atoi(x.Request.Header.Get(deadlineHeader))
	if err != nil || left <= 0 || left > maxDeadlineMs {
		return due, ok
	}
	asked := x.Started.Add(time.Duration(left) * time.Millisecond)
	if !ok || asked.Before(due) {
		return asked, true
	}
	return due, true
}

const maxDeadlineMs = 24 * 60 * 60 * 1000

// work is the context in which an exchange is served. Its deadline can be
// lifted once the answer has begun.
type work struct {
	context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer // nil without a deadline
}

// newWork returns the context of the exchange. A protected request goes on when
// its caller leaves, so that a later duplicate gets the answer.
func newWork(x *Exchange) *work {
	parent := x.Request.Context()
	if x.Route.Protected {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithCancelCause(parent)
	w := &work{Context: ctx, cancel: cancel}
	due, ok := x.Deadline()
	switch left := time.Until(due); {
	case ok && left <= 0:
		cancel(errDeadline) // at once, so that nothing is sent
	case ok:
		w.timer = time.AfterFunc(left, func() { cancel(errDeadline) })
	}
	return w
}

// lift removes the deadline.
func (w *work) lift() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *work) end() {
	w.lift()
	w.cancel(context.Canceled)
}

// setDeadline tells the backend server how long it has.
func setDeadline(header http.Header, x *Exchange) {
	header.Del(deadlineHeader)
	if due, ok := x.Deadline(); ok {
		left := max(time.Until(due)-returnAllowance, time.Millisecond)
		header.Set(deadlineHeader, strconv.FormatInt(left.Milliseconds(), 10))
	}
}
