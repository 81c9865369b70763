package placement

import (
	"slices"
	"testing"
	"time"
)

// mixed returns kinds of 230 requests a second whose mean work is 320 ms, and of which the long
// ones take eight times as long as the short ones.
func mixed(spread, longShare float64) []workKind {
	return []workKind{
		{perSecond: 180, rank: 1, mean: 130 * time.Millisecond, spread: spread, longShare: longShare, long: 5, target: 700 * time.Millisecond, deadline: 5 * time.Second},
		{perSecond: 50, rank: 1, mean: 1000 * time.Millisecond, spread: spread, longShare: longShare, long: 5, target: 2500 * time.Millisecond, deadline: 8 * time.Second},
	}
}

// workLoads are loads on 29 servers with 4 slots, whose requests differ in work.
var workLoads = []struct {
	name   string
	kinds  []workKind
	inTime float64 // share of the calls that must be answered in time
	factor float64
	before func(*workload) // after 8 s
	during func(*workload) // 4 s later
}{
	{"bimodal work", mixed(0.3, 0), 0.755, 1.8, nil, nil},
	{"a heavy tail", mixed(0.8, 0.03), 0.864, 1.5, nil, nil},
	{"servers of unequal speed", mixed(0.3, 0), 0.9915, 1.35, func(w *workload) {
		w.some(3, func(s *workServer) { s.speed = 0.35 })
		w.some(4, func(s *workServer) { s.speed = 1.5 })
	}, nil},
	{"a class whose work doubles", mixed(0.3, 0), 0.953, 1.2, nil, func(w *workload) { w.kinds[0].mean *= 2 }},
	{"a class seen for the first time", append(mixed(0.3, 0), workKind{rank: 1, mean: 2 * time.Second, spread: 0.3, target: 4 * time.Second, deadline: 9 * time.Second}), 0.925, 1.1, nil,
		func(w *workload) { w.kinds[2].perSecond = 20 }},
	{"an estimate ten times too high", mixed(0.3, 0), 0.93, 1.6, nil, func(w *workload) { scaleEstimates(w, 10) }},
	{"an estimate ten times too low", mixed(0.3, 0), 0.93, 1.6, nil, func(w *workload) { scaleEstimates(w, 0.1) }},
}

// scaleEstimates makes what the Broker has learned about the first kind wrong.
func scaleEstimates(w *workload, factor float64) {
	if c := w.broker.work.classes[ClassOf(1, 0)]; c != nil {
		c.mean *= factor
	}
}

// runWorkLoad returns the calls of 12 s from the change of the load on. Without classes the Broker
// counts slots alone.
func runWorkLoad(load int, seed uint64, classes bool) workSummary {
	l := workLoads[load]
	w := newWorkload(29, 4, seed, append([]workKind(nil), l.kinds...)...)
	if classes {
		w.classOf = func(r *Request, kind int) { r.Route = uint32(kind + 1) }
	}
	if l.before != nil {
		l.before(w)
	}
	w.run(8 * time.Second)
	from := w.now
	w.factor = l.factor
	w.run(4 * time.Second)
	if l.during != nil {
		l.during(w)
	}
	w.run(8 * time.Second)
	until := w.now
	w.run(8 * time.Second)
	return w.summary(from, until)
}

// Load: each of workLoads, on servers that the Broker knows nothing about at the begin. Counting slots
// alone gives short and long requests the same wait, and does not know what is left of running
// ones. No load may be served worse by class than by slots, and few refusals may come late.
func TestWorkByClass(t *testing.T) {
	const seeds = 4
	refused, late := 0, 0
	for i, load := range workLoads {
		var slots, classes [3]float64 // in time, worst kind, 99th percentile
		for seed := range uint64(seeds) {
			for classified, sums := range map[bool]*[3]float64{false: &slots, true: &classes} {
				s := runWorkLoad(i, seed+1, classified)
				for j, value := range []float64{s.inTimeShare(), s.worstKind, s.p99.Seconds()} {
					sums[j] += value / seeds
				}
				if classified {
					refused, late = refused+s.atOnce+s.afterWaiting, late+s.afterWaiting
				}
			}
		}
		t.Logf("%s: in time, worst kind, 99th percentile: %.3f by slots, %.3f by class", load.name, slots, classes)
		if classes[0] < slots[0]-0.002 || classes[1] < slots[1]-0.002 || classes[2] > 1.1*slots[2] {
			t.Errorf("%s: in time, worst kind and 99th percentile are %.3f by class, %.3f by slots", load.name, classes, slots)
		}
		if classes[0] < load.inTime {
			t.Errorf("%s: %.3f are answered in time, want %.3f", load.name, classes[0], load.inTime)
		}
	}
	t.Logf("%d requests refused by class, %d of them after waiting", refused, late)
	if 10*late >= refused {
		t.Errorf("%d of %d refusals came after waiting, want fewer than one in ten", late, refused)
	}
}

