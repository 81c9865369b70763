package agent

import (
	"context"
	"time"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/limit"
	"lacewingmount.dev/metastore"
)

const (
	livenessPrefix        = "limit/alive/"
	livenessTTL           = time.Minute
	livenessRenewInterval = 20 * time.Second
)

// livenessLease keeps a key with a lease in the store. Its expiry shows other VMs
// that this one is absent.
type livenessLease struct {
	store     metastore.Store
	key       string
	lease     metastore.LeaseID
	renewedAt time.Time
}

func newLivenessLease(store metastore.Store, vm string) *livenessLease {
	return &livenessLease{store: store, key: livenessPrefix + vm}
}

// renewIfDue renews the lease when it is due, and replaces it if it has expired.
func (l *livenessLease) renewIfDue(ctx context.Context, now time.Time) {
	if now.Sub(l.renewedAt) < livenessRenewInterval {
		return
	}
	if l.lease != 0 && l.store.RenewLease(ctx, l.lease) == nil {
		l.renewedAt = now
		return
	}
	lease, err := l.store.GrantLease(ctx, livenessTTL)
	if err != nil {
		return
	}
	if l.write(ctx, lease) == nil {
		l.lease, l.renewedAt = lease, now
	}
}

func (l *livenessLease) write(ctx context.Context, lease metastore.LeaseID) error {
	entry, err := l.store.Get(ctx, l.key)
	if err != nil && errs.KindOf(err) != errs.NotFound {
		return err
	}
	_, err = l.store.CompareAndSwap(ctx, l.key, nil, entry.Version, lease)
	return err
}

// absenceTracker finds holders of shares that have been absent for at least
// minAbsence. A holder is absent if it is not in the list of VMs, its liveness lease
// has expired, and this VM has no lease of shares from it.
type absenceTracker struct {
	minAbsence  time.Duration
	absentSince map[limit.VM]time.Time
}

func newAbsenceTracker(minAbsence time.Duration) *absenceTracker {
	return &absenceTracker{minAbsence: minAbsence, absentSince: map[limit.VM]time.Time{}}
}

// reset restarts the measurement of all absences.
func (t *absenceTracker) reset() { clear(t.absentSince) }

// absentHolders returns the holders that have been absent for at least minAbsence.
// While the store or the list of VMs cannot be read, no holder counts as absent.
func (t *absenceTracker) absentHolders(ctx context.Context, s *shares, ledger limit.Ledger) ([]limit.VM, error) {
	vms, err := s.vms.VMs(ctx)
	if err != nil {
		t.reset()
		return nil, err
	}
	entries, err := s.store.List(ctx, livenessPrefix)
	if err != nil {
		t.reset()
		return nil, err
	}
	alive := map[string]bool{}
	for _, entry := range entries {
		alive[entry.Key] = true
	}
	var absent []limit.VM
	now := s.lending.now()
	for _, holding := range ledger.Holdings {
		holder := holding.Holder
		present := containsVM(vms, holder.Name) || alive[livenessPrefix+holder.Name] || s.lending.hasLeaseFrom(holder.Name)
		if t.absentFor(holder, present, now) >= t.minAbsence {
			absent = append(absent, holder)
		}
	}
	return absent, nil
}

// absentFor returns how long the holder has been absent without interruption.
func (t *absenceTracker) absentFor(holder limit.VM, present bool, now time.Time) time.Duration {
	absentSince, known := t.absentSince[holder]
	switch {
	case present:
		delete(t.absentSince, holder)
		return 0
	case !known:
		t.absentSince[holder] = now
		return 0
	}
	return now.Sub(absentSince)
}
