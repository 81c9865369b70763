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

// load is what one way to store claims costs at one rate of claims.
type load struct {
	writes, reads, bytes float64 // per second, of the whole fleet
	half, most           time.Duration
	feasible             bool
}

const (
	weighTime   = 20 * time.Second
	storedAnswerBytes = 300 // of a kept answer
	callOfStore = 5 * time.Millisecond
)

// logLoad drives all buckets of the ring log with claims at a steady rate, each
// settled 20 ms after it was granted.
func logLoad(rate int, settings Settings) (cost load, takeover int) {
	var waits []time.Duration
	for bucket := range Buckets {
		s := newSim(uint64(bucket+1), 1, settings)
		s.faults = false
		s.agents[0].skew = 0
		end := s.now.Add(weighTime)
		for n := 1; ; n++ {
			at := time.Duration(s.random.ExpFloat64()*float64(time.Second)*Buckets/float64(rate)) + s.lastArrival
			if at > weighTime {
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
			takeover += len(stored.Value)
		}
	}
	seconds := weighTime.Seconds()
	cost.writes, cost.reads, cost.bytes = cost.writes/seconds, cost.reads/seconds, cost.bytes/seconds
	slices.Sort(waits)
	cost.half, cost.most = waits[len(waits)/2], waits[len(waits)*99/100]
	cost.feasible = true
	return cost, takeover
}

// claimOnce claims a new key, notes the wait for the grant and settles it.
func (s *sim) claimOnce(n int, waits *[]time.Duration) {
	key := &simKey{stamp: s.now}
	binary.BigEndian.PutUint64(key.id[:], uint64(n))
	attempt := &simAttempt{key: key, short: shortOf(n), probe: true}
	asked := s.now
	attempt.onVerdict = func(verdict Verdict) {
		if verdict != Granted {
			return
		}
		*waits = append(*waits, s.now.Sub(asked))
		s.after(20*time.Millisecond, func() { s.settle(attempt, Settlement{Kept: make([]byte, storedAnswerBytes)}, 0) })
	}
	agent := s.agents[0]
	ticket := uint64(len(s.calls) + 1)
	s.calls[ticket] = attempt
	agent.do(func() {
		agent.bucket.Take()
		agent.bucket.Claim(agent.clock(), ticket, Claim{ID: key.id, Stamp: key.stamp, Attempt: attempt.short})
	})
}

// wholeLoad is the cost of writing the value of a whole bucket with each
// compare-and-swap: the same writes as the log, each as large as the window.
func wholeLoad(rate int, log load, settings Settings) load {
	held := float64(rate) * settings.Window.Past.Seconds() / Buckets
	size := held * (recordBytes + storedAnswerBytes)
	log.bytes, log.feasible = log.writes*size, size < 1<<20
	return log
}

// singleLoad is the cost of one key for each claim: created, read and swapped,
// and deleted after the window.
func singleLoad(rate int) load {
	r := float64(rate)
	return load{
		writes: 3 * r, reads: r, bytes: r * (2*recordBytes + storedAnswerBytes),
		half: callOfStore, most: 2 * callOfStore, feasible: true,
	}
}

// TestWeighWaysToStoreClaims compares the ways at several rates; the table is in
// docs/DESIGN.md.
func TestWeighWaysToStoreClaims(t *testing.T) {
	settings := DefaultSettings
	const storeWrites = 300 // per second: several hundred, of which others need some
	var table strings.Builder
	fmt.Fprintf(&table, "%8s %-14s %10s %10s %12s %8s %8s\n", "claims/s", "way", "writes/s", "reads/s", "bytes/s", "p50 ms", "p99 ms")
	row := func(rate int, way string, cost load) {
		note := ""
		if !cost.feasible {
			note = "  value over 1 MiB"
		}
		if cost.writes > storeWrites {
			note += "  over the store's writes"
		}
		fmt.Fprintf(&table, "%8d %-14s %10.1f %10.1f %12.0f %8.1f %8.1f%s\n", rate, way, cost.writes, cost.reads, cost.bytes,
			cost.half.Seconds()*1000, cost.most.Seconds()*1000, note)
	}
	for _, rate := range []int{1, 20, 200, 2000} {
		cost, takeover := logLoad(rate, settings)
		row(rate, "key a claim", singleLoad(rate))
		row(rate, "whole bucket", wholeLoad(rate, cost, settings))
		row(rate, "ring log", cost)
		fmt.Fprintf(&table, "%8s ring log: %d bytes in the store after %s\n", "", takeover, weighTime)
		if cost.writes > storeWrites {
			t.Errorf("%d claims/s need %.0f writes/s", rate, cost.writes)
		}
	}
	goldie.New(t).Assert(t, "weigh", []byte(table.String()))
}
