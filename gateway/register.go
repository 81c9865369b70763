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
	vmsPrefix                 = "lacewingmount/vms/" // prefix of the keys of registered VMs
	leaseTTL                  = 30 * time.Second     // of a VM's registration; whether a VM is alive is learned from messages
	leaseRenewInterval        = 9 * time.Second      // three renewals fit into leaseTTL
	startAnnouncements        = 3                    // messages in which a starting VM announces itself; datagrams can be lost
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
	var lease uint64
	for ctx.Err() == nil {
		err := f.renewRegistration(ctx, &lease)
		if err != nil {
			sleep(ctx, storeRetryDelay+time.Duration(rand.Int64N(int64(time.Second)))) // jitter: an outage affects all VMs at the same time
			continue
		}
		sleep(ctx, leaseRenewInterval)
	}
	if lease != 0 {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
		defer cancel()
		if err := f.store.EndLease(call, lease); err != nil {
			f.g.log.Warn("registration not removed", zap.Error(err))
		}
	}
}

// renewRegistration renews the lease, or registers again under a new lease if there
// is none or it has expired.
func (f *follower) renewRegistration(ctx context.Context, lease *uint64) error {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if *lease != 0 {
		err := f.store.RenewLease(call, *lease)
		if errs.KindOf(err) != errs.NotFound {
			return err
		}
		*lease = 0
		f.g.log.Warn("registration expired; registering again")
	}
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
	*lease = granted
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
