package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/limit"
	"lacewingmount.dev/metastore"
	"lacewingmount.dev/timeline"
)

const (
	ledgerKey          = "limit/shares"
	reconcileInterval  = 5 * time.Second
	conflictRetryDelay = 200 * time.Millisecond // maximum delay after a conflict with another VM's write
	sharesLeaveTimeout = 5 * time.Second
	reclaimKey         = "limit/reclaim" // the owner of this key frees the shares of absent VMs
)

// shares maintains this VM's holding in the ledger of shares in the platform's store.
type shares struct {
	store      metastore.Store
	vms        metastore.VMList
	lending    *lending
	liveness   *livenessLease
	absences   *absenceTracker
	log        *zap.Logger
	events     *timeline.Ring
	started    time.Time
	usableFrom time.Time // the holding is not leased before
	holding    limit.Holding
	excess     excess

	mu       sync.Mutex
	received []limit.Lease // shares of VMs that left while the store was unavailable
	leaving  bool
}

// excess is the part of the holding that is no longer leased and will be returned.
type excess struct {
	shares int
	freeAt time.Time // when no owner uses it any more; zero while it is still leased
}

func (e excess) isFree(now time.Time) bool { return !e.freeAt.IsZero() && !now.Before(e.freeAt) }

func newShares(a *Agent) *shares {
	return &shares{
		store: a.store, vms: a.vms, lending: a.lending, log: a.log, events: a.events,
		liveness: newLivenessLease(a.store, a.settings.VM), absences: newAbsenceTracker(a.settings.reclaimAfter()),
		started: a.lending.now(),
	}
}

// run reconciles the holding periodically until ctx ends.
func (s *shares) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := reconcileInterval
		if err := s.reconcile(ctx); errs.KindOf(err) == errs.Conflict || errs.KindOf(err) == errs.Ambiguous {
			wait = conflictRetryDelay
		}
		timer := time.NewTimer(jitter(wait))
		select {
		case <-timer.C:
		case <-s.lending.superseded:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// reconcile reads the ledger, claims the shares that this VM should hold and applies
// the result. After a conflict or a lost answer the caller must reconcile again: the
// next read shows whether the write took effect.
func (s *shares) reconcile(ctx context.Context) error {
	s.liveness.renewIfDue(ctx, s.lending.now())
	ledger, err := s.read(ctx)
	if err != nil {
		return err
	}
	next, changed, err := s.plan(ctx, ledger)
	if err != nil {
		return err
	}
	if changed {
		if ledger, err = s.write(ctx, next); err != nil {
			return err
		}
	}
	s.applyLedger(ledger)
	return nil
}

func (s *shares) read(ctx context.Context) (limit.Ledger, error) {
	entry, err := s.store.Get(ctx, ledgerKey)
	if errs.KindOf(err) == errs.NotFound {
		return limit.NewLedger(), nil
	}
	if err != nil {
		return limit.Ledger{}, err
	}
	var ledger limit.Ledger
	if err := json.Unmarshal(entry.Value, &ledger); err != nil || !ledger.Valid() {
		return limit.Ledger{}, errs.New(errs.Invalid, ledgerKey+" holds no valid ledger of shares", "restore it, or delete it while no VM runs")
	}
	ledger.Version = uint64(entry.Version)
	return ledger, nil
}

// write replaces the version of the ledger that next was derived from. It fails with
// kind Conflict if another VM has written the ledger since.
func (s *shares) write(ctx context.Context, next limit.Ledger) (limit.Ledger, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return next, err
	}
	version, err := s.store.CompareAndSwap(ctx, ledgerKey, value, metastore.Version(next.Version), 0)
	next.Version = uint64(version)
	return next, err
}

