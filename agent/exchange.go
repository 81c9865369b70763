package agent

import (
	"context"
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/wire"
)

// exchangeWithPeers performs the epidemic exchange until ctx ends.
func (a *Agent) exchangeWithPeers(ctx context.Context) {
	ticker := time.NewTicker(membership.ExchangeInterval)
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
	limited, cancel := context.WithTimeout(ctx, membership.ExchangeTimeout)
	defer cancel()
	sent := a.now()
	question := wire.Exchange{Members: probe.Message, Config: a.digest()}
	var answer wire.Exchange
	if err := a.peers.client(probe.To).Call(limited, wire.MethodExchange, question, &answer); err != nil {
		a.peers.missed(probe)
		return
	}
	a.peers.answered(probe, answer.Members)
	a.pull(ctx, probe.To, answer.Config)
	a.syncWithdrawals(ctx, probe.To, answer.Config)
	a.learnDigest(sent, answer.Members.From.Name, answer.Config)
}

// exchange answers wire.MethodExchange. Nothing but news is believed of the
// question's configuration: it may have been on its way for long.
func (a *Agent) exchange(_ context.Context, question wire.Exchange) (wire.Exchange, error) {
	answer := wire.Exchange{Members: a.peers.receive(question.Members), Config: a.digest()}
	if question.Config.Revision > answer.Config.Revision {
		from := question.Members.From
		go a.pull(a.background, membership.Member{Name: from.Name, Address: from.Address}, question.Config)
	}
	return answer, nil
}

// digest sums up this VM's configuration for an exchange.
func (a *Agent) digest() wire.ConfigDigest {
	digest := a.state.digest()
	if age := a.storeAge(); age < long {
		digest.StoreAge = age.Milliseconds() + 1
	}
	return digest
}

const (
	pullTimeout = 2 * time.Second
	chunkBatch  = 8 // chunks in one call
)

// pull fetches the document of a peer that has a newer one. One pull runs at a time.
func (a *Agent) pull(ctx context.Context, from membership.Member, digest wire.ConfigDigest) {
	document, _ := a.state.held()
	if document != nil && document.Revision >= digest.Revision || digest.Revision == 0 || !a.pulling.TryLock() {
		return
	}
	defer a.pulling.Unlock()
	client := a.peers.client(a.peers.routed(from))
	call := func(ctx context.Context, method string, question, answer any) error {
		ctx, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		return client.Call(ctx, method, question, answer)
	}
	var stored config.Stored
	if err := call(ctx, wire.MethodDocument, wire.DocumentRequest{}, &stored); err != nil {
		return // another exchange tries again
	}
	fetch := func(ctx context.Context, hashes []string) (map[string][]byte, error) {
		chunks := map[string][]byte{}
		for start := 0; start < len(hashes); start += chunkBatch {
			batch := hashes[start:min(start+chunkBatch, len(hashes))]
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
	_ = a.adopt(ctx, stored.Root, fetch, from.Name) // a refusal is recorded there
}

// document answers wire.MethodDocument.
func (a *Agent) document(context.Context, wire.DocumentRequest) (config.Stored, error) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	return config.Stored{Root: a.state.stored.Root}, nil
}

// chunks answers wire.MethodChunks.
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
