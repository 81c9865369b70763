package placement

import (
	"fmt"
	"testing"
	"time"
)

// bookingLoad is the load of service B of docs/HARD-LOAD.md on a quarter of its servers: bookings
// and the billings that may go there. 29 servers with 4 slots have about 0.8 of the work that
// they can do.
func bookingLoad(seed uint64) *workload {
	return newWorkload(29, 4, seed,
		workKind{perSecond: 230, rank: 2, mean: 320 * time.Millisecond, spread: 0.8, longShare: 0.01, long: 5, target: 2 * time.Second, deadline: 6 * time.Second},
		workKind{perSecond: 30, rank: 0, mean: 220 * time.Millisecond, spread: 0.5, longShare: 0.01, long: 5, target: 800 * time.Millisecond, deadline: 5 * time.Second},
	)
}

// capacityLoads are faults of 8 s, with the factor of the arrivals meanwhile.
var capacityLoads = []struct {
	name    string
	factor  float64
	inTime  float64 // share of the calls that must be answered in time
	divisor int     // the fault is at every server whose index it divides
	change  func(*workServer)
}{
	{"burst of twice the capacity", 2.8, 0.56, 1, func(*workServer) {}},
	{"a third of the servers crashed", 1.3, 0.80, 3, func(s *workServer) { s.crashed = true }},
	{"a third of the servers silent", 1.3, 0.80, 3, func(s *workServer) { s.silent = true }},
	{"all servers turn half of the requests away", 1, 0.76, 1, func(s *workServer) { s.shedShare = 0.5 }},
	{"all servers turn half of the requests away, and some more requests", 1.2, 0.73, 1, func(s *workServer) { s.shedShare = 0.5 }},
	{"a third of the servers turns nine in ten requests away", 1.3, 0.81, 3, func(s *workServer) { s.shedShare = 0.9 }},
	{"a third of the servers at a third of their speed", 1.3, 0.88, 3, func(s *workServer) { s.speed = 1. / 3 }},
}

// runCapacityLoad sums the calls of some seeds from the begin of a fault on.
func runCapacityLoad(seeds, load int) workSummary {
	var total workSummary
	total.reasons = map[string]int{}
	fault := capacityLoads[load]
	for seed := range seeds {
		w := bookingLoad(uint64(seed + 1))
		w.run(8 * time.Second)
		from := w.now
		w.factor = fault.factor
		w.some(fault.divisor, fault.change)
		w.run(8 * time.Second)
		w.factor = 1
		w.some(1, func(s *workServer) { *s = workServer{speed: 1} })
		w.run(4 * time.Second)
		until := w.now
		w.run(7 * time.Second)
		s := w.summary(from, until)
		total.calls, total.inTime, total.late, total.lost = total.calls+s.calls, total.inTime+s.inTime, total.late+s.late, total.lost+s.lost
		total.atOnce, total.afterWaiting, total.worstKind, total.p99 = total.atOnce+s.atOnce, total.afterWaiting+s.afterWaiting, total.worstKind+s.worstKind/float64(seeds), max(total.p99, s.p99)
		for reason, n := range s.reasons {
			total.reasons[reason] += n
		}
	}
	return total
}

// Load: each of capacityLoads, which a quarter of service B of docs/HARD-LOAD.md gets. Servers that
// could not answer counted as capacity, so requests were queued and refused after they had
// waited. The bounds are of the refusals that come after more than an eighth of the target latency,
// and of the calls that are answered in time.
func TestRefusalsComeOnArrival(t *testing.T) {
	for i, load := range capacityLoads {
		s := runCapacityLoad(4, i)
		t.Logf("%s: %v", load.name, s)
		if share := s.lateRefusalShare(); share >= 0.1 {
			t.Errorf("%s: %.3f of the refusals came after waiting, want fewer than one in ten", load.name, share)
		}
		if inTime := s.inTimeShare(); inTime < load.inTime {
			t.Errorf("%s: %.3f of the calls were answered in time, want at least %.2f", load.name, inTime, load.inTime)
		}
	}
}

// Load: 290 requests a second to 29 servers with 116 slots, one of which two VMs could not reach for a
// moment. No share of the servers must stay in use. The server must be tried again although nothing has been
// heard of it, and must not be avoided for good.
func TestServerIsUsedAgainAfterItWasUnreachable(t *testing.T) {
	w := newWorkload(29, 4, 1, workKind{perSecond: 290, rank: 1, mean: 320 * time.Millisecond, spread: 0.5, target: 2 * time.Second, deadline: 6 * time.Second})
	w.run(5 * time.Second)
	w.broker.inUseFloor.share = -1
	w.servers["s007"].silent = true // no request of it may end meanwhile
	w.run(2 * time.Second)
	for vm := range downMinVMs {
		w.broker.Complete(w.now, RequestID{VM: fmt.Sprintf("vm%d", vm), Seq: 1 << 40}, "s007", Unreachable, 150*time.Millisecond)
	}
	w.servers["s007"].silent = false
	from := len(w.granted)
	w.run(20 * time.Second)
	count := 0
	for _, server := range w.granted[from:] {
		if server == "s007" {
			count++
		}
	}
	if expected := (len(w.granted) - from) / 29; count < expected/4 {
		t.Errorf("the server got %d requests in 20 s, an equal part is %d", count, expected)
	}
}
