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

// compareDuration is the traffic time of each compared run; the tables in
// docs/MEASUREMENTS.md come from -compare=60s.
var compareDuration = flag.Duration("compare", 8*time.Second, "traffic time of each run that compares strategies")

const (
	compareVMs   = 48
	warmUp       = 5 * time.Second // without traffic, so that all buckets are full
	busyAccount  = "reader-app"    // sends several times its rate
	busyFactor   = 3
	normalFactor = 0.9
)

var compareQuotas = map[string]Quota{
	"reader-web": {120, 60}, "reader-app": {120, 60}, "bookshops": {60, 40}, "schools": {20, 20},
	"libraries": {20, 20}, "poets": {10, 10}, "printers": {10, 10}, "archive": {5, 5},
}

// strategy is one way to share rate and burst between VMs.
type strategy interface {
	arrive(vm int, account string)
	network() *network
	pause(vm int, span time.Duration)
	crash(vm int)
	replace(vm int)        // by a new VM, without notice
	replaceInOrder(vm int) // by a new VM, after the old one has left
	setStoreUnavailable(unavailable bool)
	ownerOf(account string) int // the VM whose loss affects the account most
	result() *totals
}

// totals counts the admitted requests and the messages of a strategy.
type totals struct {
	meters   map[string]*meter
	messages int
	bytes    int
}

func newTotals() *totals {
	t := &totals{meters: map[string]*meter{}}
	for account, quota := range compareQuotas {
		t.meters[account] = newMeter(quota)
	}
	return t
}

func (t *totals) send(message any) {
	t.messages++
	content, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	t.bytes += len(content) + frameBytes
}

// frameBytes is the size that JSON-RPC and the envelope of package wire add to a
// message between agents.
const frameBytes = 84

// leasedShares is the strategy of this package.
type leasedShares struct {
	*fleet
	totals *totals
}

func newLeasedShares(sim *simulation) strategy {
	l := &leasedShares{fleet: newFleet(sim, compareVMs, DefaultTiming, compareQuotas, slewError), totals: newTotals()}
	l.meters = l.totals.meters
	l.observe = l.totals.send
	return l
}

func (l *leasedShares) arrive(vm int, account string)        { l.nodes[vm].arrive(account) }
func (l *leasedShares) network() *network                    { return &l.net }
func (l *leasedShares) pause(vm int, span time.Duration)     { l.nodes[vm].pause(span) }
func (l *leasedShares) setStoreUnavailable(unavailable bool) { l.storeUnavailable = unavailable }
func (l *leasedShares) result() *totals                      { return l.totals }

// crash stops the VM; it leaves the list of VMs 10 s later.
func (l *leasedShares) crash(vm int) {
	l.nodes[vm].crash()
	l.after(10*time.Second, l.publishMembers)
}

func (l *leasedShares) replace(vm int) {
	l.nodes[vm].crash()
	l.start(l.nodes[vm], fmt.Sprintf("new-%d", vm))
}

func (l *leasedShares) replaceInOrder(vm int) {
	n := l.nodes[vm]
	n.lender.Leave()
	n.owner.Leave(n.clock())
	l.after(memberLag, l.publishMembers)
	l.after(memberLag+DefaultTiming.RestartDelay(), func() {
		l.transferShares(n)
		l.replace(vm)
	})
}

const memberLag = time.Second // until all VMs know that one is leaving

func (l *leasedShares) ownerOf(account string) int {
	name := l.nodes[0].lender.OwnerOf(GroupOf(account))
	return slices.IndexFunc(l.nodes, func(n *node) bool { return n.vm.Name == name })
}

// staticSplit gives each VM an equal fixed part of the rate and burst. It uses as many
// VMs as the burst has tokens.
type staticSplit struct {
	*simulation
	net     network
	totals  *totals
	buckets [compareVMs]map[string]*centralBucket
	paused  [compareVMs]time.Duration
	down    [compareVMs]bool
}

func newStaticSplit(sim *simulation) strategy {
	s := &staticSplit{simulation: sim, totals: newTotals()}
	for vm := range compareVMs {
		s.startVM(vm, 1)
	}
	return s
}

func (s *staticSplit) startVM(vm int, filled float64) {
	s.buckets[vm] = map[string]*centralBucket{}
	for account, quota := range compareQuotas {
		parts := min(compareVMs, math.Floor(quota.Burst))
		if float64(vm) < parts {
			part := newMeter(Quota{Rate: quota.Rate / parts, Burst: quota.Burst / parts})
			part.level, part.at = part.quota.Burst*filled, s.now
			s.buckets[vm][account] = &centralBucket{meter: *part}
		}
	}
}

