package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/once"
	"lacewingmount.dev/wire"
)

const (
	idempotencyHeader     = "Idempotency-Key"
	maxProtectedBodyBytes = 256 << 10 // a protected request is read whole before it is claimed
	claimTimeout          = 2 * time.Second
	pendingWait           = time.Second // of a duplicate for the answer to the copy before
	pendingPoll           = 100 * time.Millisecond
)

// Claimer grants protected requests, each at most once across the fleet.
type Claimer interface {
	// Claim fails with kind Unavailable if nothing was granted; any other error
	// leaves it unknown, and the request must not be sent.
	Claim(ctx context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error)
	// Settle records how a granted request ended.
	Settle(ctx context.Context, request wire.SettleRequest) error
}

// claimStage lets a protected request through at most once.
type claimStage struct {
	claimer Claimer
}

func (claimStage) Name() string { return "claim" }

func (s claimStage) Serve(x *Exchange) *Refusal {
	if !x.Route.Protected {
		return nil
	}
	request, refusal := newClaim(x)
	if refusal != nil {
		return refusal
	}
	ctx, cancel := claimContext(x)
	defer cancel()
	answer, err := s.claim(ctx, request)
	if err != nil {
		return notRun(http.StatusServiceUnavailable, ReasonClaim, "the request could not be claimed; try again with the same key").after(time.Second)
	}
	return s.decide(x, request, answer)
}

// claim asks for the claim. While an earlier copy of the request runs, it waits a
// moment for the answer to that.
func (s claimStage) claim(ctx context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error) {
	answer, err := s.claimer.Claim(ctx, request)
	for until := time.Now().Add(pendingWait); err == nil && answer.State == wire.ClaimPending; {
		if time.Now().After(until) || !daemon.Sleep(ctx, pendingPoll) {
			break
		}
		next, nextErr := s.claimer.Claim(ctx, request)
		if nextErr != nil {
			break // what was known before is still true
		}
		answer = next
	}
	return answer, err
}

// claimContext ends with the caller's deadline, or before.
func claimContext(x *Exchange) (context.Context, context.CancelFunc) {
	latest := time.Now().Add(claimTimeout)
	if due, ok := x.Deadline(); ok && due.Before(latest) {
		latest = due
	}
	return context.WithDeadline(x.Request.Context(), latest)
}

// decide maps the claim's state to an answer.
func (s claimStage) decide(x *Exchange, request wire.ClaimRequest, answer wire.ClaimAnswer) *Refusal {
	switch answer.State {
	case wire.ClaimGranted:
		x.Claim = &request
		return nil
	case wire.ClaimAnswered:
		if answer.Kept != nil {
			return replay(answer.Kept)
		}
		return unknown(http.StatusConflict, ReasonDuplicate, "the request was answered before; its answer was not kept")
	case wire.ClaimMismatch:
		return notRun(http.StatusUnprocessableEntity, ReasonDuplicate, "the "+idempotencyHeader+" was used with another request")
	case wire.ClaimTooEarly:
		return notRun(http.StatusBadRequest, ReasonKeyAge, "the timestamp of the "+idempotencyHeader+" is ahead of time; set the clock and use a new key")
	case wire.ClaimTooOld:
		return unknown(http.StatusConflict, ReasonKeyAge, "the "+idempotencyHeader+" is too old; whether an earlier copy ran is no longer known, and this one was not sent")
	default:
		return unknown(http.StatusConflict, ReasonDuplicate, "the request was sent before and its end is not known yet; try again with the same key").after(time.Second)
	}
}

func newClaim(x *Exchange) (wire.ClaimRequest, *Refusal) {
	keys := x.Request.Header.Values(idempotencyHeader)
	if len(keys) != 1 {
		return wire.ClaimRequest{}, notRun(http.StatusBadRequest, ReasonMalformed, "send exactly one "+idempotencyHeader)
	}
	if _, err := once.ParseKey(keys[0]); err != nil {
		return wire.ClaimRequest{}, notRun(http.StatusBadRequest, ReasonMalformed, idempotencyHeader+": "+err.Error())
	}
	body, refusal := readProtectedBody(x)
	if refusal != nil {
		return wire.ClaimRequest{}, refusal
	}
	x.Body = body
	return wire.ClaimRequest{
		Account: x.Account.Name, Route: x.Route.Path, Key: keys[0],
		Digest: digest(x.Request, body), Attempt: x.RequestID,
	}, nil
}

// readProtectedBody reads the body whole and checks its digest.
func readProtectedBody(x *Exchange) ([]byte, *Refusal) {
	x.Request.Body = http.MaxBytesReader(x.Writer, x.Request.Body, maxProtectedBodyBytes)
	body, err := newCallerBody(x, callerProgress)
	if err != nil {
		return nil, notRun(http.StatusBadRequest, ReasonMalformed, err.Error())
	}
	if body == nil {
		return []byte{}, nil
	}
	defer body.stop()
	content, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, notRun(http.StatusRequestEntityTooLarge, ReasonMalformed, "the body is larger than 256 KiB")
	}
	if err != nil {
		return nil, callerFault(err, false)
	}
	return content, nil
}

func digest(request *http.Request, body []byte) string {
	sum := sha256.New()
	_, _ = io.WriteString(sum, request.Method+" "+request.URL.RequestURI()+"\n")
	_, _ = sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil))
}

// replay answers a duplicate with the kept answer.
func replay(kept *wire.KeptAnswer) *Refusal {
	return &Refusal{Status: kept.Status, Outcome: OutcomeReplayed, Reason: ReasonDuplicate, kept: kept}
}
