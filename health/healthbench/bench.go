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

// Mode is the way to find failing servers.
type Mode string

// Modes.
const (
	ModeShared      Mode = "shared"      // this project's: evidence of all VMs, judged by a home
	ModeAlone       Mode = "alone"       // the same tests in each VM, without sharing
	ModeConsecutive Mode = "consecutive" // five failures in a row in one VM
)

// ProbeKind says what a probe of the home reaches.
type ProbeKind int

// Kinds of probes.
const (
	ProbeHealth  ProbeKind = iota // the health endpoint, which shows nothing in time
	ProbeRequest                  // a path that is answered like any other request
)

// Messages are the faults of messages between VMs.
type Messages struct {
	Lost, Doubled, Late float64 // shares
}

// Bench is one run.
type Bench struct {
	Pool     Pool
	Policy   health.Policy
	Mode     Mode
	Messages Messages
	Probes   ProbeKind
	Backends []*Backend
	VMs      []*VM
	Result   Result

	clock   *clock
	random  *rand.Rand
	service health.Service
	judges  map[int]*health.Detector // by VM
	dead    map[int]bool             // VMs whose agent is gone
	homeOf  func(vm *VM) []int
	started time.Time
}

// Result is what a run counted.
type Result struct {
	Requests  int
	Failed    int
	Sent      int // requests that were sent to servers
	ByAccount []Count
	Latency   []time.Duration // of answered requests
	Events    []Timed
	Bytes     int // of reports and verdicts between VMs, with their envelope
	Probes    int
}

// Count is requests and failures of one client account.
type Count struct{ Requests, Failed int }

// Timed is an event of a judge with its time since the start.
type Timed struct {
	At time.Duration
	timeline.Event
}

// New returns a bench that has not started.
func New(pool Pool, policy health.Policy, mode Mode, seed uint64) *Bench {
	b := &Bench{
		Pool: pool, Policy: policy, Mode: mode, clock: newClock(),
		random: rand.New(rand.NewPCG(seed, 1)), service: pool.service(policy),
		judges: map[int]*health.Detector{}, dead: map[int]bool{},
	}
	b.started = b.clock.now
	b.Result.ByAccount = make([]Count, len(accountShares))
	b.homeOf = func(*VM) []int { return []int{0, 1} }
	for i, server := range b.service.Servers {
		b.Backends = append(b.Backends, &Backend{
			index: i, zone: server.Zone, slots: slots, clock: b.clock, pool: &b.Pool,
			quality: 0.9 + 0.2*b.random.Float64(), random: rand.New(rand.NewPCG(seed, uint64(i)+100)),
		})
	}
	for i := range pool.VMs {
		b.addVM(i)
	}
	b.arrive()
	if mode == ModeShared {
		b.clock.every(0, probePeriod, b.probe)
	}
	return b
}

// Bytes of the JSON-RPC envelope with its timestamp.
const (
	requestEnvelope = len(`{"method":"agent.judge","params":{"s":{"w":1800000000000000000},"b":},"id":100000,"jsonrpc":"2.0"}`)
	answerEnvelope  = len(`{"id":100000,"result":{"s":{"w":1800000000000000000},"b":},"jsonrpc":"2.0"}`)
)

const (
	advancePeriod = 250 * time.Millisecond
	probePeriod   = 250 * time.Millisecond
	callTimeout   = 500 * time.Millisecond
	homeAvoided   = 5 * time.Second
	maxLate       = 3 * time.Second
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
	first := time.Duration(b.random.Int64N(int64(advancePeriod)))
	b.clock.every(first, advancePeriod, func() { b.tick(vm, view) })
}

