package limit

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// comparedFor is the traffic time of each compared run; the tables in
// docs/MEASUREMENTS.md come from -compare=60s.
var comparedFor = flag.Duration("compare", 8*time.Second, "traffic time of each run that compares ways to share")

const (
	comparedVMs = 48
	warmUp      = 5 * time.Second // without traffic, so that all buckets are full
	busyAccount = "reader-app"    // sends several times its rate
	busyFactor  = 3
	usualFactor = 0.9
)

var comparedQuotas = map[string]Quota{
	"reader-web": {120, 60}, "reader-app": {120, 60}, "bookshops": {60, 40}, "schools": {20, 20},
	"libraries": {20, 20}, "poets": {10, 10}, "printers": {10, 10}, "archive": {5, 5},
}

// way is one way to share rate and burst, as the driver sees it.
type way interface {
	arrive(vm int, account string)
	network() *network
	pause(vm int, span time.Duration)
	crash(vm int)
	replace(vm int)        // by a new VM, without notice
	replaceInOrder(vm int) // by a new VM, once the old one has left
	setStore(gone bool)
	homeOf(account string) int // the VM whose loss hurts the account most
	result() *tally
}

// tally is what a way did.
type tally struct {
	meters   map[string]*meter
	messages int
	bytes    int
}

func newTally() *tally {
	t := &tally{meters: map[string]*meter{}}
	for account, quota := range comparedQuotas {
		t.meters[account] = newMeter(quota)
	}
	return t
}

func (t *tally) send(message any) {
	t.messages++
	content, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	t.bytes += len(content) + frameBytes
}

// frameBytes is what JSON-RPC and the envelope of package wire add to a message,
// as measured between agents.
const frameBytes = 84

// lentShares is the way of this package.
type lentShares struct {
	*fleet
	tally *tally
}

func newLentShares(w *world) way {
	l := &lentShares{fleet: newFleet(w, comparedVMs, DefaultTerms, comparedQuotas, slewError), tally: newTally()}
	l.meters = l.tally.meters
	l.observe = l.tally.send
	return l
}

func (l *lentShares) arrive(vm int, account string)    { l.nodes[vm].arrive(account) }
func (l *lentShares) network() *network                { return &l.net }
func (l *lentShares) pause(vm int, span time.Duration) { l.nodes[vm].pause(span) }
func (l *lentShares) setStore(gone bool)               { l.storeGone = gone }
func (l *lentShares) result() *tally                   { return l.tally }

// crash stops the VM; the list of VMs lacks it 10 s later.
func (l *lentShares) crash(vm int) {
	l.nodes[vm].crash()
	l.after(10*time.Second, l.publishMembers)
}

func (l *lentShares) replace(vm int) {
	l.nodes[vm].crash()
	l.start(l.nodes[vm], fmt.Sprintf("new-%d", vm))
}

func (l *lentShares) replaceInOrder(vm int) {
	n := l.nodes[vm]
	n.lender.Leave()
	n.home.Leave(n.clock())
	l.after(memberLag, l.publishMembers)
	l.after(memberLag+DefaultTerms.RestartDelay(), func() {
		l.handOver(n)
		l.replace(vm)
	})
}

const memberLag = time.Second // until all VMs know that one is leaving

func (l *lentShares) homeOf(account string) int {
	name := l.nodes[0].lender.Target(GroupOf(account))
	return slices.IndexFunc(l.nodes, func(n *node) bool { return n.vm.Name == name })
}

// staticSplit gives as many VMs as the burst has tokens an equal part each.
type staticSplit struct {
	*world
	net     network
	tally   *tally
	buckets [comparedVMs]map[string]*central
	paused  [comparedVMs]time.Duration
	down    [comparedVMs]bool
}

func newStaticSplit(w *world) way {
	s := &staticSplit{world: w, tally: newTally()}
	for vm := range comparedVMs {
		s.boot(vm, 1)
	}
	return s
}

func (s *staticSplit) boot(vm int, filled float64) {
	s.buckets[vm] = map[string]*central{}
	for account, quota := range comparedQuotas {
		parts := min(comparedVMs, math.Floor(quota.Burst))
		if float64(vm) < parts {
			part := newMeter(Quota{Rate: quota.Rate / parts, Burst: quota.Burst / parts})
			part.level, part.at = part.quota.Burst*filled, s.now
			s.buckets[vm][account] = &central{meter: *part}
		}
	}
}

