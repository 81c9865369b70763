package limit

import (
	"testing"
	"time"

	"lacewingmount.dev/membership"
)

// leaseTo makes an owner use a lender's shares and returns the exchange with the lease.
func leaseTo(t *testing.T, l *Lender, owner *Owner, now time.Time) Outgoing {
	t.Helper()
	for range 2 { // the lender learns the incarnation from the first exchange
		out := l.Prepare(0, nil, now)
		l.Complete(out, owner.Handle(out.Exchange, now), now)
		if len(out.Exchange.Leases) > 0 {
			return out
		}
	}
	t.Fatal("nothing was leased")
	return Outgoing{}
}

// newPair returns a lender of all shares, the owners of group 0 before and after a
// change of members, and a function that makes the change.
func newPair() (l *Lender, first, second *Owner, change func()) {
	l = NewLender(DefaultTiming, VM{Name: "vm-1", Incarnation: 5})
	all := []membership.Member{{Name: "vm-1"}, {Name: "vm-2"}, {Name: "vm-3"}}
	l.SetMembers(all)
	l.SetShares([]Lease{{Holder: l.self, Shares: 1, Total: 1}}, epoch, epoch)
	firstOwner := l.OwnerOf(0)
	var rest []membership.Member
	for _, member := range all {
		if member.Name != firstOwner {
			rest = append(rest, member)
		}
	}
	return l, NewOwner(DefaultTiming, 7), NewOwner(DefaultTiming, 8), func() { l.SetMembers(rest) }
}

func withdraw(t *testing.T, l *Lender, now time.Time) Outgoing {
	t.Helper()
	for _, out := range l.Due(now) {
		if len(out.Exchange.Withdraw) > 0 {
			return out
		}
	}
	t.Fatal("nothing was withdrawn")
	return Outgoing{}
}

// leasesAt reports whether the lender leases to its current owner at the given time.
func leasesAt(l *Lender, owner *Owner, now time.Time) bool {
	out := l.Prepare(0, nil, now)
	l.Complete(out, owner.Handle(out.Exchange, now), now)
	out = l.Prepare(0, nil, now)
	return len(out.Exchange.Leases) > 0
}

func TestProofRateRightMovesAfterItsTerms(t *testing.T) {
	t.Run("without a reply from the owner", func(t *testing.T) {
		l, first, second, change := newPair()
		leaseTo(t, l, first, epoch)
		change()
		end := epoch.Add(DefaultTiming.Lease + DefaultTiming.TokenTTL)
		if leasesAt(l, second, end) || !leasesAt(l, second, end.Add((DefaultTiming.Lease+DefaultTiming.TokenTTL)/clockMarginDivisor)) {
			t.Fatal("the shares must move after the lease, the lifetime of tokens and the margin, not before")
		}
	})
	t.Run("after the owner dropped the lease", func(t *testing.T) {
		l, first, second, change := newPair()
		leaseTo(t, l, first, epoch)
		change()
		out := withdraw(t, l, epoch)
		l.Complete(out, first.Handle(out.Exchange, epoch), epoch)
		if leasesAt(l, second, epoch.Add(DefaultTiming.TokenTTL)) || !leasesAt(l, second, epoch.Add(withMargin(DefaultTiming.TokenTTL))) {
			t.Fatal("the shares must move after the lifetime of tokens and the margin, not before")
		}
	})
	t.Run("after a restart of the owner", func(t *testing.T) {
		l, first, _, _ := newPair()
		leaseTo(t, l, first, epoch)
		restarted := NewOwner(DefaultTiming, first.incarnation+1)
		if leasesAt(l, restarted, epoch.Add(time.Millisecond)) || !leasesAt(l, restarted, epoch.Add(time.Millisecond+withMargin(DefaultTiming.TokenTTL))) {
			t.Fatal("the new incarnation must get the lease after the lifetime of tokens and the margin, not before")
		}
	})
	t.Run("not after the reply to an older withdrawal", func(t *testing.T) {
		l, first, second, change := newPair()
		leaseTo(t, l, first, epoch)
		all := l.members
		change()
		out := withdraw(t, l, epoch)
		late := first.Handle(out.Exchange, epoch)
		l.SetMembers(all)
		now := epoch.Add(time.Millisecond)
		leaseTo(t, l, first, now)
		l.Complete(out, late, now)
		change()
		if leasesAt(l, second, now.Add(withMargin(DefaultTiming.TokenTTL))) {
			t.Fatal("the shares moved although they were leased again after the withdrawal")
		}
	})
	t.Run("not while leaving", func(t *testing.T) {
		l, first, _, _ := newPair()
		l.Leave()
		if leasesAt(l, first, epoch) {
			t.Fatal("a lender that leaves must lease nothing")
		}
	})
	t.Run("not as part of another holding before the shares are free", func(t *testing.T) {
		l, first, _, _ := newPair()
		l.AddShares([]Lease{{Holder: VM{Name: "vm-9"}, Shares: 1, Total: 2}})
		leaseTo(t, l, first, epoch)
		l.SetShares([]Lease{{Holder: l.self, Shares: 1, Total: 1}}, epoch, epoch)
		if leasesAt(l, first, l.FreeAt().Add(-time.Nanosecond)) || !leasesAt(l, first, l.FreeAt()) {
			t.Fatal("shares that moved to another holder must not be leased until their old lease has ended")
		}
	})
}