// arrive sends requests with exponentially distributed gaps.
func (b *Bench) arrive() {
	gap := time.Duration(b.random.ExpFloat64() / b.Pool.Rate * float64(time.Second))
	b.clock.after(gap, func() {
		b.arrive()
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
		vm.earn()
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

func (b *Bench) failed(r *request) {
	b.Result.Failed++
	b.Result.ByAccount[r.account].Failed++
}

// delay is the one-way time between two zones.
func (b *Bench) delay(from, to string) time.Duration {
	if from == to {
		return 200 * time.Microsecond
	}
	return 1500 * time.Microsecond
}

func (b *Bench) viewOf(vm *VM) *health.View { return vm.chooser.(*viewChooser).view }

// tick lets a VM judge its paths and report.
func (b *Bench) tick(vm *VM, view *health.View) {
	b.record(view.Advance(b.clock.now))
	b.check(vm, view)
	if b.Mode == ModeShared && view.ReportDue(b.clock.now) {
		b.exchange(vm, view)
	}
}

// check sends the requests on fresh connections that the view asks for.
func (b *Bench) check(vm *VM, view *health.View) {
	for _, index := range view.ServersToCheck() {
		server := b.Backends[index]
		b.Result.Probes++
		if server.Hang && !server.Lying || server.Cut != nil && server.Cut(vm) {
			b.clock.after(callTimeout, func() { view.RecordCheck(b.service.Servers[index].Name, false) })
			continue
		}
		b.clock.after(probeTime, func() { view.RecordCheck(b.service.Servers[index].Name, true) })
	}
}

func (b *Bench) record(events []timeline.Event) {
	for _, event := range events {
		b.Result.Events = append(b.Result.Events, Timed{b.clock.now.Sub(b.started), event})
	}
}

// exchange sends a report to the first home that the VM believes reachable.
func (b *Bench) exchange(vm *VM, view *health.View) {
	sent := b.clock.now
	report := view.Report(sent)
	body, _ := json.Marshal(report)
	b.Result.Bytes += len(body) + requestEnvelope
	home := b.homeFor(vm)
	over := false
	b.clock.after(callTimeout, func() {
		if !over {
			over = true
			vm.avoid[home] = b.clock.now.Add(homeAvoided)
			view.ReportLost()
		}
	})
	b.deliver(func() {
		if b.dead[home] {
			return
		}
		verdict := b.judge(home, body)
		b.deliver(func() {
			if !over {
				over = true
				view.AcceptVerdict(b.clock.now, sent, report.Sequence, verdict)
			}
		})
	})
}

func (b *Bench) homeFor(vm *VM) int {
	homes := b.homeOf(vm)
	for _, home := range homes {
		if !b.clock.now.Before(vm.avoid[home]) {
			return home
		}
	}
	return homes[0]
}

// deliver carries a message, which may be lost, doubled or late.
func (b *Bench) deliver(arrive func()) {
	if b.random.Float64() < b.Messages.Lost {
		return
	}
	delay := time.Duration((0.5 + b.random.Float64()) * float64(1500*time.Microsecond))
	if b.random.Float64() < b.Messages.Late {
		delay += time.Duration(b.random.Int64N(int64(maxLate)))
	}
	b.clock.after(delay, arrive)
	if b.random.Float64() < b.Messages.Doubled {
		b.clock.after(2*delay, arrive)
	}
}

func (b *Bench) judge(home int, body []byte) wire.HealthVerdict {
	var report wire.HealthReport
	if err := json.Unmarshal(body, &report); err != nil {
		panic(err)
	}
	judge := b.judges[home]
	if judge == nil {
		judge = health.NewDetector(vmName(home), b.clock.now, b.service)
		judge.SetMembers(b.Pool.VMs)
		b.judges[home] = judge
		b.clock.every(advancePeriod, advancePeriod, func() { b.record(judge.Advance(b.clock.now)) })
	}
	verdict := judge.HandleReport(b.clock.now, &report)
	answer, _ := json.Marshal(verdict)
	b.Result.Bytes += len(answer) + answerEnvelope
	return verdict
}

const probeTime = 25 * time.Millisecond

// probe lets every home probe. A health answer never shows a drain in time and
// is good whatever the server does to callers.
func (b *Bench) probe() {
	for home, judge := range b.judges {
		if b.dead[home] {
			continue
		}
		for _, name := range judge.Probes(b.clock.now) {
			b.Result.Probes++
			server := b.Backends[b.indexOf(name)]
			b.clock.after(probeTime, func() {
				draining := b.Probes == ProbeRequest && server.Drain
				judge.RecordProbe(b.clock.now, health.ProbeResult{Server: name, Answered: true, Draining: draining})
			})
		}
	}
}

func (b *Bench) indexOf(name string) int {
	return slices.IndexFunc(b.service.Servers, func(s health.Server) bool { return s.Name == name })
}

// Run continues for the given time.
func (b *Bench) Run(d time.Duration) { b.clock.until(b.clock.now.Add(d)) }

// Usable returns the share of VMs that send callers' requests to a server.
func (b *Bench) Usable(server int) float64 {
	using := 0
	for _, vm := range b.VMs {
		if vm.chooser.usable(vm, server) {
			using++
		}
	}
	return float64(using) / float64(len(b.VMs))
}
