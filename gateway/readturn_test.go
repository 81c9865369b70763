package gateway

import (
	"math/rand/v2"
	"testing"
	"time"
)

// readingFleet plays the reads of all VMs in steps of 1 ms. A successful read updates
// all VMs after spreadTime.
type readingFleet struct {
	now      time.Duration
	syncedAt time.Duration // of the contents that all VMs have
	pending  []time.Duration
	next     []time.Duration // time before which a VM does not read again, by rank
	failures []int
	reads    int
	random   *rand.Rand
}

const spreadTime = 10 * time.Millisecond // of an update to all VMs: the store's answer and three hops

func newReadingFleet(vms int) *readingFleet {
	return &readingFleet{next: make([]time.Duration, vms), failures: make([]int, vms), random: rand.New(rand.NewPCG(1, 1))}
}

// run plays the span; store returns whether a read of the VM is answered, and when it ends.
func (f *readingFleet) run(span time.Duration, store func(turn readTurn) (answered bool, took time.Duration)) {
	for end := f.now + span; f.now < end; f.now += time.Millisecond {
		for len(f.pending) > 0 && f.now-f.pending[0] >= spreadTime {
			f.syncedAt, f.pending = f.pending[0], f.pending[1:]
		}
		for rank := range f.next {
			turn := readTurn{rank: rank}
			if f.now < f.next[rank] || f.now-f.syncedAt < turn.silence() {
				continue
			}
			f.reads++
			answered, took := store(turn)
			if answered {
				f.failures[rank] = 0
				f.pending = append(f.pending, f.now)
				f.next[rank] = f.now + watchInterval
				continue
			}
			f.failures[rank]++
			f.next[rank] = f.now + took + turn.retryDelay(f.failures[rank], f.random.Float64())
		}
	}
}

func storeAnswers(readTurn) (bool, time.Duration) { return true, 0 }

func storeRefuses(readTurn) (bool, time.Duration) { return false, 0 }

// Load: reads that wait for a change of the store hang for 1.1 s, as on the users' large
// deployment of 292 VMs while the store dropped its history. One VM takes over from the
// reader; there, all others read, and each listed the whole store.
func TestOneVMTakesOverFromAHangingReader(t *testing.T) {
	f := newReadingFleet(292)
	f.run(2*time.Second, storeAnswers)
	f.reads = 0
	f.run(2500*time.Millisecond, func(turn readTurn) (bool, time.Duration) { return turn.wait() == 0, watchWait + storeTimeout })
	if f.reads < 2 || f.reads > 8 {
		t.Errorf("%d reads in 2.5 s, want those of the reader and of one or two other VMs", f.reads)
	}
}

// Load: the store turns all 292 VMs away for 9 s, as it does those that are over its
// rates. It must not get a call from each of them every 0.25 s: 10,500.
func TestTurnedAwayVMsBackOff(t *testing.T) {
	f := newReadingFleet(292)
	f.run(2*time.Second, storeAnswers)
	f.reads = 0
	f.run(9*time.Second, storeRefuses)
	if perVM := float64(f.reads) / 292; perVM > 9 {
		t.Errorf("%.1f calls per VM in 9 s, want at most one a second", perVM)
	}
	back := f.now
	f.run(time.Second, storeAnswers)
	if f.syncedAt < back || f.syncedAt > back+time.Second {
		t.Error("the VMs are not updated within a second after the store's return")
	}
	f.run(time.Second, storeAnswers)
	f.reads = 0
	f.run(time.Second, storeAnswers)
	if f.reads > 4 {
		t.Errorf("%d reads in a second after the outage, want those of one reader", f.reads)
	}
}

// Load: none of the updates reaches a VM. It reads the store within 2.2 s, whatever its
// rank, so that a configuration is in force there within the users' 3 s.
func TestEveryVMReadsForItselfInTheEnd(t *testing.T) {
	for rank := range 900 {
		if silence := (readTurn{rank: rank}).silence(); silence > 2200*time.Millisecond {
			t.Fatalf("rank %d reads after %v without updates", rank, silence)
		}
	}
}
