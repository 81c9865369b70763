package limit

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of random schedules, so that each run
// gives the same verdict.
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
}

var smallTerms = Terms{Lend: 1800 * time.Millisecond, Life: 400 * time.Millisecond}

func newMachine(t *rapid.T) *machine {
	m := &machine{cuts: map[[2]int]bool{}, account: "a"}
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
	w := newWorld(rapid.Uint64().Draw(t, "seed"))
	m.fleet = newFleet(w, vms, smallTerms, map[string]Quota{m.account: m.quota}, clockError)
	m.lastVM = vms
	m.meters[m.account] = newMeter(m.bound(m.quota))
	hold := time.Duration(rapid.SampledFrom([]int{0, 0, 30, 1000}).Draw(t, "hold")) * time.Millisecond
	for _, n := range m.nodes {
		n.hold = hold
	}
	m.net.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
	m.net.double = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "double")
	m.net.late = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "late")
	m.net.lateBy = time.Duration(rapid.SampledFrom([]int{50, 500, 5000}).Draw(t, "late by")) * time.Millisecond
	m.net.cut = func(from, to int) bool { return m.cuts[[2]int{from, to}] }
	m.traffic()
	return m
}

// bound is what the meter allows: the rate counts by the home's clock.
func (m *machine) bound(q Quota) Quota {
	if !m.equal {
		q.Rate *= 1.02
	}
	return q
}

// traffic sends several times the account's rate, so that every token is wanted.
func (m *machine) traffic() {
	var next func()
	next = func() {
		m.nodes[m.random.IntN(len(m.nodes))].arrive(m.account)
		gap := m.random.ExpFloat64() / (3*m.quota.Rate + 20)
		m.after(time.Duration(gap*float64(time.Second)), next)
	}
	next()
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
		"store": func(*rapid.T) {
			m.storeGone = !m.storeGone
		},
		"shares": func(*rapid.T) {
			if next := m.ledger.Multiply(2); !m.storeGone && next.Total < 4*InitialShares {
				next.Version++
				m.ledger = next
			}
		},
		"configure": func(t *rapid.T) {
			m.configure(t)
		},
	}
}

// replace starts a VM of another name; the shares of the old one are freed after
// the bound, which the run shortens to what its terms need.
func (m *machine) replace(n *node) {
	old := n.vm
	n.crash()
	m.lastVM++
	m.start(n, fmt.Sprintf("vm-%d", m.lastVM))
	m.after(m.terms.Quarantine()+time.Second, func() { m.free(old) })
}

func (m *machine) free(holder VM) {
	if m.storeGone {
		m.after(time.Second, func() { m.free(holder) })
		return
	}
	if next, changed := m.ledger.Release(holder); changed {
		next.Version++
		m.ledger = next
	}
}

// leave stops a VM in order: its rights come back before its shares are freed.
// While the store is gone, another VM inherits the rights.
func (m *machine) leave(n *node) {
	if n.down {
		return
	}
	n.lender.Leave()
	n.home.Leave(n.clock())
	n.after(50*time.Millisecond, func() { m.finishLeave(n) })
}

func (m *machine) finishLeave(n *node) {
	if wait := n.lender.FreeAt().Sub(n.clock()); wait > 0 {
		n.after(wait+time.Millisecond, func() { m.finishLeave(n) })
		return
	}
	if m.storeGone {
		m.bequeath(n)
	} else {
		m.free(n.vm)
	}
	m.lastVM++
	n.crash()
	m.start(n, fmt.Sprintf("vm-%d", m.lastVM))
}

// configure gives a new rate and burst to the VMs one after the other.
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
			n.home.SetQuotas(m.quotas, n.clock())
		}
	}
	m.wait(t)
	for _, n := range m.nodes {
		n.home.SetQuotas(m.quotas, n.clock())
	}
	m.runUntil(m.now + m.terms.Quarantine())
	meter.advance(m.now)
	m.quota, meter.quota = next, m.bound(next)
	meter.level = min(meter.level, next.Burst)
}

func (m *machine) check(t *rapid.T) {
	for i := range Groups {
		if sum := m.weight(i); sum > 1+1e-9 {
			t.Fatalf("%v: homes use %.4f of all rights of group %d", m.now, sum, i)
		}
	}
	if m.equal {
		if stock := m.stock(m.account); stock > m.meters[m.account].quota.Burst+1e-6 {
			t.Fatalf("%v: stock %.3f with burst %v", m.now, stock, m.quota.Burst)
		}
	}
	if over := m.meters[m.account].over; over > 0 {
		t.Fatalf("%v: %d requests over rate %v and burst %v", m.now, over, m.quota.Rate, m.quota.Burst)
	}
}

// TestProofRateInvariant checks rights, stock and usage in every window under
// random schedules of pauses, cuts, crashes, restarts, replacements, departures,
// an absent store, changes of shares and of rate and burst.
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
		t.Fatalf("only %d requests were admitted in %d schedules; the check proves little", admitted, schedules)
	}
}
