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
// repeated claim by the attempt ID in the request. If Claim fails and the claim may have
// been recorded, the claim is released in the background, so that the key can be used
// again.
func (c *AgentClaimer) Claim(ctx context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error) {
	started, inDoubt := time.Now(), false
	for {
		reply, err := c.callClaim(ctx, request)
		if err == nil {
			return reply, nil
		}
		kind := errs.KindOf(err)
		inDoubt = inDoubt || kind != errs.Unavailable
		over := kind == errs.Unavailable && time.Since(started) > claimUnavailableLimit
		if over || kind == errs.Invalid || !daemon.Sleep(ctx, claimRetryDelay) {
			if inDoubt {
				go c.releaseClaim(request)
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

func (c *AgentClaimer) releaseClaim(request wire.ClaimRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	_ = c.Settle(ctx, wire.SettleRequest{Claim: request, NotRun: true}) // if it fails, duplicates get OutcomeUnknown
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
