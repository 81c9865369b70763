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

// Outcome says what the caller may conclude about its request.
type Outcome string

// OutcomeHeader carries the Outcome on every answer of the entry's own.
const OutcomeHeader = "Lacewing-Outcome"

// Outcomes.
const (
	// OutcomeNotRun means that no backend server ran the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that a backend server may have run the request.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeReplayed marks a kept answer to an earlier run of the request.
	OutcomeReplayed Outcome = "replayed"
)

// Reason is a class of refusals; it appears in metrics and the time line.
type Reason string

// Reasons.
const (
	ReasonMalformed    Reason = "malformed"
	ReasonNoRoute      Reason = "no-route"
	ReasonMethod       Reason = "method"
	ReasonKey          Reason = "key"
	ReasonRate         Reason = "rate"
	ReasonRateUnknown  Reason = "rate-unknown"
	ReasonBusy         Reason = "busy"
	ReasonDuplicate    Reason = "duplicate"
	ReasonKeyAge       Reason = "key-age"
	ReasonClaim        Reason = "claim-unavailable"
	ReasonNoServer     Reason = "no-server"
	ReasonServerFailed Reason = "server-failed"
	ReasonTimeout      Reason = "timeout"
	ReasonNotReady     Reason = "not-ready"
	ReasonAuthority    Reason = "no-key-authority"
)

// Refusal is an answer of the entry's own in place of the backend server's.
type Refusal struct {
	Status     int
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration    // 0 for none
	kept       *wire.KeptAnswer // the body to send instead of a problem
}

// problem is the RFC 9457 body of a refusal.
type problem struct {
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Reason  Reason  `json:"reason"`
	Outcome Outcome `json:"outcome"`
}

func notRun(status int, reason Reason, detail string) *Refusal {
	return &Refusal{Status: status, Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

func unknown(status int, reason Reason, detail string) *Refusal {
	return &Refusal{Status: status, Outcome: OutcomeUnknown, Reason: reason, Detail: detail}
}

func (r *Refusal) after(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return r
}

// write sends the refusal to the caller.
func (r *Refusal) write(w http.ResponseWriter) {
	header := w.Header()
	if r.kept != nil {
		maps.Copy(header, r.kept.Header)
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
	if r.kept != nil {
		return "", r.kept.Body
	}
	body, err := json.Marshal(problem{
		Title: http.StatusText(r.Status), Status: r.Status, Detail: r.Detail, Reason: r.Reason, Outcome: r.Outcome,
	})
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return "application/problem+json", body
}
