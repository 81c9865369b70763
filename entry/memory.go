package entry

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/daemon/memory"
)

// uploadBytes is what a body that is streamed to a backend server holds: the blocks of the
// copy and the buffers of both connections.
const uploadBytes = 64 << 10

// memoryRetryAfter is for callers that find no memory. A stalled body is ended within moments.
const memoryRetryAfter = time.Second

// errNoMemory ends a body or a response that has to give way to others; see daemon.Budget.
var errNoMemory = errors.New("ended for its use of memory")

// memoryStage opens the account of what a request holds, and refuses a request whose body
// is announced to be larger than it may be.
type memoryStage struct {
	budget *daemon.Budget
}

func (memoryStage) Name() string { return "memory" }

func (s memoryStage) Serve(x *Exchange) *Refusal {
	if x.Route.Protected && x.Request.ContentLength > maxProtectedBodyBytes {
		return refuseTooLarge()
	}
	control := http.NewResponseController(x.Writer)
	hold, err := s.budget.Open(x.AccountName(), func(phase memory.Phase) {
		past := time.Unix(1, 0)
		if phase == memory.Delivering {
			_ = control.SetWriteDeadline(past) // fails only on a closed connection
			return
		}
		_ = control.SetReadDeadline(past)
	})
	if err != nil {
		return refuseNoMemory()
	}
	x.hold = hold
	if x.Request.ContentLength == 0 || x.Request.Body == nil {
		return nil
	}
	expected := int64(uploadBytes)
	if x.Route.Protected {
		expected = max(x.Request.ContentLength, 0)
	}
	if hold.Announce(expected) != nil {
		return refuseNoMemory()
	}
	return nil
}

func refuseTooLarge() *Refusal {
	return refuseNotRun(http.StatusRequestEntityTooLarge, ReasonMalformed, "the body is larger than 256 KiB")
}

func refuseNoMemory() *Refusal {
	return refuseNotRun(http.StatusServiceUnavailable, ReasonMemory, "this VM has no memory for the request; try again").retryAfter(memoryRetryAfter)
}
