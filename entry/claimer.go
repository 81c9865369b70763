package entry

import (
	"context"
	"time"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/wire"
)

const (
	claimCallTimeout      = time.Second // of one call to the agent
	claimRetryDelay       = 50 * time.Millisecond
	claimUnavailableLimit = 500 * time.Millisecond // total time of retries while the agent is unreachable or refuses
	settleRetryDelay      = 200 * time.Millisecond
	settleTimeout         = 10 * time.Second
)

// AgentClaimer is a Claimer that uses the agent of the VM.
type AgentClaimer struct {
	agent *wire.Client
}

// NewAgentClaimer returns a Claimer that calls the agent.
func NewAgentClaimer(agent *wire.Client) *AgentClaimer { return &AgentClaimer{agent: agent} }

// Claim implements Claimer. A call without a reply is repeated; the agent recognizes the
// repeated claim by the attempt ID in the request.
func (c *AgentClaimer) Claim(ctx context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error) {
	started := time.Now()
	var inDoubt error // of the last call that may have recorded the claim
	for {
		reply, err := c.callClaim(ctx, request)
		if err == nil {
			return reply, nil
		}
		kind := errs.KindOf(err)
		if kind != errs.Unavailable {
			inDoubt = err
		}
		over := kind == errs.Unavailable && time.Since(started) > claimUnavailableLimit
		if over || kind == errs.Invalid || !daemon.Sleep(ctx, claimRetryDelay) {
			if inDoubt != nil {
				return wire.ClaimAnswer{}, inDoubt
			}
			return wire.ClaimAnswer{}, err
		}
	}
}

func (c *AgentClaimer) callClaim(ctx context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	var reply wire.ClaimAnswer
	err := c.agent.Call(ctx, wire.MethodClaim, request, &reply)
	return reply, err
}

// Settle implements Claimer. The call is idempotent and is retried until it succeeds, is
// rejected as invalid, or ctx ends.
func (c *AgentClaimer) Settle(ctx context.Context, request wire.SettleRequest) error {
	for {
		err := c.agent.Call(ctx, wire.MethodSettle, request, nil)
		if err == nil || errs.KindOf(err) == errs.Invalid || !daemon.Sleep(ctx, settleRetryDelay) {
			return err
		}
	}
}