func (s *staticSplit) arrive(vm int, account string) {
	if s.now < s.paused[vm] {
		s.at(s.paused[vm], func() { s.arrive(vm, account) })
		return
	}
	if part := s.buckets[vm][account]; !s.down[vm] && part != nil && part.admit(s.now) {
		s.totals.meters[account].use(s.now)
	}
}

func (s *staticSplit) network() *network                { return &s.net }
func (s *staticSplit) pause(vm int, span time.Duration) { s.paused[vm] = s.now + span }
func (s *staticSplit) crash(vm int)                     { s.down[vm] = true }
func (s *staticSplit) replace(vm int)                   { s.startVM(vm, 0) }
func (s *staticSplit) replaceInOrder(vm int)            { s.replace(vm) }
func (s *staticSplit) setStoreUnavailable(bool)         {}
func (s *staticSplit) ownerOf(string) int               { return 0 }
func (s *staticSplit) result() *totals                  { return s.totals }

// storeLeasedOwner keeps each account's bucket at one VM that holds a lease in the store.
type storeLeasedOwner struct {
	*simulation
	net         network
	totals      *totals
	owners      map[string]*accountOwner
	paused      [compareVMs]time.Duration
	down        [compareVMs]bool
	unavailable bool // the store
}

type accountOwner struct {
	vm     int
	until  time.Duration // end of its lease
	bucket centralBucket
}

const (
	leaseTTL          = 3 * time.Second
	renewPeriod       = time.Second
	ownerReplyTimeout = 100 * time.Millisecond // how long a request waits for its owner
)

func newStoreLeasedOwner(sim *simulation) strategy {
	l := &storeLeasedOwner{simulation: sim, totals: newTotals(), owners: map[string]*accountOwner{}}
	l.net = network{cut: func(int, int) bool { return false }}
	for _, account := range slices.Sorted(mapKeys(compareQuotas)) {
		o := &accountOwner{vm: sim.random.IntN(compareVMs), until: leaseTTL, bucket: centralBucket{meter: *newMeter(compareQuotas[account])}}
		l.owners[account] = o
		l.renew(o)
	}
	return l
}

// renew extends the owner's lease, or gives it to another VM once it has expired and
// the tokens of the last owner can no longer be used. The new owner starts without
// tokens.
func (l *storeLeasedOwner) renew(o *accountOwner) {
	switch {
	case l.unavailable:
	case !l.down[o.vm] && l.now >= l.paused[o.vm] && l.now < o.until:
		o.until = l.now + leaseTTL
	case l.now > o.until+ownerReplyTimeout:
		o.vm, o.until = l.random.IntN(compareVMs), l.now+leaseTTL
		o.bucket.level, o.bucket.at = 0, l.now
	}
	l.after(renewPeriod, func() { l.renew(o) })
}

func (l *storeLeasedOwner) arrive(vm int, account string) {
	o, started, used := l.owners[account], l.now, false
	l.transmit(vm, o.vm, TokenRequest{Account: account, Waiting: 1}, func() {
		if l.now >= o.until || !o.bucket.admit(l.now) {
			return
		}
		l.transmit(o.vm, vm, Grant{Account: account, Tokens: 1}, func() {
			if !used && l.now < started+ownerReplyTimeout {
				used = true
				l.totals.meters[account].use(l.now)
			}
		})
	})
}

func (l *storeLeasedOwner) transmit(from, to int, message any, deliver func()) {
	if from == to {
		l.deliverAt(to, deliver)
		return
	}
	l.totals.send(message)
	for _, delay := range l.deliver(&l.net, from, to) {
		l.after(delay, func() { l.deliverAt(to, deliver) })
	}
}

func (l *storeLeasedOwner) deliverAt(vm int, run func()) {
	if l.now < l.paused[vm] {
		l.at(l.paused[vm], func() { l.deliverAt(vm, run) })
	} else if !l.down[vm] {
		run()
	}
}

