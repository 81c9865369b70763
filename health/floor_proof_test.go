package health

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingmount.dev/wire"
)

// fleet holds three views and two detectors whose states may differ. Random steps
// drive it: requests, drains, messages in any order, changes of the owner, of the
// configuration and of the time.
type fleet struct {
	now            time.Time
	service        Service
	detectors      []*Detector
	views          []*View
	owner          []int // index of the detector that each view reports to
	reports        []sentReport
	verdicts       []sentVerdict
	skipFloorCheck bool
}

type sentReport struct {
	view   int
	owner  int
	sent   time.Time
	report *wire.HealthReport
}

type sentVerdict struct {
	sentReport
	verdict wire.HealthVerdict
}

const (
	fleetVMs = 3
	owners   = 2
)

var fleetLimits = Limits{Slots: 6, Connections: 400}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{now: time.Unix(1_800_000_000, 0), owner: make([]int, fleetVMs)}
	f.service = Service{Name: "shelf", Policy: Policy{FalseEjections: 1000}}
	f.setServers(rapid.IntRange(2, 8).Draw(t, "servers"))
	f.service.Floor = rapid.IntRange(1, len(f.service.Servers)).Draw(t, "floor")
	for i := range owners {
		f.detectors = append(f.detectors, NewDetector(fmt.Sprint("owner-", i), f.now, f.service))
	}
	for i := range fleetVMs {
		view := NewView(fmt.Sprint("vm-", i), zoneOf(i), f.now)
		view.SetService(f.now, f.service, fleetLimits, fleetVMs)
		f.views = append(f.views, view)
	}
	return f
}

func zoneOf(i int) string { return string(rune('a' + i%2)) }

func (f *fleet) setServers(count int) {
	f.service.Servers = nil
	for i := range count {
		f.service.Servers = append(f.service.Servers, Server{Name: fmt.Sprint("shelf-", i), Zone: zoneOf(i)})
	}
}

// requests records successful requests of a VM to every server, and requests with
// a random outcome to one server.
func (f *fleet) requests(t *rapid.T) {
	view := f.views[rapid.IntRange(0, fleetVMs-1).Draw(t, "vm")]
	outcome := rapid.SampledFrom([]Outcome{{}, {Completion: Failed}, {Completion: Incomplete}, {Completion: Shed}, {Draining: true}}).Draw(t, "outcome")
	failingServer := rapid.IntRange(0, len(view.servers)-1).Draw(t, "server")
	took := rapid.SampledFrom([]time.Duration{10 * time.Millisecond, time.Second}).Draw(t, "took")
	for i := range view.servers {
		view.RecordAttempt(f.now, i, 10*time.Millisecond, false, Outcome{})
	}
	for range rapid.IntRange(1, 20).Draw(t, "count") {
		view.RecordAttempt(f.now, failingServer, took, false, outcome)
	}
}

// send creates a report without delivering it.
func (f *fleet) send(t *rapid.T) {
	i := rapid.IntRange(0, fleetVMs-1).Draw(t, "vm")
	f.reports = append(f.reports, sentReport{i, f.owner[i], f.now, f.views[i].Report(f.now)})
}

// receive delivers a random undelivered report and may keep it for another delivery.
func (f *fleet) receive(t *rapid.T) {
	if len(f.reports) == 0 {
		return
	}
	k := rapid.IntRange(0, len(f.reports)-1).Draw(t, "report")
	sent := f.reports[k]
	verdict := f.detectors[sent.owner].HandleReport(f.now, sent.report)
	f.verdicts = append(f.verdicts, sentVerdict{sent, verdict})
	if rapid.Bool().Draw(t, "once") {
		f.reports = append(f.reports[:k], f.reports[k+1:]...)
	}
}

// accept delivers a random undelivered verdict and may keep it for another delivery.
func (f *fleet) accept(t *rapid.T) {
	if len(f.verdicts) == 0 {
		return
	}
	k := rapid.IntRange(0, len(f.verdicts)-1).Draw(t, "verdict")
	sent := f.verdicts[k]
	f.views[sent.view].AcceptVerdict(f.now, sent.sent, sent.report.Sequence, sent.verdict)
	if rapid.Bool().Draw(t, "once") {
		f.verdicts = append(f.verdicts[:k], f.verdicts[k+1:]...)
	}
}

// exchange delivers a new report and its verdict at once.
func (f *fleet) exchange(t *rapid.T) {
	i := rapid.IntRange(0, fleetVMs-1).Draw(t, "vm")
	report := f.views[i].Report(f.now)
	f.views[i].AcceptVerdict(f.now, f.now, report.Sequence, f.detectors[f.owner[i]].HandleReport(f.now, report))
}

