package entry

import (
	"context"
	"time"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/wire"
)

const (
	claimTryTimeout  = time.Second // for one call to the agent
	claimRetry       = 50 * time.Millisecond
	claimUnavailable = 500 * time.Millisecond // in which an agent that is gone or refuses is tried again
	settleRetry      = 200 * time.Millisecond
	settleTimeout    = 10 * time.Second
)

// AgentClaimer claims through the VM's agent.
type AgentClaimer struct {
	agent *wire.Client
}

// NewAgentClaimer returns a Claimer that calls the agent.
func NewAgentClaimer(agent *wire.Client) *AgentClaimer { return &AgentClaimer{agent: agent} }

// Claim implements Claimer. A call whose answer was lost is repeated: the
// attempt in the request makes it the same claim. When it fails for good and may
// be recorded, it is given up in the background, so that it does not block its key.
func (c *AgentClaimer) Claim(ctx context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error) {
	started, inDoubt := time.Now(), false
	for {
		answer, err := c.try(ctx, request)
		if err == nil {
			return answer, nil
		}
		kind := errs.KindOf(err)
		inDoubt = inDoubt || kind != errs.Unavailable
		over := kind == errs.Unavailable && time.Since(started) > claimUnavailable
		if over || kind == errs.Invalid || !daemon.Sleep(ctx, claimRetry) {
			if inDoubt {
				go c.giveUp(request)
			}
			return wire.ClaimAnswer{}, err
		}
	}
}

func (c *AgentClaimer) try(ctx context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTryTimeout)
	defer cancel()
	var answer wire.ClaimAnswer
	err := c.agent.Call(ctx, wire.MethodClaim, request, &answer)
	return answer, err
}

func (c *AgentClaimer) giveUp(request wire.ClaimRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	_ = c.Settle(ctx, wire.SettleRequest{Claim: request, NotRun: true}) // without it, duplicates are told that the end is unknown
}

// Settle implements Claimer. It may be repeated, so a call that failed is.
func (c *AgentClaimer) Settle(ctx context.Context, request wire.SettleRequest) error {
	for {
		err := c.agent.Call(ctx, wire.MethodSettle, request, nil)
		if err == nil || errs.KindOf(err) == errs.Invalid || !daemon.Sleep(ctx, settleRetry) {
			return err
		}
	}
}
