package healthbench

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"lacewingmount.dev/health"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// Mode selects how failing servers are detected.
type Mode string

// Detection modes.
const (
	ModeShared      Mode = "shared"      // one VM, the owner, evaluates the reports of all VMs
	ModeLocal       Mode = "alone"       // baseline: each VM applies the same tests to its own requests only
	ModeConsecutive Mode = "consecutive" // baseline: each VM ejects a server after consecutiveFailures consecutive failures
)

// ProbeKind selects which path of a server the owner probes.
type ProbeKind int

// Kinds of probes.
const (
	ProbeHealth  ProbeKind = iota // the health endpoint, which does not report a drain in time
	ProbeRequest                  // an ordinary request path, whose answers report a drain
)

// MessageFaults configures faults of the messages between VMs.
type MessageFaults struct {
	Lost, Duplicated, Delayed float64 // fractions of the messages, 0 to 1
}

// Bench is one simulation of a service and the VMs that send to it.
type Bench struct {
	Pool          Pool
	Policy        health.Policy
	Mode          Mode
	MessageFaults MessageFaults
	Probes        ProbeKind
	Backends      []*Backend
	VMs           []*VM
	Result        Result

	clock           *clock
	random          *rand.Rand
	service         health.Service
	detectors       map[int]*health.Detector // by VM index
	stopped         map[int]bool             // VMs whose agent has stopped
	candidateOwners func(vm *VM) []int
	started         time.Time
}

// Result holds the counters and events of a run.
type Result struct {
	Requests  int
	Failed    int
	Sent      int // attempts sent to servers, including retries
	ByAccount []RequestCount
	Latency   []time.Duration // of each answered request, retries included
	Events    []TimedEvent
	Bytes     int // of reports and verdicts between VMs, including the JSON-RPC envelope
	Probes    int
}

// RequestCount counts the requests and failed requests of one client account.
type RequestCount struct{ Requests, Failed int }

// TimedEvent is an event with its time since the start of the simulation.
type TimedEvent struct {
	At time.Duration
	timeline.Event
}

// New returns a Bench for pool whose virtual time has not advanced yet. seed seeds
// all of its randomness.
func New(pool Pool, policy health.Policy, mode Mode, seed uint64) *Bench {
	b := &Bench{
		Pool: pool, Policy: policy, Mode: mode, clock: newClock(),
		random: rand.New(rand.NewPCG(seed, 1)), service: pool.service(policy),
		detectors: map[int]*health.Detector{}, stopped: map[int]bool{},
	}
	b.started = b.clock.now
	b.Result.ByAccount = make([]RequestCount, len(accountShares))
	b.candidateOwners = func(*VM) []int { return []int{0, 1} }
	for i, server := range b.service.Servers {
		b.Backends = append(b.Backends, &Backend{
			index: i, zone: server.Zone, slots: slots, clock: b.clock, pool: &b.Pool,
			quality: 0.9 + 0.2*b.random.Float64(), random: rand.New(rand.NewPCG(seed, uint64(i)+100)),
		})
	}
	for i := range pool.VMs {
		b.addVM(i)
	}
	b.scheduleRequests()
	if mode == ModeShared {
		b.clock.every(0, probeInterval, b.probe)
	}
	return b
}

// Size in bytes of the JSON-RPC envelope, including its timestamp.
const (
	requestEnvelope = len(`{"method":"agent.judge","params":{"s":{"w":1800000000000000000},"b":},"id":100000,"jsonrpc":"2.0"}`)
	answerEnvelope  = len(`{"id":100000,"result":{"s":{"w":1800000000000000000},"b":},"jsonrpc":"2.0"}`)
)

const (
	advanceInterval    = 250 * time.Millisecond
	probeInterval      = 250 * time.Millisecond
	callTimeout        = 500 * time.Millisecond
	ownerAvoidDuration = 5 * time.Second
	maxExtraDelay      = 3 * time.Second
)

func (b *Bench) addVM(i int) {
	vm := &VM{
		index: i, zone: b.Pool.Zones[i%len(b.Pool.Zones)], bench: b, avoid: map[int]time.Time{},
		budget: budgetInitial, refilled: b.clock.now,
		conns: make([]connection, b.Pool.Servers), attempts: make([]int, b.Pool.Servers),
	}
	b.VMs = append(b.VMs, vm)
	if b.Mode == ModeConsecutive {
		vm.chooser = newConsecutive(b.Pool.Servers)
		return
	}
	view := health.NewView(vmName(i), vm.zone, b.clock.now)
	view.SetService(b.clock.now, b.service, health.Limits{Slots: slots, Connections: connections}, b.Pool.VMs)
	vm.chooser = &viewChooser{view: view}
	first := time.Duration(b.random.Int64N(int64(advanceInterval)))
	b.clock.every(first, advanceInterval, func() { b.advanceView(vm, view) })
}

// scheduleRequests schedules the next request after an exponentially distributed
// interval, sends it from a random VM, and repeats.
func (b *Bench) scheduleRequests() {
	gap := time.Duration(b.random.ExpFloat64() / b.Pool.Rate * float64(time.Second))
	b.clock.after(gap, func() {
		b.scheduleRequests()
		vm := b.VMs[b.random.IntN(len(b.VMs))]
		idempotent := b.random.Float64() < b.Pool.Idempotent
		r := &request{
			account:  b.account(),
			kind:     health.Request{Idempotent: idempotent, Protected: !idempotent && b.Pool.Idempotent > 0},
			arrived:  b.clock.now,
			deadline: b.clock.now.Add(b.Pool.Timeout), tried: map[int]bool{},
		}
		b.Result.Requests++
		b.Result.ByAccount[r.account].Requests++
		vm.refillBudget()
		vm.serve(r)
	})
}

