package health

import (
	"math"
	"time"

	"lacewingmount.dev/wire"
)

const (
	// Buckets is the number of latency buckets. Each is wider than the one
	// below by the square root of three, so that two buckets are a factor of 3.
	Buckets            = 20
	bucketsPerTripling = 2
	bucket0UpperBound  = 5 * time.Millisecond // upper bound of bucket 0; less does not matter to callers
)

var lowerBounds = makeLowerBounds()

func makeLowerBounds() [Buckets]time.Duration {
	var bounds [Buckets]time.Duration
	for b := 1; b < Buckets; b++ {
		bounds[b] = time.Duration(float64(bucket0UpperBound) * math.Pow(3, float64(b-1)/bucketsPerTripling))
	}
	return bounds
}

// Bucket returns the latency bucket of d.
func Bucket(d time.Duration) int {
	b := Buckets - 1
	for b > 0 && d < lowerBounds[b] {
		b--
	}
	return b
}

// LowerBound returns the lowest latency in bucket b.
func LowerBound(b int) time.Duration { return lowerBounds[b] }

// Counts is how requests ended at one server. Each request is counted once.
type Counts struct {
	Answered [Buckets]uint32 // whole answers by latency
	Pending  [Buckets]uint32 // no answer after at least this time: stalled or cancelled
	Doubtful [Buckets]uint32 // likewise, but the connection may have gone silent
	Failed   uint32
	Shed     uint32 // not run, by the server's own account
}

// since returns what was added after earlier. Counts wrap around.
func (c *Counts) since(earlier *Counts) Counts {
	added := Counts{Failed: c.Failed - earlier.Failed, Shed: c.Shed - earlier.Shed}
	for b := range Buckets {
		added.Answered[b] = c.Answered[b] - earlier.Answered[b]
		added.Pending[b] = c.Pending[b] - earlier.Pending[b]
		added.Doubtful[b] = c.Doubtful[b] - earlier.Doubtful[b]
	}
	return added
}

// answered returns the number of whole answers.
func (c *Counts) answered() uint32 {
	var sum uint32
	for _, count := range c.Answered {
		sum += count
	}
	return sum
}

// observations returns the number of requests that the tests use.
func (c *Counts) observations() uint32 {
	sum := c.answered() + c.Failed
	for b := range Buckets {
		sum += c.Pending[b] + c.Doubtful[b]
	}
	return sum
}

// changes lists the buckets in which now differs from acknowledged.
func changedBuckets(now, acknowledged *[Buckets]uint32) []wire.BucketCount {
	var list []wire.BucketCount
	for b := range Buckets {
		if now[b] != acknowledged[b] {
			list = append(list, wire.BucketCount{uint32(b), now[b]})
		}
	}
	return list
}

// apply takes over the totals of a report.
func (c *Counts) apply(report *wire.ServerReport) {
	applyBuckets(&c.Answered, report.Answered)
	applyBuckets(&c.Pending, report.Pending)
	applyBuckets(&c.Doubtful, report.Doubtful)
	c.Failed, c.Shed = report.Failed, report.Shed
}

func applyBuckets(totals *[Buckets]uint32, list []wire.BucketCount) {
	for _, item := range list {
		if item[0] < Buckets {
			totals[item[0]] = item[1]
		}
	}
}
