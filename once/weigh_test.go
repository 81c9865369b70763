package once

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// storageCost is the cost of one way to store claims at one rate of claims.
type storageCost struct {
	writes, reads, bytes float64 // per second, of the whole fleet
	p50, p99             time.Duration
	feasible             bool
}

const (
	simulatedTime     = 20 * time.Second
	storedAnswerBytes = 300 // size of a stored answer
	storeCallTime     = 5 * time.Millisecond
)

// ringLogCost measures the ring log: claims arrive at random at the given mean rate, in
// claims per second over all buckets, and each is settled 20 ms after its grant.
// storedBytes is what a new owner of all buckets reads.
func ringLogCost(rate int, settings Settings) (cost storageCost, storedBytes int) {
	var waits []time.Duration
	for bucket := range BucketCount {
		s := newSim(uint64(bucket+1), 1, settings)
		s.faults = false
		s.agents[0].skew = 0
		end := s.now.Add(simulatedTime)
		for n := 1; ; n++ {
			at := time.Duration(s.random.ExpFloat64()*float64(time.Second)*BucketCount/float64(rate)) + s.lastArrival
			if at > simulatedTime {
				break
			}
			s.lastArrival = at
			s.after(at, func() { s.claimOnce(n, &waits) })
		}
		s.runUntil(end)
		cost.writes += float64(s.store.writes)
		cost.reads += float64(s.store.reads)
		cost.bytes += float64(s.store.bytes)
		for _, stored := range s.store.values {
			storedBytes += len(stored.Value)
		}
	}
	seconds := simulatedTime.Seconds()
	cost.writes, cost.reads, cost.bytes = cost.writes/seconds, cost.reads/seconds, cost.bytes/seconds
	slices.Sort(waits)
	cost.p50, cost.p99 = waits[len(waits)/2], waits[len(waits)*99/100]
	cost.feasible = true
	return cost, storedBytes
}

// claimOnce claims a new key, appends the time until the grant to waits and settles the
// attempt.
func (s *sim) claimOnce(n int, waits *[]time.Duration) {
	key := &simKey{timestamp: s.now}
	binary.BigEndian.PutUint64(key.id[:], uint64(n))
	attempt := &simAttempt{key: key, attemptID: testHash(n), probe: true}
	claimedAt := s.now
	attempt.onVerdict = func(verdict Verdict) {
		if verdict != Granted {
			return
		}
		*waits = append(*waits, s.now.Sub(claimedAt))
		s.after(20*time.Millisecond, func() { s.settle(attempt, Settlement{Kept: make([]byte, storedAnswerBytes)}, 0) })
	}
	agent := s.agents[0]
	ticket := uint64(len(s.calls) + 1)
	s.calls[ticket] = attempt
	agent.do(func() {
		agent.bucket.Acquire()
		agent.bucket.Claim(agent.clock(), ticket, Claim{ID: key.id, Timestamp: key.timestamp, Attempt: attempt.attemptID})
	})
}

// wholeBucketCost is the cost of rewriting a whole bucket with each compare-and-swap:
// as many writes as the log, each with all claims of the window.
func wholeBucketCost(rate int, log storageCost, settings Settings) storageCost {
	held := float64(rate) * settings.Window.MaxAge.Seconds() / BucketCount
	size := held * (recordBytes + storedAnswerBytes)
	log.bytes, log.feasible = log.writes*size, size < 1<<20
	return log
}

// keyPerClaimCost is the cost of one store key for each claim, which is created, read and
// swapped, and deleted after the window.
func keyPerClaimCost(rate int) storageCost {
	r := float64(rate)
	return storageCost{
		writes: 3 * r, reads: r, bytes: r * (2*recordBytes + storedAnswerBytes),
		p50: storeCallTime, p99: 2 * storeCallTime, feasible: true,
	}
}

// TestWeighWaysToStoreClaims compares the costs of the ways to store claims at several
// rates. The table is also in docs/DESIGN.md.
func TestWeighWaysToStoreClaims(t *testing.T) {
	settings := DefaultSettings
	const storeWrites = 300 // writes per second: the store can do several hundred, and other uses need some of them
	var table strings.Builder
	fmt.Fprintf(&table, "%8s %-14s %10s %10s %12s %8s %8s\n", "claims/s", "way", "writes/s", "reads/s", "bytes/s", "p50 ms", "p99 ms")
	row := func(rate int, way string, cost storageCost) {
		note := ""
		if !cost.feasible {
			note = "  value over 1 MiB"
		}
		if cost.writes > storeWrites {
			note += "  over the store's writes"
		}
		fmt.Fprintf(&table, "%8d %-14s %10.1f %10.1f %12.0f %8.1f %8.1f%s\n", rate, way, cost.writes, cost.reads, cost.bytes,
			cost.p50.Seconds()*1000, cost.p99.Seconds()*1000, note)
	}
	for _, rate := range []int{1, 20, 200, 2000} {
		cost, storedBytes := ringLogCost(rate, settings)
		row(rate, "key a claim", keyPerClaimCost(rate))
		row(rate, "whole bucket", wholeBucketCost(rate, cost, settings))
		row(rate, "ring log", cost)
		fmt.Fprintf(&table, "%8s ring log: %d bytes in the store after %s\n", "", storedBytes, simulatedTime)
		if cost.writes > storeWrites {
			t.Errorf("%d claims/s need %.0f writes/s", rate, cost.writes)
		}
	}
	goldie.New(t).Assert(t, "weigh", []byte(table.String()))
}