func TestProofRateHomeRefusesLendsFromBeforeAWithdrawal(t *testing.T) {
	owner := NewOwner(DefaultTiming, 7)
	lease := func(timestamp time.Time) Exchange {
		return Exchange{Owner: 7, Timing: DefaultTiming, Timestamp: timestamp.UnixNano(), Leases: []Lease{{Holder: VM{Name: "vm-1"}, Shares: 1, Total: 1}}}
	}
	now := epoch.Add(100 * time.Millisecond)
	owner.Handle(Exchange{Owner: 7, Timing: DefaultTiming, Withdraw: []string{"vm-1"}}, now)
	for _, c := range []struct {
		timestamp time.Time
		want      float64
	}{{epoch, 0}, {now, 0}, {now.Add(time.Minute), 0}, {now.Add(time.Millisecond), 1}} {
		owner.Handle(lease(c.timestamp), now.Add(2*time.Millisecond))
		if got := owner.Weight(0, now.Add(2*time.Millisecond)); got != c.want {
			t.Errorf("timestamp %v after the withdrawal: weight %v, want %v", c.timestamp.Sub(now), got, c.want)
		}
	}
}

// ownerWithFullBucket returns an owner with a full bucket of the given rate and of burst 10.
func ownerWithFullBucket(t *testing.T, rate float64) (owner *Owner, now time.Time, tokenRequest func(TokenRequest, time.Time) Reply) {
	t.Helper()
	owner = NewOwner(DefaultTiming, 7)
	owner.SetQuotas(map[string]Quota{"a": {Rate: rate, Burst: 10}}, epoch)
	tokenRequest = func(a TokenRequest, now time.Time) Reply {
		a.Account = "a"
		return owner.Handle(Exchange{Owner: 7, Group: GroupOf("a"), Timing: DefaultTiming, Timestamp: now.UnixNano(),
			Leases: []Lease{{Holder: VM{Name: "vm-1"}, Shares: 1, Total: 1}}, TokenRequests: []TokenRequest{a}}, now)
	}
	now = epoch
	for range 3 {
		now = now.Add(time.Second)
		tokenRequest(TokenRequest{Session: 1, Seq: uint64(now.Unix())}, now)
	}
	return owner, now, tokenRequest
}

func TestProofRateExpiredTokensLeaveRoomFromThenOn(t *testing.T) {
	owner, now, tokenRequest := ownerWithFullBucket(t, 1000)
	if granted := tokenRequest(TokenRequest{Session: 2, Seq: 1, Waiting: 10}, now).Grants[0].Tokens; granted != 10 {
		t.Fatalf("%d granted by a full bucket", granted)
	}
	expiry := now.Add(withMargin(shortTokenTTL))
	owner.TokenBalance("a", expiry.Add(-5*time.Millisecond))
	if again := tokenRequest(TokenRequest{Session: 3, Seq: 1, Waiting: 10}, expiry).Grants[0].Tokens; again > 0 {
		t.Fatalf("%d more granted when ten tokens expired that may just have been spent", again)
	}
}

func TestProofRateOldAndDoubledAsksChangeNothing(t *testing.T) {
	owner, now, tokenRequest := ownerWithFullBucket(t, 10)
	tokenRequest(TokenRequest{Session: 2, Seq: 2, Waiting: 5}, now)
	level, outstanding := owner.TokenBalance("a", now)
	for _, seq := range []uint64{1, 2} {
		if reply := tokenRequest(TokenRequest{Session: 2, Seq: seq, Waiting: 5}, now); len(reply.Grants) > 0 {
			t.Errorf("token request %d after token request 2 was granted %+v", seq, reply.Grants[0])
		}
	}
	if l, o := owner.TokenBalance("a", now); l != level || o != outstanding {
		t.Errorf("level %v and %d outstanding became %v and %d", level, outstanding, l, o)
	}
}

func TestProofRateCacheKeepsNoTokenBeyondItsLife(t *testing.T) {
	c := NewCache(DefaultTiming, 1)
	grant := func(sent TokenRequest, tokens int) Grant {
		return Grant{Seq: sent.Seq, Tokens: tokens, TokenTTL: DefaultTiming.TokenTTL}
	}
	c.Apply(grant(c.TokenRequest("a", 1, epoch), 2), epoch)
	held, _ := c.Reserve(epoch)
	end := epoch.Add(DefaultTiming.TokenTTL)
	second := c.TokenRequest("a", 3, end.Add(-time.Millisecond))
	c.Apply(grant(second, 0), end) // the owner may have removed them by now
	if c.Spend(held, end) {
		t.Error("a reply renewed a token that had expired")
	}
	c.Apply(grant(c.TokenRequest("a", 1, end), 1), end)
	permit, _ := c.Reserve(end)
	session := c.session
	c.SwitchSource(2)
	if next := c.TokenRequest("a", 0, end); next.Session == session || next.Held != 0 {
		t.Errorf("%+v: tokens of the old source are reported to the new one", next)
	}
	if !c.Spend(permit, end) || c.TokenRequest("a", 0, end).Spent != 0 {
		t.Error("a token of the old source must be spendable within its lifetime and not be reported to the new one")
	}
}
