package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// workKind is one kind of request of a workload.
type workKind struct {
	perSecond        float64
	rank             int
	mean             time.Duration // processing time on a server of speed 1
	spread           float64       // standard deviation of its logarithm
	longShare, long  float64       // share of the requests that take several times as long, and how many times
	target, deadline time.Duration
	safe             bool
	bytes            int
}

// workServer is a backend server of a workload.
type workServer struct {
	speed     float64 // 1 is usual
	crashed   bool    // connections are refused
	silent    bool    // requests get no answer
	shedShare float64 // share of the requests that it refuses without running them
}

// workload runs kinds of requests against a Broker in virtual time. Arrivals are random, and
// a call whose server refused it is sent to up to two servers.
type workload struct {
	broker  *Broker
	now     time.Time
	kinds   []workKind
	servers map[string]*workServer
	random  *rand.Rand // of the arrivals, which do not depend on the decisions
	shed    *rand.Rand // of what servers refuse
	calls   map[RequestID]*workCall
	running []workRun
	seq     uint64
	next    time.Time // of the next tick
	factor  float64   // of the kinds' rates
	results []workResult
	granted []string                   // servers in the order of the grants
	classOf func(r *Request, kind int) // sets the class of a request; may be nil
}

type workCall struct {
	kind    int
	arrived time.Time
	work    float64 // seconds on a server of speed 1
	request Request
	reached []string
}

type workRun struct {
	id      RequestID
	server  string
	began   time.Time
	ends    time.Time
	outcome Outcome
}

// workResult is the end of one call.
type workResult struct {
	kind    int
	arrived time.Time
	took    time.Duration
	refused string // reason; "" if the call was not refused
	lost    bool
}

func newWorkload(servers, slots int, seed uint64, kinds ...workKind) *workload {
	w := &workload{
		broker: NewBroker(testPolicy, seed), now: time.Unix(1000, 0), kinds: kinds, servers: map[string]*workServer{},
		random: rand.New(rand.NewPCG(seed, 7)), shed: rand.New(rand.NewPCG(seed, 8)), calls: map[RequestID]*workCall{}, factor: 1,
	}
	w.broker.retries.Allowance = 200
	var registered []Server
	for i := range servers {
		id := fmt.Sprintf("s%03d", i)
		w.servers[id] = &workServer{speed: 1}
		registered = append(registered, Server{ID: id, Zone: fmt.Sprintf("z%d", i%3), Slots: slots})
	}
	w.broker.SetServers(w.now, registered)
	return w
}

// some calls change for each server whose index leaves a remainder of 0.
func (w *workload) some(divisor int, change func(*workServer)) {
	for i := 0; i < len(w.servers); i += divisor {
		change(w.servers[fmt.Sprintf("s%03d", i)])
	}
}

func (w *workload) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); w.now = w.now.Add(step) {
		w.endRequests()
		if !w.now.Before(w.next) {
			w.next = w.now.Add(50 * time.Millisecond)
			for vm := range 30 {
				w.broker.lastContact[fmt.Sprintf("vm%d", vm)] = w.now
			}
			w.handle(w.broker.Tick(w.now))
		}
		for kind := range w.kinds {
			for range w.poisson(w.factor * w.kinds[kind].perSecond * step.Seconds()) {
				w.arrive(kind)
			}
		}
	}
}

func (w *workload) poisson(mean float64) int {
	n, p := 0, w.random.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= w.random.Float64()
	}
	return n
}

func (w *workload) arrive(kind int) {
	k := &w.kinds[kind]
	w.seq++
	vm := w.random.IntN(30)
	r := Request{
		ID: RequestID{VM: fmt.Sprintf("vm%d", vm), Seq: w.seq}, Zone: fmt.Sprintf("z%d", vm%3), Safe: k.safe, Priority: k.rank, Left: k.deadline, Target: k.target,
		Bytes: k.bytes, Account: fmt.Sprintf("account%d", w.random.IntN(60)),
	}
	if w.classOf != nil {
		w.classOf(&r, kind)
	}
	work := k.mean.Seconds() * math.Exp(k.spread*w.random.NormFloat64()-k.spread*k.spread/2)
	if w.random.Float64() < k.longShare {
		work *= k.long
	}
	w.calls[r.ID] = &workCall{kind: kind, arrived: w.now, work: work, request: r}
	w.handle(w.broker.Request(w.now, r))
}

func (w *workload) handle(decisions []Decision) {
	for _, d := range decisions {
		call := w.calls[d.ID]
		if call == nil {
			continue
		}
		switch d.Verdict {
		case Granted:
			w.granted = append(w.granted, d.Server)
			w.running = append(w.running, w.start(call, d))
		case Refused:
			delete(w.calls, d.ID)
			w.end(call, d.Reason, false)
		}
	}
}

