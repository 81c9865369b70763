package limit

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingmount.dev/membership"
)

// TestMain fixes the seed and the number of random schedules, so that each run gives
// the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "150", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		set := false
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if !set {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// machine drives a fleet through a random schedule of faults.
type machine struct {
	*fleet
	cuts    map[[2]int]bool
	quota   Quota // in force on all VMs, or the larger one of two
	equal   bool  // all clocks run at the same rate
	lastVM  int
	account string
	group   int
	bursty  bool   // traffic comes in bursts after pauses in which buckets fill
	fault   string // the first violation that watch found
}

var randomScheduleTiming = Timing{Lease: 1800 * time.Millisecond, TokenTTL: 400 * time.Millisecond}

func newMachine(t *rapid.T) *machine {
	m := &machine{cuts: map[[2]int]bool{}, account: "a", group: GroupOf("a")}
	m.quota = Quota{
		Rate:  float64(rapid.SampledFrom([]int{2, 20, 200}).Draw(t, "rate")),
		Burst: float64(rapid.SampledFrom([]int{1, 2, 5, 30}).Draw(t, "burst")),
	}
	m.equal = rapid.Bool().Draw(t, "equal clocks")
	clockError := 0.0
	if !m.equal {
		clockError = 0.02
	}
	vms := rapid.IntRange(2, 6).Draw(t, "vms")
	s := newSimulation(rapid.Uint64().Draw(t, "seed"))
	m.fleet = newFleet(s, vms, randomScheduleTiming, map[string]Quota{m.account: m.quota}, clockError)
	m.lastVM = vms
	m.meters[m.account] = newMeter(m.bound(m.quota))
	hold := time.Duration(rapid.SampledFrom([]int{0, 0, 30, 1000}).Draw(t, "hold")) * time.Millisecond
	for _, n := range m.nodes {
		n.hold = hold
	}
	m.net.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
	m.net.duplicate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "double")
	m.net.late = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "late")
	m.net.maxLateness = time.Duration(rapid.SampledFrom([]int{50, 500, 5000}).Draw(t, "late by")) * time.Millisecond
	m.net.cut = func(from, to int) bool { return m.cuts[[2]int{from, to}] }
	m.bursty = rapid.Bool().Draw(t, "bursty")
	m.traffic()
	m.watch()
	return m
}

// bound is what the meter allows: the rate is measured by the owner's clock.
func (m *machine) bound(q Quota) Quota {
	if !m.equal {
		q.Rate *= 1.02
	}
	return q
}

// traffic sends several times the account's rate, so that every token is used, or
// bursts after pauses in which buckets fill.
func (m *machine) traffic() {
	requests, gap := 1, m.random.ExpFloat64()/(3*m.quota.Rate+20)
	if m.bursty {
		requests, gap = 3*int(m.quota.Burst)+3, 2*m.random.Float64()*m.quota.Burst/m.quota.Rate
	}
	m.after(time.Duration(gap*float64(time.Second)), func() {
		n := m.nodes[m.random.IntN(len(m.nodes))]
		for i := range requests {
			if i%3 == 0 {
				n = m.nodes[m.random.IntN(len(m.nodes))]
			}
			n.arrive(m.account)
		}
		m.traffic()
	})
}

const watchPeriod = 10 * time.Millisecond

// watch checks the state of all VMs every watchPeriod.
func (m *machine) watch() {
	m.after(watchPeriod, func() {
		if m.fault == "" {
			m.fault = m.violation()
		}
		m.watch()
	})
}

