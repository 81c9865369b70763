package health

import (
	"math"
	"time"

	"lacewingmount.dev/wire"
)

const (
	// LatencyBuckets is the number of latency buckets. Each bound is the
	// previous one times the square root of three, so two buckets are a factor of 3.
	LatencyBuckets     = 20
	bucketsPerTripling = 2
	bucket0UpperBound  = 5 * time.Millisecond // upper bound of bucket 0; callers do not notice differences below it
)

var lowerBounds = makeLowerBounds()

func makeLowerBounds() [LatencyBuckets]time.Duration {
	var bounds [LatencyBuckets]time.Duration
	for b := 1; b < LatencyBuckets; b++ {
		bounds[b] = time.Duration(float64(bucket0UpperBound) * math.Pow(3, float64(b-1)/bucketsPerTripling))
	}
	return bounds
}

// LatencyBucket returns the index of the latency bucket that d falls into.
func LatencyBucket(d time.Duration) int {
	b := LatencyBuckets - 1
	for b > 0 && d < lowerBounds[b] {
		b--
	}
	return b
}

// BucketLowerBound returns the lowest latency that falls into bucket b.
func BucketLowerBound(b int) time.Duration { return lowerBounds[b] }

// Counts holds the numbers of requests to one server by outcome. Each request is
// counted once.
type Counts struct {
	Answered [LatencyBuckets]uint32 // complete responses, by latency
	Pending  [LatencyBuckets]uint32 // no response after at least this time (stalled or cancelled)
	Doubtful [LatencyBuckets]uint32 // as Pending, but possibly due to a dead reused connection
	Failed   uint32
	Shed     uint32 // rejected by the server without running them
}

// since returns the increase from earlier to c. It is correct across the
// wraparound of the counters.
func (c *Counts) since(earlier *Counts) Counts {
	added := Counts{Failed: c.Failed - earlier.Failed, Shed: c.Shed - earlier.Shed}
	for b := range LatencyBuckets {
		added.Answered[b] = c.Answered[b] - earlier.Answered[b]
		added.Pending[b] = c.Pending[b] - earlier.Pending[b]
		added.Doubtful[b] = c.Doubtful[b] - earlier.Doubtful[b]
	}
	return added
}

// answered returns the number of complete responses.
func (c *Counts) answered() uint32 {
	var sum uint32
	for _, count := range c.Answered {
		sum += count
	}
	return sum
}

// observations returns the number of requests that count in the tests. Rejected
// (shed) requests do not.
func (c *Counts) observations() uint32 {
	sum := c.answered() + c.Failed
	for b := range LatencyBuckets {
		sum += c.Pending[b] + c.Doubtful[b]
	}
	return sum
}

// changedBuckets lists the buckets in which now differs from acknowledged.
func changedBuckets(now, acknowledged *[LatencyBuckets]uint32) []wire.BucketCount {
	var list []wire.BucketCount
	for b := range LatencyBuckets {
		if now[b] != acknowledged[b] {
			list = append(list, wire.BucketCount{uint32(b), now[b]})
		}
	}
	return list
}

// apply overwrites the totals with those of a report.
func (c *Counts) apply(report *wire.ServerReport) {
	applyBuckets(&c.Answered, report.Answered)
	applyBuckets(&c.Pending, report.Pending)
	applyBuckets(&c.Doubtful, report.Doubtful)
	c.Failed, c.Shed = report.Failed, report.Shed
}

func applyBuckets(totals *[LatencyBuckets]uint32, list []wire.BucketCount) {
	for _, item := range list {
		if item[0] < LatencyBuckets {
			totals[item[0]] = item[1]
		}
	}
}
