package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/wire"
)

const (
	idempotencyHeader     = "Idempotency-Key"
	maxIdempotencyKey     = 64               // bytes
	maxProtectedBodyBytes = 256 << 10        // a protected request is read whole before it is claimed
	claimTimeout          = 2 * time.Second  // for one call to the agent
	settleTimeout         = 10 * time.Second // after the answer has gone to the caller
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
	ctx, cancel := context.WithTimeout(x.Request.Context(), claimTimeout)
	defer cancel()
	answer, err := s.claimer.Claim(ctx, request)
	if err != nil {
		return notRun(http.StatusServiceUnavailable, ReasonClaim, "the request could not be claimed; try again with the same key").after(time.Second)
	}
	return s.decide(x, request, answer)
}

// decide maps the claim's state to an answer.
func (s claimStage) decide(x *Exchange, request wire.ClaimRequest, answer wire.ClaimAnswer) *Refusal {
	switch answer.State {
	case wire.ClaimGranted:
		x.Claim = &request
		return nil
	case wire.ClaimAnswered:
		if answer.Kept != nil {
			return replay(x, answer.Kept)
		}
		return unknown(http.StatusConflict, ReasonDuplicate, "the request was answered before; its answer was not kept")
	case wire.ClaimMismatch:
		return notRun(http.StatusUnprocessableEntity, ReasonDuplicate, "the "+idempotencyHeader+" was used with another request")
	default:
		return unknown(http.StatusConflict, ReasonDuplicate, "the request was sent before and its end is not known yet")
	}
}

func newClaim(x *Exchange) (wire.ClaimRequest, *Refusal) {
	keys := x.Request.Header.Values(idempotencyHeader)
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxIdempotencyKey {
		return wire.ClaimRequest{}, notRun(http.StatusBadRequest, ReasonMalformed, "send exactly one "+idempotencyHeader+" of at most 64 bytes")
	}
	body, refusal := readProtectedBody(x)
	if refusal != nil {
		return wire.ClaimRequest{}, refusal
	}
	x.Body = body
	return wire.ClaimRequest{Account: x.Account.Name, Route: x.Route.Path, Key: keys[0], Digest: digest(x.Request, body)}, nil
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
func replay(x *Exchange, kept *wire.KeptAnswer) *Refusal {
	return &Refusal{Status: kept.Status, Outcome: OutcomeReplayed, Reason: ReasonDuplicate, kept: kept}
}

// AgentClaimer claims through the VM's agent.
type AgentClaimer struct {
	agent *wire.Client
}

// NewAgentClaimer returns a Claimer that calls the agent.
func NewAgentClaimer(agent *wire.Client) *AgentClaimer { return &AgentClaimer{agent: agent} }

// Claim implements Claimer.
func (c *AgentClaimer) Claim(ctx context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error) {
	var answer wire.ClaimAnswer
	err := c.agent.Call(ctx, wire.MethodClaim, request, &answer)
	return answer, err
}

// Settle implements Claimer. A call that was not performed is tried again.
func (c *AgentClaimer) Settle(ctx context.Context, request wire.SettleRequest) error {
	for {
		err := c.agent.Call(ctx, wire.MethodSettle, request, nil)
		if errs.KindOf(err) != errs.Unavailable || ctx.Err() != nil {
			return err
		}
		time.Sleep(settleRetry)
	}
}

const settleRetry = 200 * time.Millisecond
