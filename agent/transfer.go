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

// transferShares gives the shares of this leaving VM to one other agent. It does not
// retry after a call that may have arrived, because the shares must not have two
// holders. Shares that were not transferred are reclaimed when the store is available
// again.
func (s *shares) transferShares(ctx context.Context) {
	s.lending.mu.Lock()
	leases := s.lending.lender.HeldShares()
	free := !s.lending.now().Before(s.lending.lender.FreeAt())
	s.lending.mu.Unlock()
	if len(leases) == 0 || !free {
		return
	}
	members := s.lending.peers.inService()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, member := range members {
		if member.Name == s.lending.self.Name {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, transferTimeout)
		err := s.lending.peers.client(member).Call(callCtx, wire.MethodTransfer, wire.ShareTransfer{HeldShares: leases}, nil)
		cancel()
		if errs.KindOf(err) == errs.Unavailable {
			continue // the other agent did not receive the shares
		}
		s.log.Info("shares transferred to another VM", zap.String("successor", member.Name), zap.Error(err))
		return
	}
}

// receive handles wire.MethodTransfer.
func (s *shares) receive(_ context.Context, transferred wire.ShareTransfer) (wire.ShareTransferAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return wire.ShareTransferAnswer{}, errs.New(errs.Unavailable, "this VM leaves as well", "ask another VM")
	}
	s.received = append(s.received, transferred.HeldShares...)
	s.lending.mu.Lock()
	s.lending.lender.AddShares(transferred.HeldShares)
	s.lending.mu.Unlock()
	for _, lease := range transferred.HeldShares {
		s.log.Info("shares received", zap.String("from", lease.Holder.Name), zap.Int("shares", lease.Shares))
		s.events.Add(timeline.Event{Kind: timeline.KindSharesChanged, Reason: "received from " + lease.Holder.Name})
	}
	return wire.ShareTransferAnswer{}, nil
}

// recordReceived moves the received shares to this VM in the ledger.
func (s *shares) recordReceived(ledger *limit.Ledger) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lease := range s.received {
		next, moved := ledger.Transfer(lease.Holder, s.lending.self)
		*ledger, changed = next, changed || moved
	}
	return changed
}

// pendingReceived returns the received shares that the ledger still assigns to their
// former holder, and drops the others.
func (s *shares) pendingReceived(ledger limit.Ledger) []limit.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	var pending []limit.Lease
	for _, lease := range s.received {
		if held, ok := ledger.HoldingOf(lease.Holder.Name); ok && held.Holder == lease.Holder {
			pending = append(pending, lease)
		}
	}
	s.received = pending
	return pending
}
