package entry

import (
	"encoding/json"
	"maps"
	"math"
	"net/http"
	"strconv"
	"time"

	"lacewingmount.dev/wire"
)

// Outcome tells the caller whether its request was run.
type Outcome string

// OutcomeHeader is the response header that contains the Outcome. It is set on every
// response that the entry itself generates.
const OutcomeHeader = "Lacewing-Outcome"

// Outcomes.
const (
	// OutcomeNotRun means that no backend server ran the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that a backend server may have run the request.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeReplayed marks the stored response to an earlier copy of the request.
	OutcomeReplayed Outcome = "replayed"
)

// Reason is the class of a refusal in metrics, in the timeline and in the response body.
type Reason string

// Reasons.
const (
	ReasonMemory       Reason = "memory"            // the VM has no memory for the request
	ReasonMalformed    Reason = "malformed"         // the path, a header or the body is invalid
	ReasonNoRoute      Reason = "no-route"          // no route matches the path
	ReasonMethod       Reason = "method"            // not allowed on the route
	ReasonKey          Reason = "key"               // missing, unknown, withdrawn or without access to the route
	ReasonRate         Reason = "rate"              // the account exceeds its rate and burst
	ReasonRateUnknown  Reason = "rate-unknown"      // the owner of the account cannot be reached
	ReasonBusy         Reason = "busy"              // no slot of the service is free in time
	ReasonDuplicate    Reason = "duplicate"         // the idempotency key was used before
	ReasonKeyAge       Reason = "key-age"           // the timestamp of the idempotency key is too old or in the future
	ReasonClaim        Reason = "claim-unavailable" // the claim of a protected request failed
	ReasonNoServer     Reason = "no-server"         // no backend server is available
	ReasonServerFailed Reason = "server-failed"     // no valid complete response from a backend server
	ReasonTimeout      Reason = "timeout"           // no complete response before the deadline
	ReasonNotReady     Reason = "not-ready"         // the VM has no configuration yet
	ReasonStopping     Reason = "stopping"          // the VM is about to end
	ReasonAuthority    Reason = "no-key-authority"  // the VM cannot check whether keys were withdrawn
)

// Refusal is a response that the entry generates itself instead of forwarding one from
// a backend server.
type Refusal struct {
	Status     int
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration    // 0 to omit the Retry-After header
	replayed   *wire.KeptAnswer // stored response to send instead of a problem body
}

// problem is the body of a refusal, as defined by RFC 9457.
type problem struct {
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Reason  Reason  `json:"reason"`
	Outcome Outcome `json:"outcome"`
}

func refuseNotRun(status int, reason Reason, detail string) *Refusal {
	return &Refusal{Status: status, Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

func refuseUnknown(status int, reason Reason, detail string) *Refusal {
	return &Refusal{Status: status, Outcome: OutcomeUnknown, Reason: reason, Detail: detail}
}

func (r *Refusal) retryAfter(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return r
}

// write sends the refusal as the response.
func (r *Refusal) write(w http.ResponseWriter) {
	header := w.Header()
	if r.replayed != nil {
		maps.Copy(header, r.replayed.Header)
	}
	header.Set(OutcomeHeader, string(r.Outcome))
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	contentType, body := r.content()
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}

func (r *Refusal) content() (contentType string, body []byte) {
	if r.replayed != nil {
		return "", r.replayed.Body
	}
	body, err := json.Marshal(problem{
		Title: http.StatusText(r.Status), Status: r.Status, Detail: r.Detail, Reason: r.Reason, Outcome: r.Outcome,
	})
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return "application/problem+json", body
}
