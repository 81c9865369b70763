package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// rankedKind is one kind of calls in a rankedLoad.
type rankedKind struct {
	name                   string
	perSecond              float64
	work, target, deadline time.Duration
	spread                 float64 // standard deviation of the logarithm of the work
	rank                   Rank
	accounts               int // that send it in turn
}

// Kinds of calls at a service of 116 servers with 4 slots each.
var (
	bookings = rankedKind{name: "booking", perSecond: 463, work: 320 * time.Millisecond, target: 2 * time.Second, deadline: 6 * time.Second, spread: 0.8, rank: Rank{2, 2}, accounts: 75}
	billings = rankedKind{name: "billing", perSecond: 50, work: 220 * time.Millisecond, target: 800 * time.Millisecond, deadline: 5 * time.Second, spread: 0.5, rank: Rank{0, 0}, accounts: 75}
)

// kindResult is what the callers of one kind got.
type kindResult struct {
	calls, answered, onTime int
	refused, refusedLate    int // late: after an eighth of the target latency
}

// share returns the number as a share of the calls.
func (r *kindResult) share(n int) float64 { return float64(n) / float64(max(1, r.calls)) }

func (r *kindResult) String() string {
	return fmt.Sprintf("%d calls, %.3f answered, %.3f on time, %.3f refused, %.3f refused late", r.calls, r.share(r.answered), r.share(r.onTime), r.share(r.refused), r.share(r.refusedLate))
}

// rankedLoad sends several kinds of calls to the servers of a simulation.
type rankedLoad struct {
	*simulation
	kinds   []rankedKind
	due     []float64
	kindOf  map[uint64]int // by sequence number of the first request
	results []kindResult
	retries []time.Time // when they were granted
}

func newRankedLoad(servers, slots int, kinds ...rankedKind) *rankedLoad {
	l := &rankedLoad{simulation: newSimulation(servers, slots), kinds: kinds, due: make([]float64, len(kinds)), kindOf: map[uint64]int{}, results: make([]kindResult, len(kinds))}
	random := rand.New(rand.NewPCG(2, 3))
	l.workOf = func(call simCall) time.Duration {
		if len(call.servers) > 0 {
			l.retries = append(l.retries, l.now)
		}
		k := l.kinds[l.kindOf[call.request.ID.Seq]]
		factor := math.Exp(k.spread*random.NormFloat64() - k.spread*k.spread/2)
		if random.Float64() < 0.01 {
			factor *= 5
		}
		return time.Duration(factor * float64(k.work))
	}
	l.onAnswer = func(call simCall, latency time.Duration) {
		index := l.kindOf[call.request.ID.Seq]
		result := &l.results[index]
		if latency <= l.kinds[index].deadline {
			result.answered++
		}
		if latency <= l.kinds[index].target {
			result.onTime++
		}
	}
	l.onRefused = func(call simCall, _ Decision) {
		index := l.kindOf[call.request.ID.Seq]
		result := &l.results[index]
		result.refused++
		if l.now.Sub(call.arrived) > l.kinds[index].target/8 {
			result.refusedLate++
		}
	}
	return l
}

// play sends the calls for the span; the rate of kind i is multiplied by factors[i].
func (l *rankedLoad) play(span time.Duration, factors ...float64) {
	for end := l.now.Add(span); l.now.Before(end); {
		l.step(0, nil)
		for i, k := range l.kinds {
			for l.due[i] += k.perSecond * factors[i] * step.Seconds(); l.due[i] >= 1; l.due[i]-- {
				l.kindOf[l.seq+1] = i
				call := l.results[i].calls
				l.results[i].calls++
				l.request(fmt.Sprintf("vm%d", l.seq%10), func(r *Request) {
					r.Priority, r.RouteRank, r.Target, r.Left = k.rank.Account, k.rank.Route, k.target, k.deadline
					r.Account = fmt.Sprintf("account-%d", call%k.accounts)
				})
			}
		}
	}
}

// restart forgets the results so far.
func (l *rankedLoad) restart() {
	for i := range l.results {
		l.results[i] = kindResult{}
	}
}

// log writes what the callers of each kind got.
func (l *rankedLoad) log(t *testing.T) {
	t.Helper()
	for i, k := range l.kinds {
		t.Logf("%s of rank %v: %s", k.name, k.rank, &l.results[i])
	}
}