// Load: 260 requests a second of twelve classes that cost the same, with a heavy tail, with and without
// the classes. Chance makes some classes look dearer than others; still each request gets the same
// server at the same time as without classes.
func TestEqualClassesChangeNoDecision(t *testing.T) {
	run := func(seed uint64, classes bool) (results []workResult, servers []string) {
		kind := workKind{perSecond: 65, rank: 1, mean: 280 * time.Millisecond, spread: 0.8, longShare: 0.03, long: 7, target: 2 * time.Second, deadline: 6 * time.Second}
		w := newWorkload(29, 4, seed, kind, kind, kind, kind)
		if classes {
			w.classOf = func(r *Request, kind int) { r.Route = uint32(kind) + 4*uint32(r.ID.Seq%3) }
		}
		w.some(4, func(s *workServer) { s.speed = 0.6 })
		w.run(20 * time.Second)
		return w.results, w.granted
	}
	for seed := range uint64(4) {
		results, servers := run(seed, false)
		otherResults, otherServers := run(seed, true)
		if !slices.Equal(servers, otherServers) || !slices.Equal(results, otherResults) {
			t.Errorf("seed %d: classes that cost the same change the decisions", seed)
		}
	}
}

// Load: bimodal work while the owner of the service changes. The next owner knows only what
// the VMs report: their requests in flight, and what one of them has learned about the classes.
func TestNewOwnerKnowsTheWork(t *testing.T) {
	w := newWorkload(29, 4, 1, mixed(0.3, 0)...)
	w.classOf = func(r *Request, kind int) { r.Route = uint32(kind + 1) }
	w.run(8 * time.Second)
	next := newWorkload(29, 4, 1).broker
	next.LearnWork(w.now, w.broker.Work(w.now))
	running := map[string][]Running{}
	for _, r := range w.running {
		call := w.calls[r.id]
		running[r.id.VM] = append(running[r.id.VM], Running{Seq: r.id.Seq, Server: r.server, Age: w.now.Sub(r.began), Class: call.request.class()})
	}
	for vm, list := range running {
		next.Sync(w.now, vm, list)
	}
	for kind, k := range w.kinds {
		r := Request{Route: uint32(kind + 1)}
		if got := next.workOf(&r); got < k.mean*3/4 || got > k.mean*5/4 {
			t.Errorf("the new owner expects %v of work for kind %d, which takes %v", got, kind, k.mean)
		}
	}
	for _, s := range w.broker.serversByID {
		known, reported := w.broker.workLoad(w.now, s), next.workLoad(w.now, next.servers[s.ID])
		if reported < known*0.5-0.1 || reported > known*2+0.1 {
			t.Errorf("the new owner takes the load of %s for %.2f, the one before for %.2f", s.ID, reported, known)
		}
	}
}

// A request that has exceeded its estimate has more work left, not none: with a heavy tail it
// is the likelier to be a long one.
func TestWorkLeftGrowsBeyondTheEstimate(t *testing.T) {
	w := newWorkload(29, 4, 1, mixed(0.8, 0.03)...)
	w.classOf = func(r *Request, kind int) { r.Route = uint32(kind + 1) }
	w.run(10 * time.Second)
	shape := &w.broker.work.shape
	if young, old := shape.left(0.3), shape.left(2.5); old < young {
		t.Errorf("after 0.3 of the estimate %.2f of it are left, after 2.5 times the estimate %.2f", young, old)
	}
	if left := shape.left(30); left < 1 {
		t.Errorf("after 30 times the estimate %.2f of it are left", left)
	}
}

// Load: answers of more classes than a service may have, as a fault of the routes' names would send.
func TestClassesAreBounded(t *testing.T) {
	b := newWorkload(1, 4, 1).broker
	now := time.Unix(1000, 0)
	for i := range 10 * maxClasses {
		now = now.Add(time.Millisecond)
		b.work.observe(now, ClassOf(uint32(i%2)*uint32(i)+1, i), b.serversByID[0], 300*time.Millisecond, 0.3)
	}
	if len(b.work.classes) > maxClasses {
		t.Errorf("%d classes are kept, want at most %d", len(b.work.classes), maxClasses)
	}
	b.LearnWork(now, []ClassWork{{Class: ClassOf(7, 0), Mean: -time.Second, Samples: 50}, {Class: ClassOf(8, 0), Mean: 100 * time.Hour, Samples: -3}})
	if work := b.work.seconds(ClassOf(7, 0), 0.3); work < 0.2 || work > 0.4 {
		t.Errorf("an invalid report makes the work %.2f s", work)
	}
}

// Load: that of BenchmarkHomeOfFullSize, whose requests are of two classes that differ.
func BenchmarkHomeOfClasses(b *testing.B) {
	sim := newSimulation(57, 30)
	for b.Loop() {
		sim.step(905, func(r *Request) {
			r.Route = uint32(r.ID.Seq % 2)
			sim.work = 200*time.Millisecond + time.Duration(r.Route)*600*time.Millisecond
		})
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(sim.seq), "us/request")
	if !sim.broker.work.inForce {
		b.Error("the estimate is not in force")
	}
}
