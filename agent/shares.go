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
	ledgerKey        = "limit/shares"
	sharesPeriod     = 5 * time.Second
	sharesRetryMost  = 200 * time.Millisecond // after a conflict with another VM
	sharesLeaveLimit = 5 * time.Second
	reclaimKey       = "limit/reclaim" // its home frees the shares of VMs that are gone
)

// shares keeps this VM's holding in the ledger of the platform's store.
type shares struct {
	store   metastore.Store
	vms     metastore.VMList
	lending *lending
	alive   *aliveLease
	gone    *goneVMs
	log     *zap.Logger
	events  *timeline.Ring
	started time.Time
	from    time.Time // the holding is not used earlier
	held    limit.Holding
	excess  excess

	mu       sync.Mutex
	received []limit.Lease // of VMs that left while the store was gone
	leaving  bool
}

// excess is a part of the holding that is no longer lent and will be given back.
type excess struct {
	shares int
	freeAt time.Time // when no home uses it any more; zero while it is still lent
}

func (e excess) free(now time.Time) bool { return !e.freeAt.IsZero() && !now.Before(e.freeAt) }

func newShares(a *Agent) *shares {
	return &shares{
		store: a.store, vms: a.vms, lending: a.lending, log: a.log, events: a.events,
		alive: newAliveLease(a.store, a.settings.VM), gone: newGoneVMs(a.settings.reclaimAfter()),
		started: a.lending.now(),
	}
}

// run keeps the holding up to date until ctx ends.
func (s *shares) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := sharesPeriod
		if err := s.reconcile(ctx); errs.KindOf(err) == errs.Conflict || errs.KindOf(err) == errs.Ambiguous {
			wait = sharesRetryMost
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

// reconcile reads the ledger, claims what this VM should hold and takes it over.
// After a conflict or a lost answer the caller reconciles again: the next read
// shows whether the write took effect.
func (s *shares) reconcile(ctx context.Context) error {
	s.alive.keep(ctx, s.lending.now())
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
	s.adopt(ledger)
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

// write replaces the version of the ledger that next was made from.
func (s *shares) write(ctx context.Context, next limit.Ledger) (limit.Ledger, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return next, err
	}
	version, err := s.store.CompareAndSwap(ctx, ledgerKey, value, metastore.Version(next.Version), 0)
	next.Version = uint64(version)
	return next, err
}

// plan returns the ledger that this VM wants.
func (s *shares) plan(ctx context.Context, ledger limit.Ledger) (next limit.Ledger, changed bool, err error) {
	self := s.lending.self
	held, ok := ledger.HoldingOf(self.Name)
	if ok && held.Holder != self {
		if s.held.Shares > 0 {
			return ledger, false, nil // superseded for good
		}
		s.from = s.started.Add(s.lending.terms.RestartDelay())
	}
	moved := s.recordReceived(&ledger)
	freed, err := s.reclaim(ctx, &ledger)
	if err != nil {
		return ledger, false, err
	}
	freed = freed || moved
	members, err := s.serving(ctx)
	if err != nil {
		return ledger, freed, nil // how much to hold is not known
	}
	if s.excess.shares == 0 {
		s.excess.shares = ledger.Excess(self, members)
	} else if s.excess.free(s.lending.now()) {
		return ledger.Shrink(self, s.excess.shares), true, nil
	}
	next, changed = ledger.Claim(self, members)
	return next, changed || freed, nil
}

// serving returns the number of VMs of the platform's list that are not leaving.
func (s *shares) serving(ctx context.Context) (int, error) {
	vms, err := s.vms.VMs(ctx)
	serving := 0
	for _, vm := range vms {
		if !vm.Leaving {
			serving++
		}
	}
	return serving, err
}

// reclaim frees the shares of VMs that are gone, if that is this VM's task.
func (s *shares) reclaim(ctx context.Context, ledger *limit.Ledger) (freed bool, err error) {
	if _, self, ok := s.lending.peers.home(reclaimKey); !ok || !self {
		s.gone.forget()
		return false, nil
	}
	gone, err := s.gone.find(ctx, s, *ledger)
	if err != nil {
		return false, err
	}
	for _, holder := range gone {
		next, changed := ledger.Release(holder)
		*ledger, freed = next, freed || changed
		s.log.Info("shares reclaimed", zap.String("from", holder.Name))
		s.events.Add(timeline.Event{Kind: timeline.KindSharesReclaimed, Reason: holder.Name + " is gone"})
	}
	return freed, nil
}

// adopt hands the ledger to the home and this VM's holding to the lender.
func (s *shares) adopt(ledger limit.Ledger) {
	l := s.lending
	held, _ := ledger.HoldingOf(l.self.Name)
	var rights []limit.Lease
	if held.Shares < s.held.Shares {
		s.excess = excess{} // given back, or the holding is another one
	}
	if held.Holder == l.self && held.Shares > s.excess.shares {
		rights = []limit.Lease{{Holder: l.self, Shares: held.Shares - s.excess.shares, Total: ledger.Total, Ledger: ledger.Version}}
	}
	rights = append(rights, s.stillReceived(ledger)...)
	l.mu.Lock()
	l.home.SetLedger(ledger, l.now())
	l.lender.SetShares(rights, s.from, l.now())
	if s.excess.shares > 0 && s.excess.freeAt.IsZero() {
		s.excess.freeAt = l.now().Add(l.terms.RestartDelay())
	}
	l.mu.Unlock()
	if held != s.held {
		s.held = held
		s.log.Info("shares held", zap.Int("shares", held.Shares), zap.Int("total", ledger.Total))
		s.events.Add(timeline.Event{Kind: timeline.KindSharesChanged, Reason: fmt.Sprintf("%d of %d", held.Shares, ledger.Total)})
	}
}

// leave gives the rights back to this VM and then its shares to the ledger, or
// to another VM if the store is gone.
func (s *shares) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sharesLeaveLimit)
	defer cancel()
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.lending.leave(ctx)
	for ctx.Err() == nil {
		ledger, err := s.read(ctx)
		if err != nil {
			s.handOver(ctx)
			return
		}
		next, changed := ledger.Release(s.lending.self)
		if !changed {
			return
		}
		if _, err := s.write(ctx, next); err == nil {
			s.log.Info("shares returned", zap.Int("shares", s.held.Shares))
			return
		}
		daemon.Sleep(ctx, jitter(sharesRetryMost))
	}
}

// inList reports whether the list of VMs has a VM of this name.
func inList(vms []metastore.VM, name string) bool {
	for _, vm := range vms {
		if vm.Name == name {
			return true
		}
	}
	return false
}