func (f *fleet) advanceClock(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 15_000).Draw(t, "ms")) * time.Millisecond)
}

func (f *fleet) advance(*rapid.T) {
	for _, detector := range f.detectors {
		detector.Advance(f.now)
	}
	for _, view := range f.views {
		view.Advance(f.now)
	}
}

func (f *fleet) changeOwner(t *rapid.T) {
	f.owner[rapid.IntRange(0, fleetVMs-1).Draw(t, "vm")] = rapid.IntRange(0, owners-1).Draw(t, "owner")
}

// restartOwner replaces a detector by a new one without state.
func (f *fleet) restartOwner(t *rapid.T) {
	i := rapid.IntRange(0, owners-1).Draw(t, "owner")
	f.detectors[i] = NewDetector(fmt.Sprint("owner-", i), f.now, f.service)
}

// configure changes the floor and the servers. Only a random part of the processes
// gets the new configuration.
func (f *fleet) configure(t *rapid.T) {
	f.setServers(rapid.IntRange(2, 8).Draw(t, "servers"))
	f.service.Floor = rapid.IntRange(1, len(f.service.Servers)).Draw(t, "floor")
	for _, detector := range f.detectors {
		if rapid.Bool().Draw(t, "owner gets configuration") {
			detector.SetService(f.now, f.service)
		}
	}
	for _, view := range f.views {
		if rapid.Bool().Draw(t, "vm gets configuration") {
			view.SetService(f.now, f.service, fleetLimits, fleetVMs)
		}
	}
}

// check verifies that ejection and avoidance do not reduce the servers in use
// below the floor, for each view and each detector.
func (f *fleet) check(t *rapid.T) {
	for _, view := range f.views {
		used, available := 0, 0
		for i, eligibility := range f.eligibilities(view) {
			s := view.servers[i]
			if s.isDraining() || f.inSlowStart(view, s) {
				continue
			}
			available++
			if eligibility.Usable {
				used++
			}
		}
		if used < min(view.service.Floor, available) {
			t.Fatalf("%s uses %d of %d servers, floor %d", view.vm, used, available, view.service.Floor)
		}
	}
	for _, detector := range f.detectors {
		detector.Advance(f.now)
		available := 0
		for _, s := range detector.servers {
			if !s.drain.active && s.state != wire.StateSlowStart {
				available++
			}
		}
		if capacity := detector.capacity(); capacity < min(detector.service.Floor, available) {
			t.Fatalf("%s leaves %d of %d servers, floor %d", detector.owner, capacity, available, detector.service.Floor)
		}
	}
}

func (f *fleet) inSlowStart(view *View, s *viewServer) bool {
	return f.now.Before(s.slowStartUntil) || f.now.Before(view.expires) && s.ownerVerdict.State == wire.StateSlowStart
}

// eligibilities returns those of the view or, with skipFloorCheck, those of an
// entry that applies every verdict without enforcing the floor.
func (f *fleet) eligibilities(view *View) []Eligibility {
	eligibilities := view.Eligibilities(f.now)
	if !f.skipFloorCheck {
		return eligibilities
	}
	for i, s := range view.servers {
		eligibilities[i].Usable = !view.capacityOf(f.now, s, f.now.Before(view.expires)).Remove && !s.isDraining()
	}
	return eligibilities
}

func (f *fleet) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"requests": f.requests, "requests again": f.requests, "send": f.send, "receive": f.receive, "accept": f.accept,
		"exchange": f.exchange, "exchange again": f.exchange, "advance": f.advance, "pass": f.advanceClock,
		"change owner": f.changeOwner, "restart owner": f.restartOwner, "configure": f.configure, "": f.check,
	}
}

// TestProofFloorHolds checks that the floor holds on three VMs with two owners in
// different states, drains, configuration changes and messages in any order.
func TestProofFloorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newFleet(t).steps()) })
}

// TestControlFloorTrustingEntries checks that the same steps bring an entry below
// the floor if it applies verdicts without enforcing the floor itself.
func TestControlFloorTrustingEntries(t *testing.T) {
	trusting := func(t *rapid.T) {
		f := newFleet(t)
		f.skipFloorCheck = true
		t.Repeat(f.steps())
	}
	if !hasCounterexample(t, trusting) {
		t.Fatal("check found no violation for an entry that does not enforce the floor")
	}
}
