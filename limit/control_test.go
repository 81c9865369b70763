package limit

import (
	"testing"
	"time"
)

// saturate sends several times the account's rate, evenly over all VMs.
func (f *fleet) saturate(account string, factor float64) {
	rate := f.quotas[account].Rate * factor
	var next func()
	next = func() {
		f.nodes[f.random.IntN(len(f.nodes))].arrive(account)
		f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
}

const halfFleet = 8

// cutHalves cuts the network between two halves of the fleet, in both directions, from
// 5 s to 25 s.
func cutHalves(f *fleet) {
	f.net.cut = func(from, to int) bool {
		return (from < halfFleet) != (to < halfFleet) && f.now > 5*time.Second && f.now < 25*time.Second
	}
}

// pauseTokenHolders pauses VMs that hold tokens for longer than any duration of the
// protocol. When a VM resumes, a burst at the others has just emptied the full bucket.
func pauseTokenHolders(f *fleet) {
	burst := func(n *node, requests int) {
		for range requests {
			n.arrive("a")
		}
	}
	for i, n := range f.nodes {
		start := time.Duration(i)*4*time.Second + 2*time.Second
		f.at(start, func() {
			n.hold = 200 * time.Millisecond
			burst(n, 10)
		})
		f.at(start+20*time.Millisecond, func() { n.pause(3 * time.Second) })
		for before := range 6 {
			f.at(start+3*time.Second-time.Duration(before)*50*time.Millisecond, func() {
				for _, other := range f.nodes {
					burst(other, 3)
				}
			})
		}
	}
}

var longLeaseTiming = Timing{Lease: 3 * time.Second, TokenTTL: 400 * time.Millisecond}

// directedSchedules each make one fault of the protocol visible: the load uses every
// token, or the bucket is full whenever an expired token is used.
var directedSchedules = []struct {
	name    string
	timing  Timing
	load    float64 // of the account's rate
	faults  func(*fleet)
	control func(*fleet) // removes one part of the protocol
}{
	{"two-way cut", longLeaseTiming, 3, cutHalves, func(f *fleet) { f.leasesBeforeExpiry = true }},
	{"paused holders", DefaultTiming, 0.3, pauseTokenHolders, func(f *fleet) { f.skipsExpiryCheck = true }},
}

func runDirectedSchedule(timing Timing, load float64, setUp ...func(*fleet)) *fleet {
	f := newFleet(newSimulation(20261204), 2*halfFleet, timing, map[string]Quota{"a": {Rate: 96, Burst: 20}}, slewError)
	for _, change := range setUp {
		change(f)
	}
	f.saturate("a", load)
	f.runUntil(30 * time.Second)
	return f
}

// TestProofRateDirected checks the bound on schedules in which the negative controls
// below exceed it.
func TestProofRateDirected(t *testing.T) {
	for _, c := range directedSchedules {
		t.Run(c.name, func(t *testing.T) {
			m := runDirectedSchedule(c.timing, c.load, c.faults).meters["a"]
			if m.overBound > 0 || m.admitted < 500 {
				t.Fatalf("%d over, %d admitted", m.overBound, m.admitted)
			}
		})
	}
}

// TestControlRateDirected shows that the same check fails if one part of the protocol
// is removed.
func TestControlRateDirected(t *testing.T) {
	for _, c := range directedSchedules {
		t.Run(c.name, func(t *testing.T) {
			m := runDirectedSchedule(c.timing, c.load, c.faults, c.control).meters["a"]
			t.Logf("%d requests over the bound, %d admitted", m.overBound, m.admitted)
			if m.overBound == 0 {
				t.Fatal("the check passes although one part of the protocol is removed")
			}
		})
	}
}

// TestControlRateEachVM shows that the check fails if each VM applies the whole rate.
func TestControlRateEachVM(t *testing.T) {
	s := newSimulation(20261204)
	quota := Quota{Rate: 96, Burst: 20}
	m := newMeter(quota)
	buckets := make([]centralBucket, halfFleet)
	for i := range buckets {
		buckets[i].meter = *newMeter(quota)
	}
	for range 96 * 3 * 30 {
		s.now += time.Duration(s.random.ExpFloat64() / (96 * 3) * float64(time.Second))
		if buckets[s.random.IntN(len(buckets))].admit(s.now) {
			m.use(s.now)
		}
	}
	t.Logf("%d requests over the bound, %d admitted", m.overBound, m.admitted)
	if m.overBound == 0 {
		t.Fatal("the check passes although each VM applies the whole rate")
	}
}
