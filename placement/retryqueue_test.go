package placement

import (
	"testing"
	"time"
)

// ledgerLoad makes the simulation's requests those of the ledger of the users' large
// deployment: 900 ms of work, answered late up to 25 s.
func ledgerLoad(sim *simulation) func(*Request) {
	sim.work = 900 * time.Millisecond
	sim.broker.retries.Allowance = 430
	return func(r *Request) {
		r.Left, r.Target, r.Account = 25*time.Second, 3*time.Second, []string{"a", "b", "c"}[r.ID.Seq%3]
	}
}

// Load: 530 requests a second to 257 servers, which all shed 55% for 8.5 s. The retry
// budget allows a third of the retries that this takes, so the others wait until it
// does. All requests can be served before their deadlines.
func TestSheddingDelaysRequestsInsteadOfLosingThem(t *testing.T) {
	sim := newSimulation(257, 6)
	ledger := ledgerLoad(sim)
	sim.run(10*time.Second, 530, ledger)
	sim.shedShare = 0.55
	sim.run(8500*time.Millisecond, 530, ledger)
	sim.shedShare = 0
	sim.run(25*time.Second, 530, ledger)
	refused, inTime := 0, 0
	for _, n := range sim.refused {
		refused += n
	}
	for _, latency := range sim.latencies {
		if latency <= 3*time.Second {
			inTime++
		}
	}
	t.Logf("%d calls answered, %d of them in time; refused %v", len(sim.latencies), inTime, sim.refused)
	if refused > int(sim.seq)/500 {
		t.Errorf("%d calls were refused, want at most 0.2%%: %v", refused, sim.refused)
	}
}

// Load: as above, but the calls have a deadline of 4 s, which most retries cannot meet.
// These are refused when they arrive; few are refused after they have waited.
func TestHopelessRetriesAreRefusedAtOnce(t *testing.T) {
	sim := newSimulation(257, 6)
	ledger := ledgerLoad(sim)
	short := func(r *Request) {
		ledger(r)
		r.Left, r.Target = 4*time.Second, 2*time.Second
	}
	sim.run(10*time.Second, 530, short)
	sim.shedShare = 0.55
	atOnce, afterWaiting := 0, 0
	count := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Verdict == Refused && d.Waited > 0 {
				afterWaiting++
			} else if d.Verdict == Refused {
				atOnce++
			}
		}
	}
	for range 1700 {
		sim.step(530, short)
		count(sim.lastDecisions)
	}
	if atOnce < 500 || afterWaiting > atOnce/10 {
		t.Errorf("%d calls were refused at once and %d after waiting; want at least 500, and at most a tenth of that after waiting", atOnce, afterWaiting)
	}
}

// Load: one account has 40 retries waiting when another account's first one arrives.
// The other account does not wait for all of them.
func TestAccountsTakeTurnsForTheRetryBudget(t *testing.T) {
	sim := newSimulation(21, 6)
	sim.broker.retries.Allowance = 0
	retryOf := func(account string) uint64 {
		d := sim.request("vm1", func(r *Request) { r.Retry, r.Account, r.Left = true, account, 30*time.Second })
		return d.ID.Seq
	}
	sim.run(time.Second, 20, nil)
	for range 40 {
		retryOf("busy")
	}
	other := retryOf("other")
	for range 60 {
		sim.run(100*time.Millisecond, 20, nil)
		for i, seq := range sim.granted {
			if seq == other {
				t.Logf("granted as number %d", i)
				return
			}
		}
	}
	t.Error("the retry of the other account waited for more than 6 s")
}
