package limit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// rankedStream is the requests of one rank of an account.
type rankedStream struct {
	rank      int
	perSecond float64
	sent, ok  int
}

// admitted returns the share of the requests that got a token.
func (s *rankedStream) admitted() float64 { return float64(s.ok) / float64(max(1, s.sent)) }

// runRanked lets each VM take tokens for the requests of the streams, which arrive at random
// times, as poolFleet.run does. Without ranks all requests have one.
func (f *poolFleet) runRanked(span time.Duration, ranks bool, of func(vm int) int, streams ...*rankedStream) (decisions []bool) {
	random := rand.New(rand.NewPCG(11, 12))
	lease := f.now
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		if !f.now.Before(lease) {
			lease = f.now.Add(500 * time.Millisecond)
			for vm := range poolVMs {
				if owner := of(vm); owner >= 0 {
					f.owners[owner].RecordLease(f.now, string(rune('a'+vm)))
				}
			}
		}
		for _, s := range streams {
			if random.Float64() >= s.perSecond/1000 {
				continue
			}
			vm, rank := random.IntN(poolVMs), 0
			if ranks {
				rank = s.rank
			}
			var ok bool
			if owner := of(vm); owner >= 0 {
				ok, _ = f.owners[owner].TakeRanked(f.now, "account", poolQuota, poolVMs, rank)
			} else {
				ok, _ = f.local[vm].TakeLocal(f.now, "account", poolQuota, poolVMs, rank)
			}
			s.sent++
			if ok {
				s.ok++
				f.taken = append(f.taken, f.now)
			}
			decisions = append(decisions, ok)
		}
	}
	return decisions
}

func firstOwner(int) int { return 0 }

// Load: an account of 45 a second sends 250 bookings and 20 billings a second, six times its
// rate. Without ranks a sixth of the billings gets a token. The account's total is the same.
func TestBillingsOfAnAccountOverItsRateGetTokensFirst(t *testing.T) {
	total := map[bool]int{}
	for _, ranks := range []bool{true, false} {
		f := newPoolFleet(1)
		bookings, billings := &rankedStream{rank: 2, perSecond: 250}, &rankedStream{rank: 0, perSecond: 20}
		f.runRanked(20*time.Second, ranks, firstOwner, bookings, billings)
		total[ranks] = len(f.taken)
		t.Logf("ranks %v: %.3f of the billings and %.3f of the bookings got a token", ranks, billings.admitted(), bookings.admitted())
		if ranks && billings.admitted() < 0.97 {
			t.Errorf("%.3f of the billings got a token, want 0.97", billings.admitted())
		}
		if mostTaken, bound := f.mostTaken(), poolBound(poolQuota); mostTaken > bound {
			t.Errorf("%d requests in 5 s, and %d are allowed", mostTaken, bound)
		}
	}
	if with, without := total[true], total[false]; with < without*97/100 || with > without {
		t.Errorf("%d requests got a token with ranks and %d without; the bucket may keep 3%% more", with, without)
	}
}

// Load: an account of 45 a second sends 1,000 billings and 20 bookings a second. The bookings
// got 0.9 tokens a second; each rank keeps a tenth.
func TestLowestRankOfAnAccountKeepsItsMinimum(t *testing.T) {
	f := newPoolFleet(1)
	bookings, billings := &rankedStream{rank: 2, perSecond: 20}, &rankedStream{rank: 0, perSecond: 1000}
	f.runRanked(20*time.Second, true, firstOwner, bookings, billings)
	if least := 20 * 45 / 10 * 9 / 10; bookings.ok < least {
		t.Errorf("%d bookings of %d got a token, want %d", bookings.ok, bookings.sent, least)
	}
}

// Load: an account sends 60% of its rate for 20 s, of two ranks at random times, then six times its
// rate for 5 s, then 60% again. Before and from a second after the overload, each decision must be
// that of a bucket without ranks that has refused nothing.
func TestAccountWithinItsRateIsServedWhateverItsRanks(t *testing.T) {
	f := newPoolFleet(1)
	bookings, billings := &rankedStream{rank: 2, perSecond: 17}, &rankedStream{rank: 0, perSecond: 10}
	if decisions := f.runRanked(20*time.Second, true, firstOwner, bookings, billings); slices.Contains(decisions, false) {
		t.Error("a request was refused while the account was within its rate")
	}
	bookings.perSecond = 260
	f.runRanked(5*time.Second, true, firstOwner, bookings, billings)
	bookings.perSecond = 17
	f.runRanked(overRateMemory, true, firstOwner, bookings, billings)
	if decisions := f.runRanked(20*time.Second, true, firstOwner, bookings, billings); slices.Contains(decisions, false) {
		t.Error("a request was refused after the overload had ended")
	}
}