func (s *staticSplit) arrive(vm int, account string) {
	if s.now < s.paused[vm] {
		s.at(s.paused[vm], func() { s.arrive(vm, account) })
		return
	}
	if part := s.buckets[vm][account]; !s.down[vm] && part != nil && part.admit(s.now) {
		s.tally.meters[account].use(s.now)
	}
}

func (s *staticSplit) network() *network                { return &s.net }
func (s *staticSplit) pause(vm int, span time.Duration) { s.paused[vm] = s.now + span }
func (s *staticSplit) crash(vm int)                     { s.down[vm] = true }
func (s *staticSplit) replace(vm int)                   { s.boot(vm, 0) }
func (s *staticSplit) replaceInOrder(vm int)            { s.replace(vm) }
func (s *staticSplit) setStore(bool)                    {}
func (s *staticSplit) homeOf(string) int                { return 0 }
func (s *staticSplit) result() *tally                   { return s.tally }

// leasedOwner keeps each account's bucket at one VM that holds a lease in the store.
type leasedOwner struct {
	*world
	net    network
	tally  *tally
	owners map[string]*owner
	paused [comparedVMs]time.Duration
	down   [comparedVMs]bool
	gone   bool // the store
}

type owner struct {
	vm     int
	until  time.Duration // end of its lease
	bucket central
}

const (
	leaseTTL     = 3 * time.Second
	renewPeriod  = time.Second
	ownedRequest = 100 * time.Millisecond // a request waits no longer for its owner
)

func newLeasedOwner(w *world) way {
	l := &leasedOwner{world: w, tally: newTally(), owners: map[string]*owner{}}
	l.net = network{cut: func(int, int) bool { return false }}
	for _, account := range slices.Sorted(mapKeys(comparedQuotas)) {
		o := &owner{vm: w.random.IntN(comparedVMs), until: leaseTTL, bucket: central{meter: *newMeter(comparedQuotas[account])}}
		l.owners[account] = o
		l.renew(o)
	}
	return l
}

// renew extends the owner's lease, or gives it to another VM once it has lapsed
// and the tokens of the last owner are dead. The new owner starts without tokens.
func (l *leasedOwner) renew(o *owner) {
	switch {
	case l.gone:
	case !l.down[o.vm] && l.now >= l.paused[o.vm] && l.now < o.until:
		o.until = l.now + leaseTTL
	case l.now > o.until+ownedRequest:
		o.vm, o.until = l.random.IntN(comparedVMs), l.now+leaseTTL
		o.bucket.level, o.bucket.at = 0, l.now
	}
	l.after(renewPeriod, func() { l.renew(o) })
}

func (l *leasedOwner) arrive(vm int, account string) {
	o, started, used := l.owners[account], l.now, false
	l.carry(vm, o.vm, Ask{Account: account, Waiting: 1}, func() {
		if l.now >= o.until || !o.bucket.admit(l.now) {
			return
		}
		l.carry(o.vm, vm, Grant{Account: account, Tokens: 1}, func() {
			if !used && l.now < started+ownedRequest {
				used = true
				l.tally.meters[account].use(l.now)
			}
		})
	})
}

func (l *leasedOwner) carry(from, to int, message any, deliver func()) {
	if from == to {
		l.deliverAt(to, deliver)
		return
	}
	l.tally.send(message)
	for _, delay := range l.deliver(&l.net, from, to) {
		l.after(delay, func() { l.deliverAt(to, deliver) })
	}
}

func (l *leasedOwner) deliverAt(vm int, run func()) {
	if l.now < l.paused[vm] {
		l.at(l.paused[vm], func() { l.deliverAt(vm, run) })
	} else if !l.down[vm] {
		run()
	}
}

func (l *leasedOwner) network() *network                { return &l.net }
func (l *leasedOwner) pause(vm int, span time.Duration) { l.paused[vm] = l.now + span }
func (l *leasedOwner) crash(vm int)                     { l.down[vm] = true }
func (l *leasedOwner) replace(vm int) {
	l.down[vm] = true
	l.after(renewPeriod, func() { l.down[vm] = false })
}
func (l *leasedOwner) replaceInOrder(vm int)     { l.replace(vm) }
func (l *leasedOwner) setStore(gone bool)        { l.gone = gone }
func (l *leasedOwner) homeOf(account string) int { return l.owners[account].vm }
func (l *leasedOwner) result() *tally            { return l.tally }