// start returns the run of a granted call at its server.
func (w *workload) start(call *workCall, d Decision) workRun {
	k, s := &w.kinds[call.kind], w.servers[d.Server]
	run := workRun{id: d.ID, server: d.Server, began: w.now, ends: w.now.Add(time.Duration(call.work / s.speed * float64(time.Second)))}
	deadline := call.arrived.Add(k.deadline)
	sheds := w.shed.Float64() < s.shedShare
	switch {
	case s.crashed:
		run.ends, run.outcome = w.now.Add(step), Unreachable
	case s.silent:
		run.ends, run.outcome = deadline, Silent
	case sheds:
		run.ends, run.outcome = w.now.Add(step), Shed
	case run.ends.After(deadline):
		run.ends, run.outcome = deadline, Silent
	}
	return run
}

func (w *workload) endRequests() {
	var ended []workRun
	w.running = slices.DeleteFunc(w.running, func(r workRun) bool {
		if w.now.Before(r.ends) {
			return false
		}
		ended = append(ended, r)
		return true
	})
	for _, r := range ended {
		call := w.calls[r.id]
		delete(w.calls, r.id)
		w.handle(w.broker.Complete(w.now, r.id, r.server, r.outcome, w.now.Sub(r.began)))
		switch r.outcome {
		case Answered:
			w.end(call, "", false)
		case Shed, Unreachable:
			w.retry(call, r)
		default:
			w.end(call, "", true)
		}
	}
}

// retry sends a call again that its server has not run.
func (w *workload) retry(call *workCall, r workRun) {
	const maxServers = 2
	w.seq++
	next, elapsed := call.request, w.now.Sub(call.arrived)
	next.ID.Seq = w.seq
	next.Left, next.Target = w.kinds[call.kind].deadline-elapsed, w.kinds[call.kind].target-elapsed
	if next.Left < 100*time.Millisecond {
		w.end(call, "deadline", false)
		return
	}
	if r.outcome == Unreachable {
		next.Tried = append(slices.Clone(next.Tried), r.server)
	} else {
		next.Retry = true
		if !slices.Contains(call.reached, r.server) {
			call.reached = append(call.reached, r.server)
		}
	}
	if len(call.reached) >= maxServers {
		next.Tried, next.Only = nil, call.reached
	}
	call.request = next
	w.calls[next.ID] = call
	w.handle(w.broker.Request(w.now, next))
}

func (w *workload) end(call *workCall, refused string, lost bool) {
	w.results = append(w.results, workResult{kind: call.kind, arrived: call.arrived, took: w.now.Sub(call.arrived), refused: refused, lost: lost})
}

// workSummary summarizes the calls that arrived in a span.
type workSummary struct {
	calls, inTime, late, lost int
	atOnce, afterWaiting      int // refusals, within and after an eighth of the target latency
	worstKind                 float64
	p99                       time.Duration
	reasons                   map[string]int // of the refusals after waiting
}

func (w *workload) summary(from, until time.Time) workSummary {
	s := workSummary{reasons: map[string]int{}, worstKind: 1}
	var took []time.Duration
	byKind := make([][2]int, len(w.kinds))
	for _, r := range w.results {
		if r.arrived.Before(from) || !r.arrived.Before(until) {
			continue
		}
		target := w.kinds[r.kind].target
		s.calls++
		byKind[r.kind][0]++
		switch {
		case r.refused != "" && r.took <= target/8:
			s.atOnce++
		case r.refused != "":
			s.afterWaiting++
			s.reasons[r.refused]++
		case r.lost:
			s.lost++
		case r.took <= target:
			s.inTime++
			byKind[r.kind][1]++
		default:
			s.late++
		}
		if r.refused == "" {
			took = append(took, r.took)
		}
	}
	for _, k := range byKind {
		if k[0] > 0 {
			s.worstKind = min(s.worstKind, float64(k[1])/float64(k[0]))
		}
	}
	slices.Sort(took)
	if len(took) > 0 {
		s.p99 = took[len(took)*99/100]
	}
	return s
}

func (s workSummary) inTimeShare() float64 { return float64(s.inTime) / float64(max(1, s.calls)) }

// lateRefusalShare returns the share of the refusals that came after waiting.
func (s workSummary) lateRefusalShare() float64 {
	return float64(s.afterWaiting) / float64(max(1, s.atOnce+s.afterWaiting))
}

func (s workSummary) String() string {
	return fmt.Sprintf("%d calls: %.3f in time, worst kind %.3f, %d late, %d lost, %d refused at once, %d after waiting (%.3f of the refusals) %v, 99th percentile %v",
		s.calls, s.inTimeShare(), s.worstKind, s.late, s.lost, s.atOnce, s.afterWaiting, s.lateRefusalShare(), s.reasons, s.p99.Round(time.Millisecond))
}
