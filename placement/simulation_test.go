package placement

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// simulation runs requests against a Broker in virtual time, with servers that have
// slots, a processing time and failure periods.
type simulation struct {
	broker      *Broker
	now         time.Time
	seq         uint64
	running     []simRequest
	failing     map[string]bool
	lastUsed    map[string]time.Time
	ended       map[Outcome]int
	refused     map[string]int
	work        time.Duration // processing time of each request
	granted     []uint64
	unreachable func(vm, server string) bool // whether the VM cannot connect to the server; nil if all can
	shedShare   float64                      // share of the requests that servers refuse without running them; the caller's VM sends these again
	random      *rand.Rand
	open        map[RequestID]simCall // calls whose request has not ended
	latencies   []time.Duration       // of the answered calls
	dueFraction float64               // accumulated fraction of the next request
	nextTick    time.Time
	// lastDecisions are the decisions since the start of the last step.
	lastDecisions []Decision
	// Optional hooks: the processing time of a call, and what to do when it is answered or refused.
	workOf    func(simCall) time.Duration
	onAnswer  func(call simCall, latency time.Duration)
	onRefused func(simCall, Decision)
}

// simCall is a caller's call, which may take several requests.
type simCall struct {
	request Request
	arrived time.Time
	servers []string // servers that refused it
}

// simRequest is a running request of a simulation.
type simRequest struct {
	id     RequestID
	server string
	ends   time.Time
	took   time.Duration
	result Outcome
}

const unreachableTime = 150 * time.Millisecond // until a VM gives up connecting to a server

const step = 5 * time.Millisecond // resolution of the virtual time

var testPolicy = Policy{Retries: RetryBudget{Ratio: 0.2, Allowance: 64, Window: 10 * time.Second}, MinServers: 0.7}

func newSimulation(servers, slots int) *simulation {
	sim := &simulation{
		broker: NewBroker(testPolicy, 1), now: time.Unix(1000, 0), failing: map[string]bool{}, lastUsed: map[string]time.Time{},
		random: rand.New(rand.NewPCG(1, 1)), open: map[RequestID]simCall{},
		ended: map[Outcome]int{}, refused: map[string]int{}, work: 470 * time.Millisecond,
	}
	var registered []Server
	for i := range servers {
		registered = append(registered, Server{ID: fmt.Sprintf("s%02d", i), Zone: fmt.Sprintf("z%d", i%3), Slots: slots})
	}
	sim.broker.SetServers(sim.now, registered)
	return sim
}

// request requests a slot for the VM and returns the decision.
func (sim *simulation) request(vm string, change func(*Request)) Decision {
	sim.seq++
	r := Request{ID: RequestID{VM: vm, Seq: sim.seq}, Zone: "z0", Priority: 1, Left: 5 * time.Second, Target: 1500 * time.Millisecond}
	if change != nil {
		change(&r)
	}
	sim.open[r.ID] = simCall{request: r, arrived: sim.now}
	sim.handle(sim.broker.Request(sim.now, r))
	decisions := sim.broker.repeatDecision(r.ID)
	if sim.broker.grants.get(r.ID) == nil && !sim.broker.isQueued(r.ID) {
		return Decision{ID: r.ID, Verdict: Refused}
	}
	return decisions[0]
}

// handle starts the granted requests and counts the refused ones.
func (sim *simulation) handle(decisions []Decision) {
	sim.lastDecisions = append(sim.lastDecisions, decisions...)
	for _, d := range decisions {
		switch d.Verdict {
		case Granted:
			work := sim.work
			if sim.workOf != nil {
				work = sim.workOf(sim.open[d.ID])
			}
			r := simRequest{id: d.ID, server: d.Server, ends: sim.now.Add(work), took: work}
			if sim.failing[d.Server] {
				r.ends, r.took, r.result = sim.now.Add(5*time.Millisecond), 5*time.Millisecond, Failed
			}
			if sim.random.Float64() < sim.shedShare {
				r.ends, r.took, r.result = sim.now.Add(5*time.Millisecond), 5*time.Millisecond, Shed
			}
			if sim.unreachable != nil && sim.unreachable(d.ID.VM, d.Server) {
				r.ends, r.took, r.result = sim.now.Add(unreachableTime), unreachableTime, Unreachable
			}
			sim.lastUsed[d.Server] = sim.now
			sim.granted = append(sim.granted, d.ID.Seq)
			sim.running = append(sim.running, r)
		case Refused:
			sim.refused[d.Reason]++
			if sim.onRefused != nil {
				sim.onRefused(sim.open[d.ID], d)
			}
			delete(sim.open, d.ID)
		}
	}
}

// run simulates the span with perSecond requests a second from ten VMs.
func (sim *simulation) run(span time.Duration, perSecond float64, change func(*Request)) {
	for end := sim.now.Add(span); sim.now.Before(end); {
		sim.step(perSecond, change)
	}
}

// step advances the time by one step.
func (sim *simulation) step(perSecond float64, change func(*Request)) {
	sim.lastDecisions = nil
	for i := 0; i < len(sim.running); {
		r := sim.running[i]
		if sim.now.Before(r.ends) {
			i++
			continue
		}
		sim.running = append(sim.running[:i], sim.running[i+1:]...)
		sim.ended[r.result]++
		sim.handle(sim.broker.Complete(sim.now, r.id, r.server, r.result, r.took))
		call := sim.open[r.id]
		delete(sim.open, r.id)
		switch r.result {
		case Answered:
			sim.latencies = append(sim.latencies, sim.now.Sub(call.arrived))
			if sim.onAnswer != nil {
				sim.onAnswer(call, sim.now.Sub(call.arrived))
			}
		case Shed:
			sim.retry(call, r.server)
		}
	}
	if !sim.now.Before(sim.nextTick) {
		sim.nextTick = sim.now.Add(50 * time.Millisecond)
		for vm := range 10 {
			sim.broker.lastContact[fmt.Sprintf("vm%d", vm)] = sim.now
		}
		sim.handle(sim.broker.Tick(sim.now))
	}
	for sim.dueFraction += perSecond * step.Seconds(); sim.dueFraction >= 1; sim.dueFraction-- {
		sim.request(fmt.Sprintf("vm%d", sim.seq%10), change)
	}
	sim.now = sim.now.Add(step)
}

// retry requests another slot for a call that a server refused, as a VM does whose
// route allows two servers for each call.
func (sim *simulation) retry(call simCall, refusedBy string) {
	const maxServers = 2
	sim.seq++
	elapsed := sim.now.Sub(call.arrived)
	next := call.request
	next.ID.Seq, next.Retry, next.Tried = sim.seq, true, []string{refusedBy}
	next.Left, next.Target = call.request.Left-elapsed, call.request.Target-elapsed
	if call.servers = append(call.servers, refusedBy); len(call.servers) >= maxServers {
		next.Tried, next.Only = nil, call.servers
	}
	sim.open[next.ID] = call
	sim.handle(sim.broker.Request(sim.now, next))
}

// countGranted returns the number of granted requests whose sequence number matches.
func (sim *simulation) countGranted(matches func(seq uint64) bool) int {
	n := 0
	for _, seq := range sim.granted {
		if matches(seq) {
			n++
		}
	}
	return n
}

// idleServers returns the number of servers without a request in the last 2 s, which
// do not count as in use.
func (sim *simulation) idleServers() int {
	idle := 0
	for _, s := range sim.broker.serversByID {
		if sim.now.Sub(sim.lastUsed[s.ID]) > 2*time.Second {
			idle++
		}
	}
	return idle
}
