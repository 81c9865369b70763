package agent

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"lacewingmount.dev/config"
	"lacewingmount.dev/daemon"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/metastore"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// withdraw answers wire.MethodWithdraw. Each withdrawal carries the signature of
// the partner's operators, so it may come from anyone.
func (a *Agent) withdraw(_ context.Context, request wire.Withdrawals) (wire.Withdrawals, error) {
	if err := a.takeWithdrawals(request.Withdrawals); err != nil {
		return wire.Withdrawals{}, err
	}
	_, known := a.state.held()
	return wire.Withdrawals{Withdrawals: known}, nil
}

func (a *Agent) takeWithdrawals(withdrawals []config.Withdrawal) error {
	document, _ := a.state.held()
	if document == nil && len(withdrawals) > 0 {
		return errs.New(errs.Unavailable, "this VM has no configuration yet", "tell another VM")
	}
	for _, withdrawal := range withdrawals {
		if err := document.VerifyWithdrawal(withdrawal); err != nil {
			return err
		}
	}
	for _, added := range a.state.addWithdrawals(withdrawals) {
		a.events.Add(timeline.Event{Kind: timeline.KindKeyWithdrawn, Reason: "key hash " + added.Hash + " of " + added.Partner})
		a.log.Info("key withdrawn", zap.String("partner", added.Partner), zap.String("key_hash", added.Hash))
	}
	return nil
}

// syncWithdrawals exchanges withdrawals with a peer that knows others.
func (a *Agent) syncWithdrawals(ctx context.Context, peer membership.Member, digest wire.ConfigDigest) {
	if a.state.digest().Withdrawals == digest.Withdrawals {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	_, own := a.state.held()
	var answer wire.Withdrawals
	err := a.peers.client(peer).Call(ctx, wire.MethodWithdraw, wire.Withdrawals{Withdrawals: own}, &answer)
	if err != nil {
		return // another exchange tries again
	}
	if err := a.takeWithdrawals(answer.Withdrawals); err != nil {
		a.log.Warn("withdrawals refused", zap.String("peer", peer.Name), zap.Error(err))
	}
}

const (
	recordPeriod = time.Second
	// recordAfter is how long a withdrawal waits for the operator who told of it to
	// write it to the store.
	recordAfter = 3 * time.Second
)

// recordWithdrawals writes withdrawals that were told to agents to the store,
// from one VM at a time, until ctx ends.
func (a *Agent) recordWithdrawals(ctx context.Context) {
	since := map[string]time.Time{} // first seen, by hash
	for ctx.Err() == nil {
		daemon.Sleep(ctx, jitter(recordPeriod))
		pending := a.overdue(since)
		_, responsible, ok := a.peers.home("withdrawals")
		if len(pending) == 0 || !ok || !responsible || a.storeAge() > staleAfter {
			continue
		}
		if err := a.record(ctx, pending); err != nil && ctx.Err() == nil {
			a.log.Warn("withdrawals not recorded yet", zap.Error(err))
		}
	}
}

// overdue returns the withdrawals that are not in the document recordAfter after
// they were first seen, and keeps since up to date.
func (a *Agent) overdue(since map[string]time.Time) []config.Withdrawal {
	_, pending := a.state.held()
	if len(pending) == 0 {
		clear(since)
	}
	var overdue []config.Withdrawal
	for _, withdrawal := range pending {
		first, seen := since[withdrawal.Hash]
		if !seen {
			since[withdrawal.Hash] = a.now()
		} else if a.since(first) >= recordAfter {
			overdue = append(overdue, withdrawal)
		}
	}
	return overdue
}

// record adds the withdrawals to the document in the store. If another writer
// was faster, or an answer was lost, the next round finds out.
func (a *Agent) record(ctx context.Context, pending []config.Withdrawal) error {
	entry, err := a.store.Get(ctx, config.RootKey)
	if err != nil {
		return err
	}
	present, _ := a.state.held()
	f := follower{agent: a}
	stored, err := a.load(ctx, present, entry.Value, f.fetch)
	if err != nil {
		return err
	}
	next := stored.WithChange(uuid.NewString(), "")
	for _, withdrawal := range pending {
		if !stored.Covers(withdrawal) {
			next.Withdrawals = append(next.Withdrawals, withdrawal)
		}
	}
	if len(next.Withdrawals) == len(stored.Withdrawals) {
		return nil
	}
	return a.write(ctx, next, entry.Version)
}

func (a *Agent) write(ctx context.Context, next *config.Document, expect metastore.Version) error {
	encoded, err := next.Encode()
	if err != nil {
		return err
	}
	if _, err := a.store.CompareAndSwap(ctx, config.RootKey, encoded.Root, expect, 0); err != nil {
		return err
	}
	a.events.Add(timeline.Event{Kind: timeline.KindWithdrawalsRecorded, Revision: next.Revision})
	a.log.Info("withdrawals recorded", zap.Uint64("revision", next.Revision))
	return nil
}