// load shapes the arrivals.
type load struct {
	skewed bool
	clump  int // requests that arrive at once
	factor float64
}

// run sends the same traffic to a way and to central buckets.
type run struct {
	*world
	way     way
	load    load
	refs    map[string]*central
	gone    [comparedVMs]bool // VMs that the balancer no longer uses
	sent    int
	windows map[time.Duration]int // admitted of the busy account, by window
}

const rateWindow = 250 * time.Millisecond

func newRun(build func(*world) way, l load, faults func(*run)) *run {
	r := &run{world: newWorld(20261204), load: l, refs: map[string]*central{}, windows: map[time.Duration]int{}}
	r.way = build(r.world)
	r.way.network().delay = r.zoneDelay
	for _, account := range slices.Sorted(mapKeys(comparedQuotas)) {
		r.refs[account] = &central{meter: *newMeter(comparedQuotas[account])}
		r.at(warmUp, func() { r.arrivals(account) })
	}
	r.at(warmUp, func() { r.way.result().messages, r.way.result().bytes = 0, 0 })
	faults(r)
	r.runUntil(warmUp + *comparedFor)
	return r
}

func mapKeys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for key := range m {
			if !yield(key) {
				return
			}
		}
	}
}

// zoneDelay is the one-way delay between VMs in three zones.
func (r *run) zoneDelay(from, to int) time.Duration {
	if from%3 == to%3 {
		return r.between(200*time.Microsecond, 500*time.Microsecond)
	}
	return r.between(time.Millisecond, 1500*time.Microsecond)
}

func (r *run) arrivals(account string) {
	factor := usualFactor
	if account == busyAccount {
		factor = r.load.factor
	}
	for range r.load.clump {
		r.sent++
		r.refs[account].admit(r.now)
		r.way.arrive(r.balance(), account)
	}
	r.windows[r.now/rateWindow] = r.way.result().meters[busyAccount].admitted
	rate := comparedQuotas[account].Rate * factor / float64(r.load.clump)
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() { r.arrivals(account) })
}

// balance picks a VM that the balancer still uses; skewed prefers low numbers.
func (r *run) balance() int {
	for {
		vm := r.random.IntN(comparedVMs)
		if r.load.skewed {
			vm = int(math.Pow(comparedVMs+1, r.random.Float64())) - 1
		}
		if vm < comparedVMs && !r.gone[vm] {
			return vm
		}
	}
}

// shortfall is the part of what central buckets admitted that the way refused:
// over all accounts, and of the account that fared worst.
func (r *run) shortfall() (all, worst float64) {
	missing, admitted := 0, 0
	for account, ref := range r.refs {
		short := max(0, ref.admitted-r.way.result().meters[account].admitted)
		missing, admitted = missing+short, admitted+ref.admitted
		worst = max(worst, float64(short)/float64(ref.admitted))
	}
	return float64(missing) / float64(admitted), worst
}

func (r *run) over() int {
	over := 0
	for _, m := range r.way.result().meters {
		over += m.over
	}
	return over
}

// fullRateAfter returns how long after the given time the busy account was back
// at nine tenths of its rate for a second.
func (r *run) fullRateAfter(at time.Duration) time.Duration {
	needed := int(0.9 * comparedQuotas[busyAccount].Rate)
	const second = time.Second / rateWindow
	for w := at / rateWindow; (w+second)*rateWindow < r.now; w++ {
		if r.windows[w+second]-r.windows[w] >= needed && w*rateWindow > at {
			return w*rateWindow - at
		}
	}
	return -1
}

const faultAt = warmUp + 2*time.Second

func (r *run) crashHome() {
	home := r.way.homeOf(busyAccount)
	r.way.crash(home)
	r.gone[home] = true
}

// replaceSome replaces every fifth VM, one after the other.
func (r *run) replaceSome(replace func(vm int)) {
	for vm := 0; vm < comparedVMs; vm += 5 {
		r.at(faultAt+time.Duration(vm)*50*time.Millisecond, func() { replace(vm) })
	}
}

