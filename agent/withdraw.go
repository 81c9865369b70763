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

// withdraw handles wire.MethodWithdraw. Each withdrawal carries the signature of the
// partner's operators, so withdrawals are accepted from any sender.
func (a *Agent) withdraw(_ context.Context, request wire.Withdrawals) (wire.Withdrawals, error) {
	if err := a.acceptWithdrawals(request.Withdrawals); err != nil {
		return wire.Withdrawals{}, err
	}
	_, known := a.state.configuration()
	return wire.Withdrawals{Withdrawals: known}, nil
}

// acceptWithdrawals verifies withdrawals and adds them. It fails without a change if
// one of them is invalid.
func (a *Agent) acceptWithdrawals(withdrawals []config.Withdrawal) error {
	document, _ := a.state.configuration()
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

// syncWithdrawals exchanges withdrawals with a peer whose set of withdrawals differs.
func (a *Agent) syncWithdrawals(ctx context.Context, peer membership.Member, digest wire.ConfigDigest) {
	if a.state.digest().Withdrawals == digest.Withdrawals {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	_, own := a.state.configuration()
	var answer wire.Withdrawals
	err := a.peers.client(peer).Call(ctx, wire.MethodWithdraw, wire.Withdrawals{Withdrawals: own}, &answer)
	if err != nil {
		return // the next exchange tries again
	}
	if err := a.acceptWithdrawals(answer.Withdrawals); err != nil {
		a.log.Warn("withdrawals refused", zap.String("peer", peer.Name), zap.Error(err))
	}
}

const (
	recordInterval = time.Second
	// recordDelay gives the operator who sent a withdrawal time to write it to the store
	// before an agent does.
	recordDelay = 3 * time.Second
)

// recordWithdrawals writes withdrawals that agents have received to the store until
// ctx ends. Only the owner of the key "withdrawals" does so, to avoid conflicts.
func (a *Agent) recordWithdrawals(ctx context.Context) {
	since := map[string]time.Time{} // time at which a withdrawal was first seen, by hash
	for ctx.Err() == nil {
		daemon.Sleep(ctx, jitter(recordInterval))
		pending := a.overdue(since)
		_, self, ok := a.peers.owner("withdrawals")
		if len(pending) == 0 || !ok || !self || a.storeAge() > staleAfter {
			continue
		}
		if err := a.recordInStore(ctx, pending); err != nil && ctx.Err() == nil {
			a.log.Warn("withdrawals not recorded yet", zap.Error(err))
		}
	}
}

// overdue returns the withdrawals that are still missing from the document recordDelay
// after they were first seen, and updates since, the time at which each was first seen.
func (a *Agent) overdue(since map[string]time.Time) []config.Withdrawal {
	_, pending := a.state.configuration()
	if len(pending) == 0 {
		clear(since)
	}
	var overdue []config.Withdrawal
	for _, withdrawal := range pending {
		first, seen := since[withdrawal.Hash]
		if !seen {
			since[withdrawal.Hash] = a.now()
		} else if a.since(first) >= recordDelay {
			overdue = append(overdue, withdrawal)
		}
	}
	return overdue
}

// recordInStore adds the withdrawals to the document in the store. If another writer
// was faster or an answer was lost, the next attempt detects it.
func (a *Agent) recordInStore(ctx context.Context, pending []config.Withdrawal) error {
	entry, err := a.store.Get(ctx, config.RootKey)
	if err != nil {
		return err
	}
	current, _ := a.state.configuration()
	f := follower{agent: a}
	stored, err := a.loadDocument(ctx, current, entry.Value, f.fetch)
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
	return a.writeDocument(ctx, next, entry.Version)
}

func (a *Agent) writeDocument(ctx context.Context, next *config.Document, expect metastore.Version) error {
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
