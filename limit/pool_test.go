package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var poolQuota = Quota{Rate: 45, Burst: 45}

const (
	poolVMs    = 48
	poolWindow = 5 * time.Second // over which the operators count
)

// poolOverage is that of the users' deployments.
var poolOverage = Overage{Window: poolWindow, Fraction: 0.1, Requests: 20}

// poolBound is the most requests that the operators allow in any poolWindow.
func poolBound(q Quota) int { return int((q.Rate*poolWindow.Seconds()+q.Burst)*1.1) + 20 }

// poolFleet simulates VMs that take tokens from one of several owners.
type poolFleet struct {
	now    time.Time
	owners []*Pool
	local  []*Pool
	taken  []time.Time
}

func newPoolFleet(owners int) *poolFleet {
	f := &poolFleet{now: time.Unix(1000, 0)}
	for range owners {
		f.owners = append(f.owners, NewPool(f.now, poolOverage))
	}
	for range poolVMs {
		f.local = append(f.local, NewPool(f.now, poolOverage))
	}
	return f
}

// run lets each VM take tokens from the owner with the index that of returns, or from
// its own part if that is negative. It returns how many requests were refused.
func (f *poolFleet) run(span time.Duration, perSecond float64, of func(vm int) int) (refused int) {
	random := rand.New(rand.NewPCG(5, 6))
	due := 0.0
	lease := f.now
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(5 * time.Millisecond) {
		if !f.now.Before(lease) {
			lease = f.now.Add(500 * time.Millisecond)
			for vm := range poolVMs {
				if owner := of(vm); owner >= 0 {
					f.owners[owner].RecordLease(f.now, string(rune('a'+vm)))
				}
			}
		}
		for due += perSecond * 0.005; due >= 1; due-- {
			vm := random.IntN(poolVMs)
			ok := false
			if owner := of(vm); owner >= 0 {
				ok, _ = f.owners[owner].Take(f.now, "account", poolQuota, poolVMs)
			} else {
				ok, _ = f.local[vm].TakeLocal(f.now, "account", poolQuota, poolVMs, 0)
			}
			if ok {
				f.taken = append(f.taken, f.now)
			} else {
				refused++
			}
		}
	}
	return refused
}

// mostTaken is the largest number of tokens taken in any window.
func (f *poolFleet) mostTaken() int {
	mostTaken, first := 0, 0
	for i, at := range f.taken {
		for at.Sub(f.taken[first]) >= poolWindow {
			first++
		}
		mostTaken = max(mostTaken, i-first+1)
	}
	return mostTaken
}

// An account sends 62% of its rate; no request may be refused.
func TestPoolAdmitsWhatIsWithinTheRate(t *testing.T) {
	f := newPoolFleet(1)
	if refused := f.run(30*time.Second, 28, func(int) int { return 0 }); refused > 0 {
		t.Errorf("%d of 840 requests are refused", refused)
	}
}

// An account sends 8 times its rate; its owner is lost, two owners serve half of the
// VMs each, then there is one again. Some VMs reach none.
func TestPoolBoundsAFloodThroughLostAndSplitHomes(t *testing.T) {
	f := newPoolFleet(3)
	f.run(8*time.Second, 360, func(int) int { return 0 })
	f.run(4*time.Second, 360, func(vm int) int {
		if vm%8 == 0 {
			return -1
		}
		return 1 + vm%2
	})
	f.run(8*time.Second, 360, func(int) int { return 2 })
	if mostTaken, bound := f.mostTaken(), poolBound(poolQuota); mostTaken > bound {
		t.Errorf("%d requests in 5 s, and %d are allowed", mostTaken, bound)
	}
	if len(f.taken) < 20*45*8/10 {
		t.Errorf("only %d requests are admitted in 20 s at 45 a second", len(f.taken))
	}
}

// All VMs start at once, and the account sends 62% of its rate.
func TestPoolServesFromTheStart(t *testing.T) {
	f := newPoolFleet(1)
	refused := f.run(time.Second, 28, func(vm int) int { return 0 })
	if refused > 2 {
		t.Errorf("%d of 28 requests are refused in the first second", refused)
	}
}

// Load: 120 accounts that send 60% of their rate of 10 a second. All VMs were killed and
// are back after a second, and the callers of that second come at once. On the users'
// large deployment 490 requests of such accounts were refused after a restart of all VMs.
func TestPoolServesSmallAccountsAfterARestart(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPool(now, poolOverage)
	p.RecordLease(now, "vm-1")
	refused := 0
	for i := range 120 {
		for range 6 {
			if ok, _ := p.Take(now, fmt.Sprintf("account-%d", i), Quota{Rate: 10, Burst: 10}, poolVMs); !ok {
				refused++
			}
		}
	}
	if refused > 0 {
		t.Errorf("%d of 720 requests are refused, want none", refused)
	}
}