// want fails the test if smaller shares of the kind are answered, and answered on time.
func (l *rankedLoad) want(t *testing.T, kind int, answered, onTime float64) {
	t.Helper()
	if r := l.results[kind]; r.share(r.answered) < answered || r.share(r.onTime) < onTime {
		t.Errorf("kind %s: %v, want %.3f and %.3f", l.kinds[kind].name, &r, answered, onTime)
	}
}

// wantEarlyRefusals fails the test if one refusal of the kind in ten is late.
func (l *rankedLoad) wantEarlyRefusals(t *testing.T, kind int) {
	t.Helper()
	if r := l.results[kind]; r.refusedLate > r.refused/10 {
		t.Errorf("%d of %d refusals of kind %s are late, want fewer than one in ten", r.refusedLate, r.refused, l.kinds[kind].name)
	}
}

// Load: bookings at 2.4 times 463 a second for 7 s and 50 billings a second, of the same five
// accounts, while 64 of 116 servers with 4 slots are left, which serve about 780 a second.
// Billings must not be refused because of the bookings of their account: 0.39 of them were
// served, and 0.85 of the bookings. Bookings may lose what the billings take.
func TestBillingsDoNotWaitForBookingsOfTheirAccount(t *testing.T) {
	for _, account := range []int{0, 1} { // rank of the accounts; 0 is none
		booking, billing := bookings, billings
		booking.accounts, billing.accounts = 5, 5
		if account > 0 {
			booking.rank.Account, billing.rank.Account = account, account
		}
		l := newRankedLoad(64, 4, booking, billing)
		l.play(5*time.Second, 1, 1)
		l.restart()
		l.play(7*time.Second, 2.4, 1)
		l.play(6*time.Second, 1, 1)
		l.log(t)
		l.want(t, 1, 0, 0.97)
		l.want(t, 0, 0.846-0.03, 0)
	}
}

// Load: 400 requests a second to routes of one rank, of accounts with three ranks, at 126
// slots that serve 268, with 30% rejected for a while. Each decision must be the same as
// with the rule of ranks disabled.
func TestOneRouteRankDecidesAsWithoutTheRule(t *testing.T) {
	play := func(disabled bool) string {
		var decisions strings.Builder
		sim := newSimulation(21, 6)
		sim.broker.ranks.disabled = disabled
		for i := range 3000 {
			sim.shedShare = 0
			if i > 1000 && i < 2000 {
				sim.shedShare = 0.3
			}
			sim.step(400, func(r *Request) {
				r.RouteRank, r.Priority = 3, 3+int(r.ID.Seq%3)
				r.Account = fmt.Sprintf("account-%d", r.ID.Seq%7%5)
			})
			fmt.Fprintln(&decisions, sim.lastDecisions)
		}
		return decisions.String()
	}
	if play(false) != play(true) {
		t.Error("decisions at a service with one rank differ from those without the rule")
	}
}

// Load: while 100 requests of one rank wait, a request of a second rank puts the rule in
// force, and half a minute without it ends the rule. The queued requests must keep their
// order, and the accounts' counts must be those of the queue.
func TestRuleBeginsAndEndsWhileRequestsWait(t *testing.T) {
	sim := newSimulation(2, 4)
	low := func(r *Request) {
		r.Priority, r.RouteRank, r.Account = 2, 2, fmt.Sprintf("account-%d", r.ID.Seq%3)
		r.Left, r.Target = time.Minute, 50*time.Second
	}
	check := func(when string, inForce bool) {
		t.Helper()
		if sim.broker.ranks.inForce != inForce {
			t.Fatalf("%s: in force is %v", when, !inForce)
		}
		queued := map[string]int{}
		for i, r := range sim.broker.queue {
			queued[r.Account]++
			if i > 0 && r.precedes(sim.broker.queue[i-1]) {
				t.Errorf("%s: request %d is behind one that it precedes", when, r.ID.Seq)
			}
		}
		for account, want := range queued {
			if got := sim.broker.queue[0].fair.accounts[account].queued; got != want {
				t.Errorf("%s: %d requests of %s are counted, %d wait", when, got, account, want)
			}
		}
	}
	for range 100 {
		sim.request("vm0", low)
	}
	check("one rank", false)
	high := sim.request("vm0", func(r *Request) { r.Priority, r.RouteRank, r.Account = 0, 0, "account-1" })
	if first := sim.broker.queue[0].ID; first != high.ID {
		t.Errorf("request %v is the first, want the one of the higher rank", first)
	}
	sim.broker.removeQueued(sim.now, func(r *queued) bool { return r.ID == high.ID })
	check("two ranks", true)
	sim.run(rankMemory+time.Second, 16, low)
	check("one rank again", false)
}