var comparedCases = []struct {
	name      string
	load      load
	faults    func(*run)
	faultless bool
}{
	{"even balancing", load{false, 1, busyFactor}, func(*run) {}, true},
	{"skewed balancing", load{true, 1, busyFactor}, func(*run) {}, true},
	{"skewed, bursts of 10", load{true, 10, busyFactor}, func(*run) {}, true},
	{"all within rate, skewed", load{true, 1, usualFactor}, func(*run) {}, true},
	{"home crashes", load{false, 1, busyFactor}, func(r *run) { r.at(faultAt, r.crashHome) }, false},
	{"one-way cut from the home to half of the VMs", load{false, 1, busyFactor}, func(r *run) {
		home := -1
		r.at(faultAt, func() { home = r.way.homeOf(busyAccount) })
		r.way.network().cut = func(from, to int) bool { return from == home && to%2 == 0 && to != home }
	}, false},
	{"two-way cut between halves", load{false, 1, busyFactor}, func(r *run) {
		r.way.network().cut = func(from, to int) bool { return r.now > faultAt && from%2 != to%2 }
	}, false},
	{"home paused for 5 s", load{false, 1, busyFactor}, func(r *run) {
		r.at(faultAt, func() { r.way.pause(r.way.homeOf(busyAccount), 5*time.Second) })
	}, false},
	{"5% of messages lost, 5% doubled, 5% late by up to 0.5 s", load{false, 1, busyFactor}, func(r *run) {
		net := r.way.network()
		net.loss, net.double, net.late, net.lateBy = 0.05, 0.05, 0.05, 500*time.Millisecond
	}, false},
	{"store gone", load{false, 1, busyFactor}, func(r *run) {
		r.at(faultAt, func() { r.way.setStore(true) })
	}, false},
	{"store gone, every fifth VM replaced in order", load{false, 1, busyFactor}, func(r *run) {
		r.at(faultAt, func() { r.way.setStore(true) })
		r.replaceSome(r.way.replaceInOrder)
	}, false},
	{"store gone, every fifth VM replaced without notice", load{false, 1, busyFactor}, func(r *run) {
		r.at(faultAt, func() { r.way.setStore(true) })
		r.replaceSome(r.way.replace)
	}, false},
}

var comparedWays = []struct {
	name  string
	build func(*world) way
}{{"static split", newStaticSplit}, {"leased owner", newLeasedOwner}, {"lent shares", newLentShares}}

// mostRefused is the part of what central buckets admit that may be refused
// while nothing fails.
const mostRefused = 0.01

// TestProofRateCompared runs every way under every load and fault. Lent shares
// must never exceed a bound, and must refuse little while nothing fails.
func TestProofRateCompared(t *testing.T) {
	for _, c := range comparedCases {
		for _, w := range comparedWays {
			t.Run(c.name+"/"+w.name, func(t *testing.T) {
				r := newRun(w.build, c.load, c.faults)
				t.Log(r.row(c.name, w.name))
				if w.name != "lent shares" {
					return
				}
				if r.over() > 0 {
					t.Errorf("%d requests over the bound", r.over())
				}
				if all, _ := r.shortfall(); c.faultless && all > mostRefused {
					t.Errorf("%.2f%% of what central buckets admit was refused", 100*all)
				}
			})
		}
	}
}

// row formats the figures of a run for docs/MEASUREMENTS.md.
func (r *run) row(load, way string) string {
	all, worst := r.shortfall()
	admitted := 0
	for _, m := range r.way.result().meters {
		admitted += m.admitted
	}
	perRequest := func(n int) float64 { return float64(n) / float64(admitted) }
	back := "-"
	if d := r.fullRateAfter(faultAt); strings.HasPrefix(load, "home") && d > 0 {
		back = fmt.Sprintf("%.2f s", d.Seconds())
	}
	waited := "-"
	if l, ok := r.way.(*lentShares); ok {
		waited = fmt.Sprintf("%.0f%% for %.1f ms", 100*perRequest(l.waited), float64(l.waits.Microseconds())/1000/float64(max(l.waited, 1)))
	}
	return fmt.Sprintf("| %s | %s | %d | %.2f%% | %.2f%% | %.1f | %.0f | %s | %s |", load, way, r.over(), 100*all, 100*worst,
		perRequest(r.way.result().messages), perRequest(r.way.result().bytes), back, waited)
}
