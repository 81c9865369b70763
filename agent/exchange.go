package agent

import (
	"context"
	"time"

	"lacewingmount.dev/membership"
	"lacewingmount.dev/wire"
)

// exchangeWithPeers performs the epidemic exchange until ctx ends.
func (a *Agent) exchangeWithPeers(ctx context.Context) {
	ticker := time.NewTicker(membership.Period)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, probe := range a.peers.round() {
			go a.exchangeWith(ctx, probe)
		}
		if a.peers.changed() {
			a.membersChanged()
		}
		a.peers.closeIdle()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// exchangeWith performs one exchange.
func (a *Agent) exchangeWith(ctx context.Context, probe membership.Probe) {
	ctx, cancel := context.WithTimeout(ctx, membership.ExchangeTimeout)
	defer cancel()
	var answer wire.Exchange
	err := a.peers.client(probe.To).Call(ctx, wire.MethodExchange, wire.Exchange{Members: probe.Message}, &answer)
	if err != nil {
		a.peers.missed(probe)
		return
	}
	a.peers.answered(probe, answer.Members)
}

// exchange answers wire.MethodExchange.
func (a *Agent) exchange(_ context.Context, question wire.Exchange) (wire.Exchange, error) {
	return wire.Exchange{Members: a.peers.receive(question.Members)}, nil
}
