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
	"lacewingmount.dev/daemon/memory"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/once"
	"lacewingmount.dev/wire"
)

const (
	idempotencyHeader     = "Idempotency-Key"
	maxProtectedBodyBytes = 256 << 10 // the complete body is read before the request is claimed
	claimTimeout          = 2 * time.Second
	pendingWait           = time.Second // for a duplicate to wait for the response to the earlier copy
	pendingPollPeriod     = 100 * time.Millisecond
)

// Claimer grants claims for protected requests: each request at most once across the fleet.
type Claimer interface {
	// Claim returns the state of the claim; the request may only be sent if it is
	// granted. An error of kind errs.Unavailable means that nothing was recorded; after
	// any other error the claim may have been recorded.
	Claim(ctx context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error)
	// Settle records the result of a granted request.
	Settle(ctx context.Context, request wire.SettleRequest) error
}

// claimStage claims each protected request, so that it is sent at most once.
type claimStage struct {
	claimer Claimer
	settler *settler
}

func (claimStage) Name() string { return "claim" }

func (s claimStage) Serve(x *Exchange) *Refusal {
	if !x.Route.Protected {
		return nil
	}
	request, refusal := newClaimRequest(x)
	if refusal != nil {
		return refusal
	}
	ctx, cancel := claimContext(x)
	defer cancel()
	reply, err := s.claim(ctx, request)
	if err != nil {
		return refuseNotRun(http.StatusServiceUnavailable, ReasonClaim, "the request could not be claimed; try again with the same key").retryAfter(time.Second)
	}
	return s.handleState(x, request, reply)
}

// claim claims the request. While an earlier copy of the request is pending, it polls
// up to pendingWait for the response to that copy.
func (s claimStage) claim(ctx context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error) {
	reply, err := s.claimOnce(ctx, request)
	for until := time.Now().Add(pendingWait); err == nil && reply.State == wire.ClaimPending; {
		if time.Now().After(until) || !daemon.Sleep(ctx, pendingPollPeriod) {
			break
		}
		next, nextErr := s.claimOnce(ctx, request)
		if nextErr != nil {
			break // the previous result is still valid
		}
		reply = next
	}
	return reply, err
}

// claimOnce claims the request. If that fails and the claim may have been recorded, it
// releases the claim in the background, so that the key can be used again.
func (s claimStage) claimOnce(ctx context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error) {
	reply, err := s.claimer.Claim(ctx, request)
	if err != nil && errs.KindOf(err) != errs.Unavailable {
		s.settler.start(wire.SettleRequest{Claim: request, NotRun: true})
	}
	return reply, err
}

// claimContext returns a context with the deadline of the exchange or claimTimeout,
// whichever is earlier.
func claimContext(x *Exchange) (context.Context, context.CancelFunc) {
	latest := time.Now().Add(claimTimeout)
	if due, ok := x.Deadline(); ok && due.Before(latest) {
		latest = due
	}
	return context.WithDeadline(x.Request.Context(), latest)
}

// handleState maps the state of the claim to a refusal, or nil if it is granted.
func (s claimStage) handleState(x *Exchange, request wire.ClaimRequest, reply wire.ClaimAnswer) *Refusal {
	switch reply.State {
	case wire.ClaimGranted:
		x.Claim = &request
		return nil
	case wire.ClaimAnswered:
		if reply.Kept != nil {
			return replayRefusal(reply.Kept)
		}
		return refuseUnknown(http.StatusConflict, ReasonDuplicate, "the request was answered before; its answer was not kept")
	case wire.ClaimMismatch:
		return refuseNotRun(http.StatusUnprocessableEntity, ReasonDuplicate, "the "+idempotencyHeader+" was used with another request")
	case wire.ClaimTooEarly:
		return refuseNotRun(http.StatusBadRequest, ReasonKeyAge, "the timestamp of the "+idempotencyHeader+" is ahead of time; set the clock and use a new key")
	case wire.ClaimTooOld:
		return refuseUnknown(http.StatusConflict, ReasonKeyAge, "the "+idempotencyHeader+" is too old; whether an earlier copy ran is no longer known, and this one was not sent")
	default:
		return refuseUnknown(http.StatusConflict, ReasonDuplicate, "the request was sent before and its end is not known yet; try again with the same key").retryAfter(time.Second)
	}
}

func newClaimRequest(x *Exchange) (wire.ClaimRequest, *Refusal) {
	keys := x.Request.Header.Values(idempotencyHeader)
	if len(keys) != 1 {
		return wire.ClaimRequest{}, refuseNotRun(http.StatusBadRequest, ReasonMalformed, "send exactly one "+idempotencyHeader)
	}
	if _, err := once.ParseKey(keys[0]); err != nil {
		return wire.ClaimRequest{}, refuseNotRun(http.StatusBadRequest, ReasonMalformed, idempotencyHeader+": "+err.Error())
	}
	body, refusal := readProtectedBody(x)
	if refusal != nil {
		return wire.ClaimRequest{}, refusal
	}
	x.Body = body
	return wire.ClaimRequest{
		Account: x.Account.Name, Route: x.Route.Path, Key: keys[0],
		Digest: requestDigest(x.Request, body), Attempt: x.RequestID,
	}, nil
}

// readProtectedBody reads the complete body and verifies its Content-Digest.
func readProtectedBody(x *Exchange) ([]byte, *Refusal) {
	x.Request.Body = http.MaxBytesReader(x.Writer, x.Request.Body, maxProtectedBodyBytes)
	body, err := newCallerBody(x, callerStallTimeout)
	if err != nil {
		return nil, refuseNotRun(http.StatusBadRequest, ReasonMalformed, err.Error())
	}
	if body == nil {
		return []byte{}, nil
	}
	defer body.stop()
	limit := maxProtectedBodyBytes
	if announced := x.Request.ContentLength; announced >= 0 {
		limit = int(min(announced, maxProtectedBodyBytes))
	}
	x.hold.SetPhase(memory.Arriving)
	content, err := x.hold.ReadWhole(x.Request.Context(), body, limit)
	if !x.hold.SetPhase(memory.Kept) || errors.As(err, new(daemon.Refused)) {
		return nil, refuseNoMemory()
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuseTooLarge()
	}
	if err != nil {
		return nil, callerBodyRefusal(err, false)
	}
	return content, nil
}

func requestDigest(request *http.Request, body []byte) string {
	sum := sha256.New()
	_, _ = io.WriteString(sum, request.Method+" "+request.URL.RequestURI()+"\n")
	_, _ = sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil))
}

// replayRefusal returns the stored response to a duplicate.
func replayRefusal(replayed *wire.KeptAnswer) *Refusal {
	return &Refusal{Status: replayed.Status, Outcome: OutcomeReplayed, Reason: ReasonDuplicate, replayed: replayed}
}
