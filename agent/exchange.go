package agent

import (
	"context"
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/wire"
)

// exchangeWithPeers performs the gossip exchanges until ctx ends.
func (a *Agent) exchangeWithPeers(ctx context.Context) {
	ticker := time.NewTicker(membership.ExchangeInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, probe := range a.peers.round() {
			go a.exchangeWith(ctx, probe)
		}
		if a.peers.servingChanged() {
			a.membersChanged()
		}
		a.peers.closeIdle()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// exchangeWith performs one gossip exchange with a peer and fetches the configuration
// and withdrawals that only the peer has.
func (a *Agent) exchangeWith(ctx context.Context, probe membership.Probe) {
	callCtx, cancel := context.WithTimeout(ctx, membership.ExchangeTimeout)
	defer cancel()
	sent := a.now()
	request := wire.Exchange{Members: probe.Message, Config: a.digest()}
	var answer wire.Exchange
	if err := a.peers.client(probe.To).Call(callCtx, wire.MethodExchange, request, &answer); err != nil {
		a.peers.missed(probe)
		return
	}
	a.peers.answered(probe, answer.Members)
	a.pullDocument(ctx, probe.To, answer.Config)
	a.syncWithdrawals(ctx, probe.To, answer.Config)
	a.handleDigest(sent, answer.Members.From.Name, answer.Config)
}

// exchange handles wire.MethodExchange. The configuration digest of the request is
// used only to detect a newer revision, because the request may have been delayed in
// the network.
func (a *Agent) exchange(_ context.Context, request wire.Exchange) (wire.Exchange, error) {
	answer := wire.Exchange{Members: a.peers.receive(request.Members), Config: a.digest()}
	if request.Config.Revision > answer.Config.Revision {
		from := request.Members.From
		go a.pullDocument(a.background, membership.Member{Name: from.Name, Address: from.Address}, request.Config)
	}
	return answer, nil
}

// digest summarizes this VM's configuration for an exchange.
func (a *Agent) digest() wire.ConfigDigest {
	digest := a.state.digest()
	if age := a.storeAge(); age < infiniteAge {
		digest.StoreAge = age.Milliseconds() + 1
	}
	return digest
}

const (
	pullTimeout    = 2 * time.Second
	chunkBatchSize = 8 // chunks per call
)

// pullDocument fetches and adopts a peer's document if it is newer. Only one pull runs
// at a time.
func (a *Agent) pullDocument(ctx context.Context, from membership.Member, digest wire.ConfigDigest) {
	document, _ := a.state.configuration()
	if document != nil && document.Revision >= digest.Revision || digest.Revision == 0 || !a.pulling.TryLock() {
		return
	}
	defer a.pulling.Unlock()
	client := a.peers.client(a.peers.overrideAddress(from))
	call := func(ctx context.Context, method string, request, answer any) error {
		ctx, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		return client.Call(ctx, method, request, answer)
	}
	var stored config.Stored
	if err := call(ctx, wire.MethodDocument, wire.DocumentRequest{}, &stored); err != nil {
		return // the next exchange tries again
	}
	fetch := func(ctx context.Context, hashes []string) (map[string][]byte, error) {
		chunks := map[string][]byte{}
		for start := 0; start < len(hashes); start += chunkBatchSize {
			batch := hashes[start:min(start+chunkBatchSize, len(hashes))]
			var answer wire.ChunksAnswer
			if err := call(ctx, wire.MethodChunks, wire.ChunksRequest{Hashes: batch}, &answer); err != nil {
				return nil, err
			}
			for hash, chunk := range answer.Chunks {
				chunks[hash] = chunk
			}
		}
		return chunks, nil
	}
	_ = a.adopt(ctx, stored.Root, fetch, from.Name) // adopt records a rejection
}

// document handles wire.MethodDocument.
func (a *Agent) document(context.Context, wire.DocumentRequest) (config.Stored, error) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	return config.Stored{Root: a.state.stored.Root}, nil
}

// chunks handles wire.MethodChunks.
func (a *Agent) chunks(_ context.Context, request wire.ChunksRequest) (wire.ChunksAnswer, error) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	answer := wire.ChunksAnswer{Chunks: map[string][]byte{}}
	for _, hash := range request.Hashes {
		if chunk, ok := a.state.stored.Chunks[hash]; ok {
			answer.Chunks[hash] = chunk
		}
	}
	return answer, nil
}