// Load: at 4 servers with 2 slots, reports of 2 s at twice the 4 a second that the slots serve,
// and one billing of 220 ms a second with a target latency of 800 ms. A slot ends each 250 ms,
// so without room many billings wait too long for one. The reports get the other slots.
func TestSmallServiceKeepsRoomForBillings(t *testing.T) {
	report, billing := bookings, billings
	report.name, report.perSecond, report.work, report.target, report.deadline = "report", 8, 2*time.Second, 6*time.Second, 12*time.Second
	billing.perSecond, billing.spread = 1, 0.1
	l := newRankedLoad(4, 2, report, billing)
	l.play(20*time.Second, 1, 1)
	l.restart()
	l.play(200*time.Second, 1, 1)
	l.log(t)
	l.want(t, 1, 0, 0.95)
	l.want(t, 0, 0.35, 0)
}

// Load: for 20 s, billings at 1.5 times what 29 servers with 4 slots serve (527 a second), and
// bookings at a fifth of it. Without a minimum share, no booking is served. Each rank keeps a
// tenth of the grants.
func TestLowestRankKeepsItsMinimumShare(t *testing.T) {
	booking, billing := bookings, billings
	booking.perSecond, billing.perSecond = 73, 790
	for _, accounts := range []int{5, 1000} {
		booking.accounts, billing.accounts = accounts, accounts
		l := newRankedLoad(29, 4, booking, billing)
		l.play(5*time.Second, 1, 0.1)
		l.restart()
		l.play(20*time.Second, 1, 1)
		l.log(t)
		booked, billed := l.results[0].answered, l.results[1].answered
		if share := float64(booked) / float64(booked+billed); share < 0.08 || share > 0.13 {
			t.Errorf("%d accounts: bookings got %.3f of the answers, want about a tenth", accounts, share)
		}
		l.wantEarlyRefusals(t, 0)
	}
}

// Load: bookings at 2.4 times 463 a second at 64 servers that serve 780, and 5 s later also
// billings that take a sixth of the slots for 5 s, so that queued bookings lose their place. Fewer
// than one refusal in ten may come after an eighth of the target latency.
func TestRequestsThatLoseTheirPlaceAreRefusedEarly(t *testing.T) {
	booking, billing := bookings, billings
	billing.perSecond = 190
	l := newRankedLoad(64, 4, booking, billing)
	l.play(5*time.Second, 2.4, 0.01)
	l.play(5*time.Second, 2.4, 1)
	l.play(3*time.Second, 1, 0.01)
	l.log(t)
	l.wantEarlyRefusals(t, 0)
	l.wantEarlyRefusals(t, 1)
	l.want(t, 1, 0, 0.97)
}

// Load: bookings at 2.4 times 463 a second for 7 s and 50 billings a second at 116 servers
// with 4 slots, which reject 35% of their requests for 8 s: half as many again as the retry
// budget allows.
func TestBillingsAreRetriedFirst(t *testing.T) {
	l := newRankedLoad(116, 4, bookings, billings)
	l.play(5*time.Second, 1, 1)
	l.restart()
	l.play(2*time.Second, 2.4, 1)
	l.shedShare = 0.35
	l.play(5*time.Second, 2.4, 1)
	l.play(3*time.Second, 1, 1)
	l.shedShare = 0
	l.play(6*time.Second, 1, 1)
	l.log(t)
	l.want(t, 1, 0, 0.96)
	l.want(t, 0, 0.9, 0)
}

