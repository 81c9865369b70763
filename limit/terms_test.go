package limit

import (
	"testing"
	"time"

	"lacewingmount.dev/membership"
)

// lendTo makes a home use a lender's rights and returns the outgoing lend.
func leaseTo(t *testing.T, l *Lender, h *Home, now time.Time) Outgoing {
	t.Helper()
	for range 2 { // the first exchange makes contact
		out := l.Prepare(0, nil, now)
		l.Complete(out, h.Handle(out.Exchange, now), now)
		if len(out.Exchange.Lends) > 0 {
			return out
		}
	}
	t.Fatal("nothing was lent")
	return Outgoing{}
}

// newPair returns a lender of all shares, and the homes of group 0 before and
// after the members changed.
func newPair() (l *Lender, first, second *Home, change func()) {
	l = NewLender(DefaultTerms, VM{Name: "vm-1", Incarnation: 5})
	all := []membership.Member{{Name: "vm-1"}, {Name: "vm-2"}, {Name: "vm-3"}}
	l.SetMembers(all)
	l.SetRights([]Lend{{Holder: l.self, Shares: 1, Total: 1}}, epoch, epoch)
	target := l.Target(0)
	var rest []membership.Member
	for _, member := range all {
		if member.Name != target {
			rest = append(rest, member)
		}
	}
	return l, NewHome(DefaultTerms, 7), NewHome(DefaultTerms, 8), func() { l.SetMembers(rest) }
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

// lentAt reports whether the lender lends to its present home at the given time.
func leasesAt(l *Lender, h *Home, now time.Time) bool {
	out := l.Prepare(0, nil, now)
	l.Complete(out, h.Handle(out.Exchange, now), now)
	out = l.Prepare(0, nil, now)
	return len(out.Exchange.Lends) > 0
}

func TestProofRateRightMovesAfterItsTerms(t *testing.T) {
	t.Run("without a word from the home", func(t *testing.T) {
		l, first, second, change := newPair()
		leaseTo(t, l, first, epoch)
		change()
		end := epoch.Add(DefaultTerms.Lend + DefaultTerms.Life)
		if leasesAt(l, second, end) || !leasesAt(l, second, end.Add((DefaultTerms.Lend+DefaultTerms.Life)/clockMarginDivisor)) {
			t.Fatal("the right must move after the lend, the life of tokens and the margin, not before")
		}
	})
	t.Run("after the home dropped it", func(t *testing.T) {
		l, first, second, change := newPair()
		leaseTo(t, l, first, epoch)
		change()
		out := withdraw(t, l, epoch)
		l.Complete(out, first.Handle(out.Exchange, epoch), epoch)
		if leasesAt(l, second, epoch.Add(DefaultTerms.Life)) || !leasesAt(l, second, epoch.Add(withMargin(DefaultTerms.Life))) {
			t.Fatal("the right must move after the life of tokens and the margin, not before")
		}
	})
	t.Run("after a restart of the home", func(t *testing.T) {
		l, first, _, _ := newPair()
		leaseTo(t, l, first, epoch)
		restarted := NewHome(DefaultTerms, first.incarnation+1)
		if leasesAt(l, restarted, epoch.Add(time.Millisecond)) || !leasesAt(l, restarted, epoch.Add(time.Millisecond+withMargin(DefaultTerms.Life))) {
			t.Fatal("the successor gets the right after the life of tokens and the margin, not before")
		}
	})
	t.Run("not after the answer to an older withdrawal", func(t *testing.T) {
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
		if leasesAt(l, second, now.Add(withMargin(DefaultTerms.Life))) {
			t.Fatal("the right moved although it was lent again after the withdrawal")
		}
	})
	t.Run("not while leaving", func(t *testing.T) {
		l, first, _, _ := newPair()
		l.Leave()
		if leasesAt(l, first, epoch) {
			t.Fatal("a lender that leaves lends nothing")
		}
	})
	t.Run("not into another holding before it is free", func(t *testing.T) {
		l, first, _, _ := newPair()
		l.AddRights([]Lend{{Holder: VM{Name: "vm-9"}, Shares: 1, Total: 2}})
		leaseTo(t, l, first, epoch)
		l.SetRights([]Lend{{Holder: l.self, Shares: 1, Total: 1}}, epoch, epoch)
		if leasesAt(l, first, l.FreeAt().Add(-time.Nanosecond)) || !leasesAt(l, first, l.FreeAt()) {
			t.Fatal("shares that moved to another holder must rest until their old right is free")
		}
	})
}

func TestProofRateHomeRefusesLendsFromBeforeAWithdrawal(t *testing.T) {
	h := NewHome(DefaultTerms, 7)
	lease := func(stamp time.Time) Exchange {
		return Exchange{Home: 7, Terms: DefaultTerms, Stamp: stamp.UnixNano(), Lends: []Lend{{Holder: VM{Name: "vm-1"}, Shares: 1, Total: 1}}}
	}
	now := epoch.Add(100 * time.Millisecond)
	h.Handle(Exchange{Home: 7, Terms: DefaultTerms, Withdraw: []string{"vm-1"}}, now)
	for _, c := range []struct {
		stamp time.Time
		want  float64
	}{{epoch, 0}, {now, 0}, {now.Add(time.Minute), 0}, {now.Add(time.Millisecond), 1}} {
		h.Handle(lease(c.stamp), now.Add(2*time.Millisecond))
		if got := h.Weight(0, now.Add(2*time.Millisecond)); got != c.want {
			t.Errorf("stamp %v after the withdrawal: weight %v, want %v", c.stamp.Sub(now), got, c.want)
		}
	}
}

// fullHome returns a home with a full bucket of the given rate and of burst 10.
func ownerWithFullBucket(t *testing.T, rate float64) (h *Home, now time.Time, tokenRequest func(Ask, time.Time) Reply) {
	t.Helper()
	h = NewHome(DefaultTerms, 7)
	h.SetQuotas(map[string]Quota{"a": {Rate: rate, Burst: 10}}, epoch)
	tokenRequest = func(a Ask, now time.Time) Reply {
		a.Account = "a"
		return h.Handle(Exchange{Home: 7, Group: GroupOf("a"), Terms: DefaultTerms, Stamp: now.UnixNano(),
			Lends: []Lend{{Holder: VM{Name: "vm-1"}, Shares: 1, Total: 1}}, Asks: []Ask{a}}, now)
	}
	now = epoch
	for range 3 {
		now = now.Add(time.Second)
		tokenRequest(Ask{Session: 1, Seq: uint64(now.Unix())}, now)
	}
	return h, now, tokenRequest
}

func TestProofRateExpiredTokensLeaveRoomFromThenOn(t *testing.T) {
	h, now, tokenRequest := ownerWithFullBucket(t, 1000)
	if granted := tokenRequest(Ask{Session: 2, Seq: 1, Waiting: 10}, now).Grants[0].Tokens; granted != 10 {
		t.Fatalf("%d granted by a full bucket", granted)
	}
	expiry := now.Add(withMargin(shortTokenTTL))
	h.Stock("a", expiry.Add(-5*time.Millisecond))
	if again := tokenRequest(Ask{Session: 3, Seq: 1, Waiting: 10}, expiry).Grants[0].Tokens; again > 0 {
		t.Fatalf("%d more granted when ten tokens expired that may just have been spent", again)
	}
}

func TestProofRateOldAndDoubledAsksChangeNothing(t *testing.T) {
	h, now, tokenRequest := ownerWithFullBucket(t, 10)
	tokenRequest(Ask{Session: 2, Seq: 2, Waiting: 5}, now)
	level, outstanding := h.Stock("a", now)
	for _, seq := range []uint64{1, 2} {
		if reply := tokenRequest(Ask{Session: 2, Seq: seq, Waiting: 5}, now); len(reply.Grants) > 0 {
			t.Errorf("ask %d after ask 2 was granted %+v", seq, reply.Grants[0])
		}
	}
	if l, o := h.Stock("a", now); l != level || o != outstanding {
		t.Errorf("level %v and %d outstanding became %v and %d", level, outstanding, l, o)
	}
}

func TestProofRateCacheKeepsNoTokenBeyondItsLife(t *testing.T) {
	c := NewCache(DefaultTerms, 1)
	grant := func(sent Ask, tokens int) Grant {
		return Grant{Seq: sent.Seq, Tokens: tokens, Life: DefaultTerms.Life}
	}
	c.Apply(grant(c.Ask("a", 1, epoch), 2), epoch)
	held, _ := c.Reserve(epoch)
	end := epoch.Add(DefaultTerms.Life)
	second := c.Ask("a", 3, end.Add(-time.Millisecond))
	c.Apply(grant(second, 0), end) // the home may have counted them out by now
	if c.Spend(held, end) {
		t.Error("a reply revived a token that had expired")
	}
	c.Apply(grant(c.Ask("a", 1, end), 1), end)
	permit, _ := c.Reserve(end)
	session := c.session
	c.Move(2)
	if next := c.Ask("a", 0, end); next.Session == session || next.Held != 0 {
		t.Errorf("%+v: the new source hears of tokens of the old one", next)
	}
	if !c.Spend(permit, end) || c.Ask("a", 0, end).Spent != 0 {
		t.Error("a token of the old source is spent within its life and not reported to the new one")
	}
}