// violation describes how the current state violates the invariant, or returns "".
func (m *machine) violation() string {
	if sum := m.weight(m.group); sum > 1+1e-9 {
		return fmt.Sprintf("%v: owners use %.4f of all shares", m.now, sum)
	}
	if !m.equal {
		return ""
	}
	if balance := m.maxTokenBalance(); balance > m.meters[m.account].quota.Burst+1e-6 {
		return fmt.Sprintf("%v: token balance %.3f with burst %v", m.now, balance, m.meters[m.account].quota.Burst)
	}
	spendable, outstanding := 0, 0
	for _, n := range m.nodes {
		if n.down {
			return "" // no owner counts the tokens of one that crashed
		}
		_, counted := n.owner.TokenBalance(m.account, n.clock())
		spendable, outstanding = spendable+n.spendable(m.account), outstanding+counted
	}
	if m.now-m.lastCrash > m.timing.TokenTTL && spendable > outstanding {
		return fmt.Sprintf("%v: %d tokens can be spent, owners count %d", m.now, spendable, outstanding)
	}
	for _, n := range m.nodes {
		for name := range n.owner.groups[m.group].leases {
			if free := m.freeAt(name, n); free.Before(n.clock().Add(m.timing.TokenTTL)) {
				return fmt.Sprintf("%v: %s uses the shares of %s, which are free at %v", m.now, n.vm.Name, name, free.Sub(epoch))
			}
		}
	}
	return ""
}

// maxTokenBalance is the sum of the tokens that owners hold, or may hold by their leases if
// that is more.
func (m *machine) maxTokenBalance() float64 {
	sum := 0.0
	for _, n := range m.nodes {
		if n.down {
			continue
		}
		level, outstanding := n.owner.TokenBalance(m.account, n.clock())
		allowed := 0.0
		if b := n.owner.groups[m.group].buckets[m.account]; b != nil {
			allowed = b.quota.capacity(n.owner.Weight(m.group, n.clock()))
		}
		sum += max(level+float64(outstanding), allowed)
	}
	return sum
}

// freeAt returns when the lender of a lease may lease the shares to an owner other than n.
func (m *machine) freeAt(holder string, n *node) time.Time {
	for _, other := range m.nodes {
		for _, lease := range other.lender.shares {
			if lease.Holder.Name != holder {
				continue
			}
			g := &other.lender.groups[m.group]
			if g.owner == n.vm.Name && g.incarnation == n.vm.Incarnation {
				return later(g.heldUntil, other.lender.availableFrom)
			}
			return other.lender.availableFrom
		}
	}
	return epoch.Add(1 << 62) // no lender holds the shares now
}

func (m *machine) node(t *rapid.T, label string) *node {
	return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, label)]
}

func (m *machine) wait(t *rapid.T) {
	m.runUntil(m.now + time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*time.Millisecond)
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": m.check,
		"wait": func(t *rapid.T) {
			m.wait(t)
		},
		"pause": func(t *rapid.T) {
			m.node(t, "vm").pause(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
		},
		"cut": func(t *rapid.T) {
			m.cuts[[2]int{m.node(t, "from").index, m.node(t, "to").index}] = true
		},
		"heal": func(*rapid.T) {
			m.cuts = map[[2]int]bool{}
		},
		"crash": func(t *rapid.T) {
			m.node(t, "vm").crash()
		},
		"restart": func(t *rapid.T) {
			n := m.node(t, "vm")
			n.crash()
			m.start(n, n.vm.Name)
		},
		"replace": func(t *rapid.T) {
			m.replace(m.node(t, "vm"))
		},
		"leave": func(t *rapid.T) {
			m.leave(m.node(t, "vm"))
		},
		"view": func(t *rapid.T) {
			m.changeView(t, m.node(t, "vm"))
		},
		"store": func(*rapid.T) {
			m.storeUnavailable = !m.storeUnavailable
		},
		"shares": func(*rapid.T) {
			if next := m.ledger.Split(2); !m.storeUnavailable && next.Total < 4*InitialShares {
				next.Version++
				m.ledger = next
			}
		},
		"configure": func(t *rapid.T) {
			m.configure(t)
		},
	}
}

