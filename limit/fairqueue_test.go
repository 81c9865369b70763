package limit

import (
	"fmt"
	"testing"
	"time"
)

const (
	queueSlots        = 6
	queueAccounts     = 8
	queueServiceTime  = 25 * time.Millisecond
	queueDeadline     = 500 * time.Millisecond
	queueRunTime      = 30 * time.Second
	queueShare        = float64(queueSlots*time.Second) / float64(queueServiceTime) / queueAccounts // requests/s of one account
	minServedFraction = 0.95                                                                        // of the requests of an account within its part
)

// queueSimulation sends requests through a FairQueue: account 0 sends several times
// its equal part, the others 9/10 of theirs.
type queueSimulation struct {
	*simulation
	queue               *FairQueue[int]
	flow                func(account int) string
	arrived             map[int]time.Duration // of the requests that wait
	accountOf           map[int]int
	sent                [queueAccounts]int
	served              [queueAccounts]int
	late                int // served after their deadline
	longestRefusalDelay time.Duration
}

func runQueueSimulation(seed uint64, excess float64, flow func(int) string) *queueSimulation {
	s := &queueSimulation{simulation: newSimulation(seed), queue: NewFairQueue[int](queueSlots), flow: flow, arrived: map[int]time.Duration{}, accountOf: map[int]int{}}
	for account := range queueAccounts {
		factor := 0.9
		if account == 0 {
			factor = excess
		}
		s.arrivals(account, queueShare*factor)
	}
	s.runUntil(queueRunTime)
	return s
}

func (s *queueSimulation) clock() time.Time { return epoch.Add(s.now) }

func (s *queueSimulation) arrivals(account int, rate float64) {
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.arrivals(account, rate)
		request := len(s.accountOf)
		s.accountOf[request], s.arrived[request] = account, s.now
		s.sent[account]++
		decided := s.queue.Admit(s.flow(account), request, s.clock().Add(queueDeadline), s.clock())
		switch decided.Admission {
		case AdmissionStart:
			s.start([]int{request})
		case AdmissionWait:
			s.at(decided.LatestStart.Sub(epoch), func() { s.refuse(account, request) })
		}
	})
}

func (s *queueSimulation) refuse(account, request int) {
	if s.queue.Cancel(s.flow(account), request) {
		s.longestRefusalDelay = max(s.longestRefusalDelay, s.now-s.arrived[request])
	}
}

func (s *queueSimulation) start(requests []int) {
	for _, request := range requests {
		account := s.accountOf[request]
		held := queueServiceTime/2 + time.Duration(s.random.Int64N(int64(queueServiceTime)))
		s.after(held, func() {
			s.served[account]++
			if s.now-s.arrived[request] > queueDeadline {
				s.late++
			}
			start, late := s.queue.Release(s.flow(account), held, s.clock())
			for _, other := range late {
				s.longestRefusalDelay = max(s.longestRefusalDelay, s.now-s.arrived[other])
			}
			s.start(start)
		})
	}
}

// worst is the smallest served fraction of requests among the accounts that stay
// within their part.
func (s *queueSimulation) worst() float64 {
	worst := 1.0
	for account := 1; account < queueAccounts; account++ {
		worst = min(worst, float64(s.served[account])/float64(s.sent[account]))
	}
	return worst
}

func flowPerAccount(account int) string { return fmt.Sprint(account) }
func sharedFlow(int) string             { return "" }

func TestProofRateFairQueue(t *testing.T) {
	for _, excess := range []float64{1, 5, 20} {
		s := runQueueSimulation(20261204, excess, flowPerAccount)
		total := 0
		for _, served := range s.served {
			total += served
		}
		t.Logf("one account at %.0f times its part: worst-served other account %.1f%%, %.1f%% of all slots used, %d of %d late",
			excess, 100*s.worst(), 100*float64(total)*queueServiceTime.Seconds()/queueSlots/queueRunTime.Seconds(), s.late, total)
		if s.worst() < minServedFraction {
			t.Errorf("an account within its part got only %.1f%%", 100*s.worst())
		}
		if s.longestRefusalDelay > queueDeadline {
			t.Errorf("a request was refused %v after it came, later than it was due", s.longestRefusalDelay)
		}
	}
}

// TestControlRateFairQueue shows that the check fails if all accounts share one flow.
func TestControlRateFairQueue(t *testing.T) {
	s := runQueueSimulation(20261204, 5, sharedFlow)
	t.Logf("worst-served account of a single queue: %.1f%%", 100*s.worst())
	if s.worst() >= minServedFraction {
		t.Fatal("the check passes although all accounts share one flow")
	}
}

func TestFairQueueChargesTheTimeThatSlotsAreHeld(t *testing.T) {
	q := NewFairQueue[int](1)
	now := epoch
	q.Admit("long", 0, time.Time{}, now)
	for range 64 { // long requests hold a slot ten times as long as short ones
		q.flow("long").holdTime.add(100 * time.Millisecond)
		q.flow("short").holdTime.add(10 * time.Millisecond)
		q.mean.add(50 * time.Millisecond)
	}
	for i := range 400 {
		q.Admit([]string{"long", "short"}[i%2], i+1, time.Time{}, now)
	}
	counts := map[string]int{}
	account := "long"
	for range 110 {
		start, _ := q.Release(account, map[string]time.Duration{"long": 100 * time.Millisecond, "short": 10 * time.Millisecond}[account], now)
		account = []string{"short", "long"}[start[0]%2]
		counts[account]++
	}
	if ratio := float64(counts["short"]) / float64(counts["long"]); ratio < 8 || ratio > 12 {
		t.Fatalf("%v: short requests should start about ten times as often as long ones", counts)
	}
}

func TestFairQueueRejectsWhatCannotEndInTime(t *testing.T) {
	q, now := NewFairQueue[int](1), epoch
	for range 64 {
		q.mean.add(100 * time.Millisecond)
	}
	deadline := now.Add(350 * time.Millisecond)
	for request, want := range []Admission{AdmissionStart, AdmissionWait, AdmissionWait, AdmissionReject} {
		if got := q.Admit("a", request, deadline, now).Admission; got != want {
			t.Fatalf("request %d: %v, want %v", request, got, want)
		}
	}
	if !q.Cancel("a", 2) || q.Cancel("a", 2) || q.Waiting() != 1 {
		t.Fatal("a waiting request must be cancelled exactly once")
	}
	start, late := q.Release("a", 100*time.Millisecond, now.Add(300*time.Millisecond))
	if len(start) != 0 || len(late) != 1 {
		t.Fatalf("started %v, late %v; the last request can no longer end in time", start, late)
	}
}

func TestConcurrencyLimitFallsToTheEntryShareAndRises(t *testing.T) {
	var c ConcurrencyLimit
	c.SetSlots(72, 48)
	if c.Limit() != 72 {
		t.Fatalf("limit %d while nothing is rejected, want all slots", c.Limit())
	}
	now := epoch
	for range 50 {
		now = now.Add(decreaseInterval)
		c.RecordRejection(c.Limit(), now)
	}
	if c.Limit() != 1 {
		t.Fatalf("limit %d after many rejections, want the equal part of 1.5 rounded down", c.Limit())
	}
	for range 5000 {
		c.RecordSuccess(true)
	}
	if c.Limit() != 72 {
		t.Fatalf("limit %d after many answers, want all slots", c.Limit())
	}
}
