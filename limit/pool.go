package limit

import (
	"time"
)

const (
	poolLeaseTTL      = 1600 * time.Millisecond // a VM lends its right with a message each 500 ms; three may be lost
	poolInitialFill   = 300 * time.Millisecond  // of the rate in a bucket that has just been created
	poolStartupWeight = 0.8                     // of all rights, until the VMs have had the time to lend; often all start at once
	poolIdleTimeout   = time.Minute             // an unused bucket is full long before
	minPoolRetryAfter = 100 * time.Millisecond  // before a refused caller may come back
	maxPoolRetryAfter = 3 * time.Second         // callers wait up to a third of their time
	fallbackFraction  = 0.8                     // part of its own right that a VM uses while its home is silent
)

// Pool holds the buckets of a group of client accounts at the group's home. Each
// VM lends its equal part of every account's rate and burst with each message;
// the buckets fill at the sum of the parts that are lent at present. So two
// homes at once, each with the VMs that reach it, stay within the rate together.
type Pool struct {
	started  time.Time
	leasedAt map[string]time.Time // when a VM lent its right
	buckets  map[string]*poolBucket
}

type poolBucket struct {
	level    float64
	filledAt time.Time
}

// NewPool returns the Pool of a process that started then.
func NewPool(started time.Time) *Pool {
	return &Pool{started: started, leasedAt: map[string]time.Time{}, buckets: map[string]*poolBucket{}}
}

// Lend says that the VM has lent its right until poolLend from now.
func (p *Pool) Lend(now time.Time, vm string) { p.leasedAt[vm] = now }

// weight is the part of all rights that is lent, of so many VMs.
func (p *Pool) weight(now time.Time, vms int) float64 {
	for vm, lent := range p.leasedAt {
		if now.Sub(lent) > poolLeaseTTL {
			delete(p.leasedAt, vm)
		}
	}
	weight := min(1, float64(len(p.leasedAt))/float64(max(1, vms)))
	if now.Sub(p.started) < poolLeaseTTL {
		return max(weight, poolStartupWeight)
	}
	return weight
}

// Take takes one token of the account. If there is none, it returns when there will be one.
func (p *Pool) Take(now time.Time, account string, quota Quota, vms int) (ok bool, retryAfter time.Duration) {
	return p.take(now, account, quota, p.weight(now, vms))
}

// TakeOwn takes a token out of this VM's own right, for the time in which the
// home is silent and so does not use it.
func (p *Pool) TakeOwn(now time.Time, account string, quota Quota, vms int) (ok bool, retryAfter time.Duration) {
	return p.take(now, account, quota, fallbackFraction/float64(max(1, vms)))
}

func (p *Pool) take(now time.Time, account string, quota Quota, weight float64) (bool, time.Duration) {
	if quota.Rate <= 0 {
		return true, 0
	}
	rate, size := quota.Rate*weight, max(1, quota.Burst*weight)
	bucket := p.buckets[account]
	if bucket == nil {
		p.forget(now)
		bucket = &poolBucket{level: max(1, rate*poolInitialFill.Seconds()), filledAt: now}
		p.buckets[account] = bucket
	}
	if elapsed := now.Sub(bucket.filledAt); elapsed > 0 {
		bucket.level += rate * elapsed.Seconds()
		bucket.filledAt = now
	}
	bucket.level = min(bucket.level, size)
	if bucket.level >= 1 {
		bucket.level--
		return true, 0
	}
	if rate <= 0 {
		return false, maxPoolRetryAfter
	}
	wait := time.Duration((1 - bucket.level) / rate * float64(time.Second))
	return false, min(maxPoolRetryAfter, max(minPoolRetryAfter, wait))
}

func (p *Pool) forget(now time.Time) {
	for account, bucket := range p.buckets {
		if now.Sub(bucket.filledAt) > poolIdleTimeout {
			delete(p.buckets, account)
		}
	}
}
