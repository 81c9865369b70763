package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/limit"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

const transferTimeout = 3 * time.Second

// handOver gives the rights of this VM, which leaves, to one other agent. There
// is no second try after a call that may have arrived: the rights must not get
// two holders. Rights without a successor are reclaimed once the store is back.
func (s *shares) handOver(ctx context.Context) {
	s.lending.mu.Lock()
	rights := s.lending.lender.Rights()
	free := !s.lending.now().Before(s.lending.lender.FreeAt())
	s.lending.mu.Unlock()
	if len(rights) == 0 || !free {
		return
	}
	members := s.lending.peers.inService()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, member := range members {
		if member.Name == s.lending.self.Name {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, transferTimeout)
		err := s.lending.peers.client(member).Call(callCtx, wire.MethodTransfer, wire.ShareTransfer{Rights: rights}, nil)
		cancel()
		if errs.KindOf(err) == errs.Unavailable {
			continue // certainly not taken
		}
		s.log.Info("shares left to another VM", zap.String("successor", member.Name), zap.Error(err))
		return
	}
}

// receive answers wire.MethodTransfer.
func (s *shares) receive(_ context.Context, transferred wire.ShareTransfer) (wire.ShareTransferTaken, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return wire.ShareTransferTaken{}, errs.New(errs.Unavailable, "this VM leaves as well", "ask another VM")
	}
	s.received = append(s.received, transferred.Rights...)
	s.lending.mu.Lock()
	s.lending.lender.AddShares(transferred.Rights)
	s.lending.mu.Unlock()
	for _, right := range transferred.Rights {
		s.log.Info("shares received", zap.String("from", right.Holder.Name), zap.Int("shares", right.Shares))
		s.events.Add(timeline.Event{Kind: timeline.KindSharesChanged, Reason: "received from " + right.Holder.Name})
	}
	return wire.ShareTransferTaken{}, nil
}

// recordReceived moves received shares to this VM in the ledger.
func (s *shares) recordReceived(ledger *limit.Ledger) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, right := range s.received {
		next, moved := ledger.Transfer(right.Holder, s.lending.self)
		*ledger, changed = next, changed || moved
	}
	return changed
}

// stillReceived returns the received rights that the ledger still shows with
// their former holder, and forgets the others.
func (s *shares) stillReceived(ledger limit.Ledger) []limit.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []limit.Lease
	for _, right := range s.received {
		if held, ok := ledger.HoldingOf(right.Holder.Name); ok && held.Holder == right.Holder {
			kept = append(kept, right)
		}
	}
	s.received = kept
	return kept
}