func (l *storeLeasedOwner) network() *network                { return &l.net }
func (l *storeLeasedOwner) pause(vm int, span time.Duration) { l.paused[vm] = l.now + span }
func (l *storeLeasedOwner) crash(vm int)                     { l.down[vm] = true }
func (l *storeLeasedOwner) replace(vm int) {
	l.down[vm] = true
	l.after(renewPeriod, func() { l.down[vm] = false })
}
func (l *storeLeasedOwner) replaceInOrder(vm int)                { l.replace(vm) }
func (l *storeLeasedOwner) setStoreUnavailable(unavailable bool) { l.unavailable = unavailable }
func (l *storeLeasedOwner) ownerOf(account string) int           { return l.owners[account].vm }
func (l *storeLeasedOwner) result() *totals                      { return l.totals }

// load describes the arrivals.
type load struct {
	skewed    bool
	batchSize int // requests that arrive at once
	factor    float64
}

// run sends the same traffic to a strategy and to central buckets.
type run struct {
	*simulation
	strategy strategy
	load     load
	refs     map[string]*centralBucket
	removed  [compareVMs]bool // VMs that the balancer no longer uses
	sent     int
	windows  map[time.Duration]int // admitted of the busy account, by window
}

const rateWindow = 250 * time.Millisecond

func newRun(build func(*simulation) strategy, l load, faults func(*run)) *run {
	r := &run{simulation: newSimulation(20261204), load: l, refs: map[string]*centralBucket{}, windows: map[time.Duration]int{}}
	r.strategy = build(r.simulation)
	r.strategy.network().delay = r.zoneDelay
	for _, account := range slices.Sorted(mapKeys(compareQuotas)) {
		r.refs[account] = &centralBucket{meter: *newMeter(compareQuotas[account])}
		r.at(warmUp, func() { r.arrivals(account) })
	}
	r.at(warmUp, func() { r.strategy.result().messages, r.strategy.result().bytes = 0, 0 })
	faults(r)
	r.runUntil(warmUp + *compareDuration)
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
	factor := normalFactor
	if account == busyAccount {
		factor = r.load.factor
	}
	for range r.load.batchSize {
		r.sent++
		r.refs[account].admit(r.now)
		r.strategy.arrive(r.balance(), account)
	}
	r.windows[r.now/rateWindow] = r.strategy.result().meters[busyAccount].admitted
	rate := compareQuotas[account].Rate * factor / float64(r.load.batchSize)
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() { r.arrivals(account) })
}

// balance picks a VM that the balancer still uses; skewed load prefers low numbers.
func (r *run) balance() int {
	for {
		vm := r.random.IntN(compareVMs)
		if r.load.skewed {
			vm = int(math.Pow(compareVMs+1, r.random.Float64())) - 1
		}
		if vm < compareVMs && !r.removed[vm] {
			return vm
		}
	}
}

// shortfall is the fraction of the requests admitted by central buckets that the
// strategy refused: over all accounts, and for the account with the largest fraction.
func (r *run) shortfall() (all, worst float64) {
	missing, admitted := 0, 0
	for account, ref := range r.refs {
		short := max(0, ref.admitted-r.strategy.result().meters[account].admitted)
		missing, admitted = missing+short, admitted+ref.admitted
		worst = max(worst, float64(short)/float64(ref.admitted))
	}
	return float64(missing) / float64(admitted), worst
}

func (r *run) overBound() int {
	overBound := 0
	for _, m := range r.strategy.result().meters {
		overBound += m.overBound
	}
	return overBound
}

// fullRateAfter returns how long after the given time the busy account was back at
// 9/10 of its rate for one second, or -1 if it was not.
func (r *run) fullRateAfter(at time.Duration) time.Duration {
	needed := int(0.9 * compareQuotas[busyAccount].Rate)
	const second = time.Second / rateWindow
	for w := at / rateWindow; (w+second)*rateWindow < r.now; w++ {
		if r.windows[w+second]-r.windows[w] >= needed && w*rateWindow > at {
			return w*rateWindow - at
		}
	}
	return -1
}

const faultAt = warmUp + 2*time.Second

func (r *run) crashOwner() {
	owner := r.strategy.ownerOf(busyAccount)
	r.strategy.crash(owner)
	r.removed[owner] = true
}

// replaceSome replaces every fifth VM, one after the other.
func (r *run) replaceSome(replace func(vm int)) {
	for vm := 0; vm < compareVMs; vm += 5 {
		r.at(faultAt+time.Duration(vm)*50*time.Millisecond, func() { replace(vm) })
	}
}