// Load: an account sends six times its rate; all requests have one rank. Each decision must
// be that of requests without a rank.
func TestOneRankOfAnAccountDecidesAsWithoutRanks(t *testing.T) {
	const requests = 5000
	var decisions [2][]bool
	for i := range decisions {
		random := rand.New(rand.NewPCG(3, 4))
		p, now := NewPool(time.Unix(0, 0), poolOverage), time.Unix(1000, 0)
		for range requests {
			now = now.Add(time.Duration(random.IntN(8)) * time.Millisecond)
			p.RecordLease(now, string(rune('a'+random.IntN(poolVMs))))
			var ok bool
			if i == 0 {
				ok, _ = p.TakeRanked(now, "account", poolQuota, poolVMs, 2)
			} else {
				ok, _ = p.Take(now, "account", poolQuota, poolVMs)
			}
			decisions[i] = append(decisions[i], ok)
		}
	}
	if !slices.Equal(decisions[0], decisions[1]) {
		t.Error("decisions with one rank differ from those without ranks")
	}
}

// Load: 250 bookings and 20 billings a second of an account of 45; its owner is lost, two
// owners serve half of the VMs each while some VMs reach none, then there is one again.
func TestRankedTokensStayWithinTheBoundWithTwoOwners(t *testing.T) {
	f := newPoolFleet(3)
	bookings, billings := &rankedStream{rank: 2, perSecond: 250}, &rankedStream{rank: 0, perSecond: 20}
	f.runRanked(8*time.Second, true, firstOwner, bookings, billings)
	f.runRanked(4*time.Second, true, func(vm int) int {
		if vm%8 == 0 {
			return -1
		}
		return 1 + vm%2
	}, bookings, billings)
	f.runRanked(8*time.Second, true, func(int) int { return 2 }, bookings, billings)
	if mostTaken, bound := f.mostTaken(), poolBound(poolQuota); mostTaken > bound {
		t.Errorf("%d requests in 5 s, and %d are allowed", mostTaken, bound)
	}
	if billings.admitted() < 0.9 {
		t.Errorf("%.3f of the billings got a token, want 0.9", billings.admitted())
	}
}

// Load: an account of 45 a second sends 250 bookings and 60 billings a second. Refused bookings
// are told to return later than billings, and neither return together. All were told 100 ms, after
// which five of six found no token again.
func TestRefusedRequestsOfAnAccountReturnByRankAndSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	p, now := NewPool(time.Unix(0, 0), poolOverage), time.Unix(1000, 0)
	retryAfter := map[int][]time.Duration{}
	for i := range 5000 { // of 1 ms
		now = now.Add(time.Millisecond)
		for vm := range poolVMs {
			p.RecordLease(now, string(rune('a'+vm)))
		}
		for _, s := range []rankedStream{{rank: 0, perSecond: 60}, {rank: 2, perSecond: 250}} {
			if random.Float64() >= s.perSecond/1000 {
				continue
			}
			if ok, after := p.TakeRanked(now, "account", poolQuota, poolVMs, s.rank); !ok && i > 2000 {
				retryAfter[s.rank] = append(retryAfter[s.rank], after)
			}
		}
	}
	for rank, list := range retryAfter {
		slices.Sort(list)
		t.Logf("rank %d: %d refused callers return after %v to %v", rank, len(list), list[0], list[len(list)-1])
		if len(slices.Compact(slices.Clone(list))) < len(list)*9/10 {
			t.Errorf("rank %d: many of %d refused callers return at the same time", rank, len(list))
		}
	}
	if len(retryAfter[0]) == 0 || len(retryAfter[2]) == 0 {
		t.Fatal("no caller was refused")
	}
	if billing, booking := retryAfter[0][len(retryAfter[0])/2], retryAfter[2][len(retryAfter[2])/2]; 2*billing > booking {
		t.Errorf("the median of the billings is %v, that of the bookings %v, want twice as long", billing, booking)
	}
}
