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

const inheritTimeout = 3 * time.Second

// bequeath hands the rights of this VM, which leaves, to one other agent. There
// is no second try after a call that may have arrived: the rights must not get
// two heirs. Rights without an heir are reclaimed once the store is back.
func (s *shares) bequeath(ctx context.Context) {
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
		callCtx, cancel := context.WithTimeout(ctx, inheritTimeout)
		err := s.lending.peers.client(member).Call(callCtx, wire.MethodInherit, wire.Inheritance{Rights: rights}, nil)
		cancel()
		if errs.KindOf(err) == errs.Unavailable {
			continue // certainly not taken
		}
		s.log.Info("shares left to another VM", zap.String("heir", member.Name), zap.Error(err))
		return
	}
}

// inherit answers wire.MethodInherit.
func (s *shares) inherit(_ context.Context, inheritance wire.Inheritance) (wire.InheritanceTaken, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return wire.InheritanceTaken{}, errs.New(errs.Unavailable, "this VM leaves as well", "ask another VM")
	}
	s.inherited = append(s.inherited, inheritance.Rights...)
	s.lending.mu.Lock()
	s.lending.lender.Inherit(inheritance.Rights)
	s.lending.mu.Unlock()
	for _, right := range inheritance.Rights {
		s.log.Info("shares inherited", zap.String("from", right.Holder.Name), zap.Int("shares", right.Shares))
		s.events.Add(timeline.Event{Kind: timeline.KindSharesHeld, Reason: "inherited from " + right.Holder.Name})
	}
	return wire.InheritanceTaken{}, nil
}

// transfer moves inherited shares to this VM in the ledger.
func (s *shares) transfer(ledger *limit.Ledger) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, right := range s.inherited {
		next, moved := ledger.Transfer(right.Holder, s.lending.self)
		*ledger, changed = next, changed || moved
	}
	return changed
}

// stillInherited returns the inherited rights that the ledger still shows with
// their former holder, and forgets the others.
func (s *shares) stillInherited(ledger limit.Ledger) []limit.Lend {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []limit.Lend
	for _, right := range s.inherited {
		if held, ok := ledger.Of(right.Holder.Name); ok && held.Holder == right.Holder {
			kept = append(kept, right)
		}
	}
	s.inherited = kept
	return kept
}