var compareCases = []struct {
	name     string
	load     load
	faults   func(*run)
	noFaults bool
}{
	{"even balancing", load{false, 1, busyFactor}, func(*run) {}, true},
	{"skewed balancing", load{true, 1, busyFactor}, func(*run) {}, true},
	{"skewed, bursts of 10", load{true, 10, busyFactor}, func(*run) {}, true},
	{"all within rate, skewed", load{true, 1, normalFactor}, func(*run) {}, true},
	{"home crashes", load{false, 1, busyFactor}, func(r *run) { r.at(faultAt, r.crashOwner) }, false},
	{"one-way cut from the home to half of the VMs", load{false, 1, busyFactor}, func(r *run) {
		owner := -1
		r.at(faultAt, func() { owner = r.strategy.ownerOf(busyAccount) })
		r.strategy.network().cut = func(from, to int) bool { return from == owner && to%2 == 0 && to != owner }
	}, false},
	{"two-way cut between halves", load{false, 1, busyFactor}, func(r *run) {
		r.strategy.network().cut = func(from, to int) bool { return r.now > faultAt && from%2 != to%2 }
	}, false},
	{"home paused for 5 s", load{false, 1, busyFactor}, func(r *run) {
		r.at(faultAt, func() { r.strategy.pause(r.strategy.ownerOf(busyAccount), 5*time.Second) })
	}, false},
	{"5% of messages lost, 5% doubled, 5% late by up to 0.5 s", load{false, 1, busyFactor}, func(r *run) {
		net := r.strategy.network()
		net.loss, net.duplicate, net.late, net.maxLateness = 0.05, 0.05, 0.05, 500*time.Millisecond
	}, false},
	{"store gone", load{false, 1, busyFactor}, func(r *run) {
		r.at(faultAt, func() { r.strategy.setStoreUnavailable(true) })
	}, false},
	{"store gone, every fifth VM replaced in order", load{false, 1, busyFactor}, func(r *run) {
		r.at(faultAt, func() { r.strategy.setStoreUnavailable(true) })
		r.replaceSome(r.strategy.replaceInOrder)
	}, false},
	{"store gone, every fifth VM replaced without notice", load{false, 1, busyFactor}, func(r *run) {
		r.at(faultAt, func() { r.strategy.setStoreUnavailable(true) })
		r.replaceSome(r.strategy.replace)
	}, false},
}

var comparedStrategies = []struct {
	name  string
	build func(*simulation) strategy
}{{"static split", newStaticSplit}, {"leased owner", newStoreLeasedOwner}, {"lent shares", newLeasedShares}}

// maxRefusedFraction is the fraction of the requests admitted by central buckets that
// may be refused in runs without faults.
const maxRefusedFraction = 0.01

// TestProofRateCompared runs every strategy under every load and fault. leasedShares
// must never exceed a bound, and must refuse little in runs without faults.
func TestProofRateCompared(t *testing.T) {
	for _, c := range compareCases {
		for _, s := range comparedStrategies {
			t.Run(c.name+"/"+s.name, func(t *testing.T) {
				r := newRun(s.build, c.load, c.faults)
				t.Log(r.row(c.name, s.name))
				if s.name != "lent shares" {
					return
				}
				if r.overBound() > 0 {
					t.Errorf("%d requests over the bound", r.overBound())
				}
				if all, _ := r.shortfall(); c.noFaults && all > maxRefusedFraction {
					t.Errorf("%.2f%% of what central buckets admit was refused", 100*all)
				}
			})
		}
	}
}

// row formats the figures of a run as a table row of docs/MEASUREMENTS.md.
func (r *run) row(load, strategy string) string {
	all, worst := r.shortfall()
	admitted := 0
	for _, m := range r.strategy.result().meters {
		admitted += m.admitted
	}
	perRequest := func(n int) float64 { return float64(n) / float64(admitted) }
	back := "-"
	if d := r.fullRateAfter(faultAt); strings.HasPrefix(load, "home") && d > 0 {
		back = fmt.Sprintf("%.2f s", d.Seconds())
	}
	waited := "-"
	if l, ok := r.strategy.(*leasedShares); ok {
		waited = fmt.Sprintf("%.0f%% for %.1f ms", 100*perRequest(l.waited), float64(l.waits.Microseconds())/1000/float64(max(l.waited, 1)))
	}
	return fmt.Sprintf("| %s | %s | %d | %.2f%% | %.2f%% | %.1f | %.0f | %s | %s |", load, strategy, r.overBound(), 100*all, 100*worst,
		perRequest(r.strategy.result().messages), perRequest(r.strategy.result().bytes), back, waited)
}