// Load: 463 billings and 50 bookings a second for 20 s at 116 servers with 4 slots that reject
// half of their requests: the billings alone request twice the retry budget. The bookings
// keep a tenth of it, and all retries stay within it.
func TestLowestRankKeepsItsRetries(t *testing.T) {
	booking, billing := bookings, billings
	booking.perSecond, billing.perSecond = 50, 463
	l := newRankedLoad(116, 4, booking, billing)
	l.play(12*time.Second, 1, 1)
	l.shedShare = 0.5
	l.play(5*time.Second, 1, 1)
	l.restart()
	l.play(15*time.Second, 1, 1)
	l.log(t)
	// Half of the bookings need no retry. A tenth of the budget, 9 retries a second, serves up to 0.09 more.
	l.want(t, 0, 0.56, 0)
	budget := testPolicy.Retries
	most, first := 0, 0
	for i, at := range l.retries {
		for at.Sub(l.retries[first]) >= budget.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	if bound := int(budget.Ratio*513*budget.Window.Seconds()) + budget.Allowance; most > bound {
		t.Errorf("%d retries in 10 s, %d are allowed", most, bound)
	}
}

// Load: 300 billings and 300 bookings that arrive at once at a service with 4 slots, of which
// most are refused. Refused callers must not return together, and those of billings return
// first. All were told the same time.
func TestRefusedCallersReturnByRankAndSpread(t *testing.T) {
	sim := newSimulation(1, 4)
	retryAfter := map[int][]time.Duration{}
	sim.onRefused = func(call simCall, d Decision) {
		retryAfter[call.request.RouteRank] = append(retryAfter[call.request.RouteRank], d.RetryAfter)
	}
	for i := range 600 {
		sim.request("vm0", func(r *Request) {
			r.Priority, r.RouteRank = 2*(i%2), 2*(i%2)
		})
	}
	for rank, list := range retryAfter {
		slices.Sort(list)
		together, first := 0, 0
		for i, after := range list {
			for after-list[first] > 20*time.Millisecond {
				first++
			}
			together = max(together, i-first+1)
		}
		if together > len(list)/3 {
			t.Errorf("rank %d: %d of %d callers return within 20 ms", rank, together, len(list))
		}
		if len(list) < 100 {
			t.Errorf("rank %d: %d callers are refused, want 100", rank, len(list))
		}
		t.Logf("rank %d: %d callers return after %v to %v, at most %d within 20 ms", rank, len(list), list[0], list[len(list)-1], together)
	}
	billing, booking := retryAfter[0][len(retryAfter[0])/2], retryAfter[2][len(retryAfter[2])/2]
	if billing >= booking {
		t.Errorf("the median of the billings is %v, that of the bookings %v", billing, booking)
	}
}

// Load: that of TestBillingsDoNotWaitForBookingsOfTheirAccount; 2 s after the burst began the
// owner is lost. The new one knows no ranks, work or rates, and learns the requests in flight from
// the VMs' reports within half a second. Those that waited at the old one ask it again.
func TestNewOwnerServesByRank(t *testing.T) {
	booking, billing := bookings, billings
	booking.accounts, billing.accounts = 5, 5
	l := newRankedLoad(64, 4, booking, billing)
	l.play(5*time.Second, 1, 1)
	l.play(2*time.Second, 2.4, 1)
	l.restart()
	l.loseOwner()
	l.play(500*time.Millisecond, 2.4, 1)
	l.reportRunning()
	l.play(4500*time.Millisecond, 2.4, 1)
	l.play(6*time.Second, 1, 1)
	l.log(t)
	l.want(t, 1, 0, 0.95)
}

// loseOwner replaces the Broker by a new one, which the queued requests ask again.
func (l *rankedLoad) loseOwner() {
	old := l.broker
	var servers []Server
	for _, s := range old.serversByID {
		servers = append(servers, s.Server)
	}
	l.broker = NewBroker(testPolicy, 2)
	l.broker.SetServers(l.now, servers)
	for _, queue := range [][]*queued{old.queue, old.retryQueue.waiting} {
		for _, r := range queue {
			l.handle(l.broker.Request(l.now, r.Request.After(l.now.Sub(r.queuedAt))))
		}
	}
}

// reportRunning reports the requests in flight of each VM.
func (l *rankedLoad) reportRunning() {
	reports := map[string][]Running{}
	for _, r := range l.running {
		reports[r.id.VM] = append(reports[r.id.VM], Running{Seq: r.id.Seq, Server: r.server, Age: l.now.Sub(r.ends.Add(-r.took))})
	}
	for vm := range 10 {
		name := fmt.Sprintf("vm%d", vm)
		l.handle(l.broker.Sync(l.now, name, reports[name]))
	}
}

// Load: that of BenchmarkOverloadedHome, with a fifth of the requests of a higher rank.
func BenchmarkOverloadedOwnerWithRanks(b *testing.B) {
	for _, disabled := range []bool{true, false} {
		b.Run(fmt.Sprintf("disabled=%v", disabled), func(b *testing.B) {
			sim := newSimulation(131, 6)
			sim.work = 1600 * time.Millisecond
			sim.broker.ranks.disabled = disabled
			for b.Loop() {
				sim.step(1000, func(r *Request) {
					r.Left, r.Target = 8*time.Second, 4*time.Second
					if r.ID.Seq%5 > 0 {
						r.Priority, r.RouteRank = 2, 2
					}
				})
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(sim.seq), "us/request")
		})
	}
}