// plan returns the ledger that this VM should write, and whether it differs from the
// given one.
func (s *shares) plan(ctx context.Context, ledger limit.Ledger) (next limit.Ledger, changed bool, err error) {
	self := s.lending.self
	holding, ok := ledger.HoldingOf(self.Name)
	if ok && holding.Holder != self {
		if s.holding.Shares > 0 {
			return ledger, false, nil // a newer incarnation of this VM has taken over the shares permanently
		}
		s.usableFrom = s.started.Add(s.lending.timing.RestartDelay())
	}
	transferred := s.recordReceived(&ledger)
	freed, err := s.reclaim(ctx, &ledger)
	if err != nil {
		return ledger, false, err
	}
	freed = freed || transferred
	members, err := s.servingCount(ctx)
	if err != nil {
		return ledger, freed, nil // without the number of VMs it is not known how many shares each VM should hold
	}
	if s.excess.shares == 0 {
		s.excess.shares = ledger.Excess(self, members)
	} else if s.excess.isFree(s.lending.now()) {
		return ledger.Shrink(self, s.excess.shares), true, nil
	}
	next, changed = ledger.Claim(self, members)
	return next, changed || freed, nil
}

// servingCount returns the number of VMs of the platform's list that are not leaving.
func (s *shares) servingCount(ctx context.Context) (int, error) {
	vms, err := s.vms.VMs(ctx)
	servingCount := 0
	for _, vm := range vms {
		if !vm.Leaving {
			servingCount++
		}
	}
	return servingCount, err
}

// reclaim frees the shares of absent VMs if this VM is the owner of reclaimKey.
func (s *shares) reclaim(ctx context.Context, ledger *limit.Ledger) (freed bool, err error) {
	if _, self, ok := s.lending.peers.owner(reclaimKey); !ok || !self {
		s.absences.reset()
		return false, nil
	}
	absences, err := s.absences.absentHolders(ctx, s, *ledger)
	if err != nil {
		return false, err
	}
	for _, holder := range absences {
		next, changed := ledger.Release(holder)
		*ledger, freed = next, freed || changed
		s.log.Info("shares reclaimed", zap.String("from", holder.Name))
		s.events.Add(timeline.Event{Kind: timeline.KindSharesReclaimed, Reason: holder.Name + " is absent"})
	}
	return freed, nil
}

// applyLedger passes the ledger to the owner and this VM's shares to the lender.
func (s *shares) applyLedger(ledger limit.Ledger) {
	l := s.lending
	holding, _ := ledger.HoldingOf(l.self.Name)
	var leases []limit.Lease
	if holding.Shares < s.holding.Shares {
		s.excess = excess{} // it was returned, or this is a different holding
	}
	if holding.Holder == l.self && holding.Shares > s.excess.shares {
		leases = []limit.Lease{{Holder: l.self, Shares: holding.Shares - s.excess.shares, Total: ledger.Total, Ledger: ledger.Version}}
	}
	leases = append(leases, s.pendingReceived(ledger)...)
	l.mu.Lock()
	l.owner.SetLedger(ledger, l.now())
	l.lender.SetShares(leases, s.usableFrom, l.now())
	if s.excess.shares > 0 && s.excess.freeAt.IsZero() {
		s.excess.freeAt = l.now().Add(l.timing.RestartDelay())
	}
	l.mu.Unlock()
	if holding != s.holding {
		s.holding = holding
		s.log.Info("shares held", zap.Int("shares", holding.Shares), zap.Int("total", ledger.Total))
		s.events.Add(timeline.Event{Kind: timeline.KindSharesChanged, Reason: fmt.Sprintf("%d of %d", holding.Shares, ledger.Total)})
	}
}

// leave stops leasing and returns this VM's shares to the ledger, or transfers them to
// another VM if the store is unavailable.
func (s *shares) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sharesLeaveTimeout)
	defer cancel()
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.lending.leave(ctx)
	for ctx.Err() == nil {
		ledger, err := s.read(ctx)
		if err != nil {
			s.transferShares(ctx)
			return
		}
		next, changed := ledger.Release(s.lending.self)
		if !changed {
			return
		}
		if _, err := s.write(ctx, next); err == nil {
			s.log.Info("shares returned", zap.Int("shares", s.holding.Shares))
			return
		}
		daemon.Sleep(ctx, jitter(conflictRetryDelay))
	}
}

// containsVM reports whether the list contains a VM with this name.
func containsVM(vms []metastore.VM, name string) bool {
	for _, vm := range vms {
		if vm.Name == name {
			return true
		}
	}
	return false
}