// changeView removes members from one VM's view of the fleet, so that its owners change.
func (m *machine) changeView(t *rapid.T, n *node) {
	members := []membership.Member{{Name: n.vm.Name}}
	for _, other := range m.nodes {
		if other != n && rapid.Bool().Draw(t, "in view") {
			members = append(members, membership.Member{Name: other.vm.Name})
		}
	}
	n.lender.SetMembers(members)
}

// replace starts a VM with another name. The shares of the old one are freed after a
// delay shorter than DefaultReclaimAfter: just what the timing needs, plus 1 s.
func (m *machine) replace(n *node) {
	old := n.vm
	n.crash()
	m.lastVM++
	m.start(n, fmt.Sprintf("vm-%d", m.lastVM))
	m.after(m.timing.RestartDelay()+time.Second, func() { m.free(old) })
}

func (m *machine) free(holder VM) {
	if m.storeUnavailable {
		m.after(time.Second, func() { m.free(holder) })
		return
	}
	if next, changed := m.ledger.Release(holder); changed {
		next.Version++
		m.ledger = next
	}
}

// leave stops a VM in order: its leases end before its shares are freed. While the
// store is unavailable, another VM receives the shares.
func (m *machine) leave(n *node) {
	if n.down {
		return
	}
	n.lender.Leave()
	n.owner.Leave(n.clock())
	n.after(50*time.Millisecond, func() { m.finishLeave(n) })
}

func (m *machine) finishLeave(n *node) {
	if wait := n.lender.FreeAt().Sub(n.clock()); wait > 0 {
		n.after(wait+time.Millisecond, func() { m.finishLeave(n) })
		return
	}
	if m.storeUnavailable {
		m.transferShares(n)
	} else {
		m.free(n.vm)
	}
	m.lastVM++
	n.crash()
	m.start(n, fmt.Sprintf("vm-%d", m.lastVM))
}

// configure sets a new rate and burst on one VM after the other.
func (m *machine) configure(t *rapid.T) {
	next := Quota{
		Rate:  float64(rapid.SampledFrom([]int{2, 20, 200}).Draw(t, "rate")),
		Burst: float64(rapid.SampledFrom([]int{1, 2, 5, 30}).Draw(t, "burst")),
	}
	meter := m.meters[m.account]
	meter.advance(m.now)
	larger := Quota{Rate: max(m.quota.Rate, next.Rate), Burst: max(m.quota.Burst, next.Burst)}
	meter.level += larger.Burst - meter.quota.Burst
	meter.quota = m.bound(larger)
	m.quotas = map[string]Quota{m.account: next}
	for _, n := range m.nodes {
		if m.random.IntN(2) == 0 {
			n.owner.SetQuotas(m.quotas, n.clock())
		}
	}
	m.wait(t)
	for _, n := range m.nodes {
		n.owner.SetQuotas(m.quotas, n.clock())
	}
	m.runUntil(m.now + m.timing.RestartDelay())
	meter.advance(m.now)
	m.quota, meter.quota = next, m.bound(next)
	meter.level = min(meter.level, next.Burst)
}

func (m *machine) check(t *rapid.T) {
	if m.fault != "" {
		t.Fatal(m.fault)
	}
	if overBound := m.meters[m.account].overBound; overBound > 0 {
		t.Fatalf("%v: %d requests over rate %v and burst %v", m.now, overBound, m.quota.Rate, m.quota.Burst)
	}
}

// TestProofRateInvariant checks weights, token balances and usage in every window under random
// schedules of pauses, network cuts, crashes, restarts, replacements, departures, an
// unavailable store, and changes of shares, rate and burst.
func TestProofRateInvariant(t *testing.T) {
	admitted, schedules := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(m.actions())
		admitted += m.meters[m.account].admitted
		schedules++
	})
	t.Logf("%d schedules, %d requests admitted", schedules, admitted)
	if admitted < 100*schedules {
		t.Fatalf("only %d requests were admitted in %d schedules; the check needs at least 100 a schedule", admitted, schedules)
	}
}
