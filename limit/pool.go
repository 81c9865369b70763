package limit

import (
	"time"
)

const (
	poolLeaseTTL      = 1600 * time.Millisecond // a VM renews its lease every 500 ms; three messages may be lost
	poolInitialShare  = 1.0 / 3                 // part of the overage that a new bucket holds at most; three owners that know nothing of each other may follow within a window
	poolStartupWeight = 0.8                     // lowest weight until the VMs have had the time to lease; often all start at once
	poolIdleTimeout   = time.Minute             // an unused bucket is full long before it is deleted
	minPoolRetryAfter = 100 * time.Millisecond  // before a refused caller may retry
	maxPoolRetryAfter = 3 * time.Second         // callers wait up to a third of their time limit
	fallbackFraction  = 0.8                     // part of its own share that a VM uses while the owner does not answer
)

// Pool holds the buckets of a group of client accounts at the group's owner. Each VM
// leases its equal part of every account's rate and burst with each message; the
// buckets fill at the sum of the current leases. So two owners at once, each with
// the VMs that reach it, stay within the rate together.
type Pool struct {
	started  time.Time
	overage  Overage
	leasedAt map[string]time.Time // when a VM last leased its part
	buckets  map[string]*poolBucket
	spread   float64 // of the newest Retry-After by rank, 0 to 1
}

type poolBucket struct {
	level    float64
	filledAt time.Time
	ranks    *bucketRanks // nil until requests have a rank
}

// Overage is what the operators allow an account beyond its limit in any span of length
// Window: Fraction of the limit, and Requests.
type Overage struct {
	Window   time.Duration
	Fraction float64
	Requests int
}

// tokens returns the tokens beyond the limit in a window.
func (o Overage) tokens(quota Quota) float64 {
	return o.Fraction*(quota.Rate*o.Window.Seconds()+quota.Burst) + float64(o.Requests)
}

// NewPool returns the Pool of a process that started at the given time.
func NewPool(started time.Time, overage Overage) *Pool {
	return &Pool{started: started, overage: overage, leasedAt: map[string]time.Time{}, buckets: map[string]*poolBucket{}}
}

// RecordLease records that the VM leases its part to this pool until poolLeaseTTL from now.
func (p *Pool) RecordLease(now time.Time, vm string) { p.leasedAt[vm] = now }

// weight is the fraction of the whole rate that is leased, given the number of VMs.
func (p *Pool) weight(now time.Time, vms int) float64 {
	for vm, leased := range p.leasedAt {
		if now.Sub(leased) > poolLeaseTTL {
			delete(p.leasedAt, vm)
		}
	}
	weight := min(1, float64(len(p.leasedAt))/float64(max(1, vms)))
	if now.Sub(p.started) < poolLeaseTTL {
		return max(weight, poolStartupWeight)
	}
	return weight
}

// Take takes one token of the account. If there is none, it returns how long until
// there is one, within the bounds for callers.
func (p *Pool) Take(now time.Time, account string, quota Quota, vms int) (ok bool, retryAfter time.Duration) {
	return p.take(now, account, quota, p.weight(now, vms), nil)
}

// TakeRanked takes one token for a request of a rank; 0 is the highest. While the account is
// over its rate, its requests of higher ranks get tokens first.
func (p *Pool) TakeRanked(now time.Time, account string, quota Quota, vms, rank int) (ok bool, retryAfter time.Duration) {
	return p.take(now, account, quota, p.weight(now, vms), &rank)
}

// TakeLocal takes a token for a request of a rank out of this VM's own part, for the time in
// which the owner does not answer and so does not use it.
func (p *Pool) TakeLocal(now time.Time, account string, quota Quota, vms, rank int) (ok bool, retryAfter time.Duration) {
	return p.take(now, account, quota, fallbackFraction/float64(max(1, vms)), &rank)
}

// take takes a token for a request; rank is nil if it is not known.
func (p *Pool) take(now time.Time, account string, quota Quota, weight float64, rank *int) (bool, time.Duration) {
	if quota.Rate <= 0 {
		return true, 0
	}
	rate, size := quota.Rate*weight, max(1, quota.Burst*weight)
	bucket := p.buckets[account]
	if bucket == nil {
		bucket = p.newBucket(now, account, p.initialLevel(quota, weight))
	}
	gained := 0.0
	if elapsed := now.Sub(bucket.filledAt); elapsed > 0 {
		gained = rate * elapsed.Seconds()
		bucket.level += gained
		bucket.filledAt = now
	}
	bucket.level = min(bucket.level, size)
	required := 1.0
	if rank != nil {
		required += bucket.keepFor(now, *rank, gained, size)
	}
	if bucket.level >= required {
		bucket.level--
		bucket.countGrant(rank)
		return true, 0
	}
	bucket.countRefusal(now)
	if rate <= 0 {
		return false, maxPoolRetryAfter
	}
	wait := time.Duration((required - bucket.level) / rate * float64(time.Second))
	if rank != nil && bucket.ranks.inForce {
		return false, p.rankedRetryAfter(wait + bucket.ranks.backlog(now, *rank, rate))
	}
	return false, min(maxPoolRetryAfter, max(minPoolRetryAfter, wait))
}

func (p *Pool) initialLevel(quota Quota, weight float64) float64 {
	return max(1, poolInitialShare*weight*p.overage.tokens(quota))
}

func (p *Pool) newBucket(now time.Time, account string, level float64) *poolBucket {
	p.removeIdle(now)
	bucket := &poolBucket{level: level, filledAt: now}
	p.buckets[account] = bucket
	return bucket
}

// Observation is what a VM knows of an account's bucket at another owner.
type Observation struct {
	Level float64       // tokens left
	Age   time.Duration // since that owner's reply
}

// Level returns the tokens in the account's bucket after its last use.
func (p *Pool) Level(account string) float64 {
	if bucket := p.buckets[account]; bucket != nil {
		return bucket.level
	}
	return 0
}

// Observe limits the account's bucket to what another owner's held, if that owner was
// asked later than this one. Otherwise each change of owner would add tokens. An
// observation older than the overage's window is ignored.
func (p *Pool) Observe(now time.Time, account string, quota Quota, vms int, seen Observation) {
	if !(seen.Level >= 0) || seen.Age < 0 || seen.Age > p.overage.Window {
		return // also if the level is not a number
	}
	level, weight := seen.Level+quota.Rate*seen.Age.Seconds(), p.weight(now, vms)
	bucket := p.buckets[account]
	if bucket == nil {
		p.newBucket(now, account, min(level, p.initialLevel(quota, weight)))
		return
	}
	if unused := now.Sub(bucket.filledAt); unused > seen.Age {
		bucket.level = min(level, bucket.level+quota.Rate*weight*unused.Seconds())
		if bucket.ranks != nil {
			bucket.ranks.plain = min(bucket.ranks.plain, bucket.level)
		}
		bucket.filledAt = now
	}
}

func (p *Pool) removeIdle(now time.Time) {
	for account, bucket := range p.buckets {
		if now.Sub(bucket.filledAt) > poolIdleTimeout {
			delete(p.buckets, account)
		}
	}
}