// Load: an account of 10 a second floods, and its owner is lost three times within five
// seconds. Each new owner's bucket is fresh.
func TestPoolBoundsAFloodOfASmallAccountThroughNewOwners(t *testing.T) {
	for _, quota := range []Quota{{Rate: 10, Burst: 10}, {Rate: 2, Burst: 2}, {Rate: 95, Burst: 95}} {
		now, taken := time.Unix(1000, 0), 0
		owners := []*Pool{NewPool(now, poolOverage)}
		for step := range 1000 { // of 5 ms: one window, which begins with a full bucket
			if step%300 == 299 {
				owners = append(owners, NewPool(now.Add(-time.Hour), poolOverage))
			}
			owner := owners[len(owners)-1]
			for vm := range poolVMs {
				owner.RecordLease(now, string(rune('a'+vm)))
			}
			if step == 0 {
				owner.buckets["account"] = &poolBucket{level: quota.Burst, filledAt: now}
			}
			for range 20 {
				if ok, _ := owner.Take(now, "account", quota, poolVMs); ok {
					taken++
				}
			}
			now = now.Add(5 * time.Millisecond)
		}
		if bound := poolBound(quota); taken > bound {
			t.Errorf("rate %v: %d requests in 5 s through %d owners, %d are allowed", quota.Rate, taken, len(owners), bound)
		}
	}
}

// An account sends many times its rate, and the operators lower the rate to a fifth.
func TestPoolFollowsALoweredRate(t *testing.T) {
	p := NewPool(time.Unix(0, 0), poolOverage)
	now := time.Unix(1000, 0)
	for vm := range poolVMs {
		p.RecordLease(now, string(rune('a'+vm)))
	}
	for range 1000 {
		p.Take(now, "account", poolQuota, poolVMs)
	}
	admitted := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if ok, _ := p.Take(now, "account", Quota{Rate: 9, Burst: 9}, poolVMs); ok {
			admitted++
		}
	}
	if admitted > 10 {
		t.Errorf("%d requests in a second at a rate of 9", admitted)
	}
}

// Load: of two accounts of 20 a second, one sends ten times its rate through five VMs, the
// other 60% of it. From the fifth second on the owner changes each 0.6 s: either to a VM
// that has just been restarted, or back and forth between two, as when one is suspected and
// taken back. All VMs lease to all, since each owns other accounts.
func TestPoolBoundsAFloodThroughOwnersThatTakeTurns(t *testing.T) {
	const vms = 5
	type reply struct {
		from  *Pool
		level float64
		at    time.Time
	}
	quota := Quota{Rate: 20, Burst: 20}
	for _, restarts := range []bool{true, false} {
		f := &poolFleet{now: time.Unix(1000, 0)}
		started := f.now.Add(-time.Hour)
		owners := []*Pool{NewPool(started, poolOverage), NewPool(started, poolOverage)}
		owner := owners[0]
		replies := map[string]reply{}
		take := func(account string, vm int) bool {
			key := fmt.Sprint(account, vm)
			if last := replies[key]; last.from != nil && last.from != owner {
				owner.Observe(f.now, account, quota, vms, Observation{Level: last.level, Age: f.now.Sub(last.at)})
			}
			ok, _ := owner.Take(f.now, account, quota, vms)
			replies[key] = reply{owner, owner.Level(account), f.now}
			return ok
		}
		random := rand.New(rand.NewPCG(7, 8))
		refused := 0
		for step := range 3000 { // of 5 ms
			if step >= 1000 && step%120 == 0 {
				next := step / 120 % 2
				if restarts {
					owners[next] = NewPool(f.now, poolOverage)
				}
				owner = owners[next]
			}
			for vm := range vms {
				for _, o := range owners {
					o.RecordLease(f.now, string(rune('a'+vm)))
				}
			}
			if take("flood", random.IntN(vms)) {
				f.taken = append(f.taken, f.now)
			}
			if random.Float64() < 0.06 && !take("within its rate", random.IntN(vms)) {
				refused++
			}
			f.now = f.now.Add(5 * time.Millisecond)
		}
		if mostTaken, bound := f.mostTaken(), poolBound(quota); mostTaken > bound {
			t.Errorf("restarts %v: %d requests in 5 s, and %d are allowed", restarts, mostTaken, bound)
		}
		if refused > 0 {
			t.Errorf("restarts %v: %d requests within the rate are refused", restarts, refused)
		}
		if least := 15 * 20 * 8 / 10; len(f.taken) < least {
			t.Errorf("restarts %v: %d requests in 15 s, want %d or more", restarts, len(f.taken), least)
		}
	}
}
