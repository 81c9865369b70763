package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/membership"
)

const (
	vmsPrefix                 = "lacewingmount/vms/"   // prefix of the keys of registered VMs
	leaseTTL                  = 30 * time.Second       // of a VM's registration; whether a VM is alive is learned from messages
	leaseRenewInterval        = 9 * time.Second        // three renewals fit into leaseTTL
	maxRegistrationJitter     = 300 * time.Millisecond // before all VMs register again, after the store has returned from an older copy
	startAnnouncements        = 3                      // messages in which a starting VM announces itself; datagrams can be lost
	startAnnouncementInterval = 150 * time.Millisecond
)

// decodeMember decodes the registration of the VM with the name. It fails with kind Invalid if
// the registration is another VM's or has no address that messages can be sent to.
func decodeMember(name string, value []byte) (membership.Member, error) {
	var member membership.Member
	if err := json.Unmarshal(value, &member); err != nil {
		return member, errs.Wrap(err, errs.Invalid, "registration of VM "+strconv.Quote(name)+" cannot be decoded", "correct the program that writes it")
	}
	address, err := netip.ParseAddrPort(member.Address)
	if member.Name != name || err != nil || address.Port() == 0 {
		return member, errs.New(errs.Invalid, "registration of VM "+strconv.Quote(name)+" has another name or no valid address", "correct the program that writes it")
	}
	return member, nil
}

// register keeps this VM registered in the store until ctx ends, and then removes the
// registration.
func (f *follower) register(ctx context.Context) {
	var held lease
	for ctx.Err() == nil {
		err := f.renewRegistration(ctx, &held)
		f.noteEra()
		if held.number != 0 && held.era != f.store.Era() {
			continue // the renewal showed that the store has returned from an older copy
		}
		if err != nil {
			sleep(ctx, storeRetryDelay+time.Duration(rand.Int64N(int64(time.Second)))) // jitter: an outage affects all VMs at the same time
			continue
		}
		f.sleepUntilRenewal(ctx)
	}
	if held.number != 0 && held.era == f.store.Era() { // in another era the number may be another holder's
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
		defer cancel()
		if err := f.store.EndLease(call, held.number); err != nil {
			f.g.log.Warn("registration not removed", zap.Error(err))
		}
	}
}

// lease is the lease of this VM's registration. Its number has a meaning only in its era.
type lease struct {
	number uint64 // 0 for none
	era    uint64
}

// sleepUntilRenewal waits until the lease must be renewed, or the store has returned from an
// older copy, which may lack the registration.
func (f *follower) sleepUntilRenewal(ctx context.Context) {
	timer := time.NewTimer(leaseRenewInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-f.eraRaised:
		sleep(ctx, rand.N(maxRegistrationJitter))
	}
}

// renewRegistration renews the lease, or registers again under a new lease if there
// is none, it has expired or is of an earlier era.
func (f *follower) renewRegistration(ctx context.Context, held *lease) error {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	era := f.store.Era() // if it rises during the calls, the lease counts as one of the earlier era
	if held.number != 0 && held.era == era {
		err := f.store.RenewLease(call, held.number)
		if errs.KindOf(err) != errs.NotFound {
			return err
		}
		f.g.log.Warn("registration expired; registering again")
	}
	*held = lease{}
	granted, err := f.store.GrantLease(call, leaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(f.g.self)
	if err != nil {
		return err
	}
	if err := f.store.Put(call, vmsPrefix+f.g.self.Name, value, granted); err != nil {
		return err
	}
	*held = lease{number: granted, era: era}
	f.g.log.Info("registered", zap.Uint64("lease", granted))
	return nil
}

// announceStart tells the other VMs that this one has started.
func (f *follower) announceStart(ctx context.Context) {
	for range startAnnouncements {
		f.g.announce(false)
		sleep(ctx, startAnnouncementInterval)
	}
}