func (b *Bench) account() int {
	draw := b.random.Float64()
	for i, share := range accountShares {
		if draw < share {
			return i
		}
		draw -= share
	}
	return 0
}

func (b *Bench) countFailure(r *request) {
	b.Result.Failed++
	b.Result.ByAccount[r.account].Failed++
}

// delay returns the one-way network delay between two availability zones.
func (b *Bench) delay(from, to string) time.Duration {
	if from == to {
		return 200 * time.Microsecond
	}
	return 1500 * time.Microsecond
}

func (b *Bench) viewOf(vm *VM) *health.View { return vm.chooser.(*viewChooser).view }

// advanceView advances the health view of a VM, performs its checks and, in
// ModeShared, sends a report when one is due.
func (b *Bench) advanceView(vm *VM, view *health.View) {
	b.record(view.Advance(b.clock.now))
	b.performChecks(vm, view)
	if b.Mode == ModeShared && view.ReportDue(b.clock.now) {
		b.exchange(vm, view)
	}
}

// performChecks performs the checks that the view requests. Each is a request on a
// new connection.
func (b *Bench) performChecks(vm *VM, view *health.View) {
	for _, index := range view.ServersToCheck() {
		server := b.Backends[index]
		b.Result.Probes++
		if server.Hang && !server.HealthCheckPasses || server.Unreachable != nil && server.Unreachable(vm) {
			b.clock.after(callTimeout, func() { view.RecordCheck(b.service.Servers[index].Name, false) })
			continue
		}
		b.clock.after(probeDuration, func() { view.RecordCheck(b.service.Servers[index].Name, true) })
	}
}

func (b *Bench) record(events []timeline.Event) {
	for _, event := range events {
		b.Result.Events = append(b.Result.Events, TimedEvent{b.clock.now.Sub(b.started), event})
	}
}

// exchange sends a report to the first owner that the VM does not avoid and applies
// the verdict that comes back. After callTimeout it counts as lost.
func (b *Bench) exchange(vm *VM, view *health.View) {
	sent := b.clock.now
	report := view.Report(sent)
	body, _ := json.Marshal(report)
	b.Result.Bytes += len(body) + requestEnvelope
	owner := b.selectOwner(vm)
	completed := false
	b.clock.after(callTimeout, func() {
		if !completed {
			completed = true
			vm.avoid[owner] = b.clock.now.Add(ownerAvoidDuration)
			view.ReportLost()
		}
	})
	b.deliver(func() {
		if b.stopped[owner] {
			return
		}
		verdict := b.detector(owner, body)
		b.deliver(func() {
			if !completed {
				completed = true
				view.AcceptVerdict(b.clock.now, sent, report.Sequence, verdict)
			}
		})
	})
}

func (b *Bench) selectOwner(vm *VM) int {
	owners := b.candidateOwners(vm)
	for _, owner := range owners {
		if !b.clock.now.Before(vm.avoid[owner]) {
			return owner
		}
	}
	return owners[0]
}

// deliver schedules the delivery of a message, which may be lost, duplicated or
// delayed according to MessageFaults.
func (b *Bench) deliver(arrive func()) {
	if b.random.Float64() < b.MessageFaults.Lost {
		return
	}
	delay := time.Duration((0.5 + b.random.Float64()) * float64(1500*time.Microsecond))
	if b.random.Float64() < b.MessageFaults.Delayed {
		delay += time.Duration(b.random.Int64N(int64(maxExtraDelay)))
	}
	b.clock.after(delay, arrive)
	if b.random.Float64() < b.MessageFaults.Duplicated {
		b.clock.after(2*delay, arrive)
	}
}

// detector passes a report to the detector of an owner, which it creates on first
// use, and returns the verdict.
func (b *Bench) detector(owner int, body []byte) wire.HealthVerdict {
	var report wire.HealthReport
	if err := json.Unmarshal(body, &report); err != nil {
		panic(err)
	}
	detector := b.detectors[owner]
	if detector == nil {
		detector = health.NewDetector(vmName(owner), b.clock.now, b.service)
		detector.SetMembers(b.Pool.VMs)
		b.detectors[owner] = detector
		b.clock.every(advanceInterval, advanceInterval, func() { b.record(detector.Advance(b.clock.now)) })
	}
	verdict := detector.HandleReport(b.clock.now, &report)
	answer, _ := json.Marshal(verdict)
	b.Result.Bytes += len(answer) + answerEnvelope
	return verdict
}

const probeDuration = 25 * time.Millisecond

// probe performs the probes that every running owner requests. Every probe is
// answered, whatever faults the server has; only a ProbeRequest detects a drain.
func (b *Bench) probe() {
	for owner, detector := range b.detectors {
		if b.stopped[owner] {
			continue
		}
		for _, name := range detector.Probes(b.clock.now) {
			b.Result.Probes++
			server := b.Backends[b.indexOf(name)]
			b.clock.after(probeDuration, func() {
				draining := b.Probes == ProbeRequest && server.Drain
				detector.RecordProbe(b.clock.now, health.ProbeResult{Server: name, Answered: true, Draining: draining})
			})
		}
	}
}

func (b *Bench) indexOf(name string) int {
	return slices.IndexFunc(b.service.Servers, func(s health.Server) bool { return s.Name == name })
}

// Run advances the simulation by d.
func (b *Bench) Run(d time.Duration) { b.clock.runUntil(b.clock.now.Add(d)) }

// Usable returns the fraction of VMs, 0 to 1, that send callers' requests to the
// server with the given index.
func (b *Bench) Usable(server int) float64 {
	using := 0
	for _, vm := range b.VMs {
		if vm.chooser.usable(vm, server) {
			using++
		}
	}
	return float64(using) / float64(len(b.VMs))
}
