package placement

import (
	"fmt"
	"time"
)

// world plays requests against a Broker: servers with slots, work and spells of
// failing. Time is virtual.
type world struct {
	broker   *Broker
	now      time.Time
	seq      uint64
	running  []job
	failing  map[string]bool
	used     map[string]time.Time
	ended    map[Outcome]int
	refused  map[string]int
	work     time.Duration
	granted  []uint64
	due      float64 // requests, less than one
	nextTick time.Time
}

type job struct {
	id     AskID
	server string
	ends   time.Time
	took   time.Duration
	result Outcome
}

const step = 5 * time.Millisecond

var testPolicy = Policy{Retries: Budget{Ratio: 0.2, Allowance: 64, Window: 10 * time.Second}, MinServers: 0.7}

func newWorld(servers, slots int) *world {
	w := &world{
		broker: NewBroker(testPolicy, 1), now: time.Unix(1000, 0), failing: map[string]bool{}, used: map[string]time.Time{},
		ended: map[Outcome]int{}, refused: map[string]int{}, work: 470 * time.Millisecond,
	}
	var registered []Server
	for i := range servers {
		registered = append(registered, Server{ID: fmt.Sprintf("s%02d", i), Zone: fmt.Sprintf("z%d", i%3), Slots: slots})
	}
	w.broker.SetServers(w.now, registered)
	return w
}

// ask asks for a slot on behalf of the VM.
func (w *world) ask(vm string, change func(*Ask)) Decision {
	w.seq++
	a := Ask{ID: AskID{VM: vm, Seq: w.seq}, Zone: "z0", Priority: 1, Left: 5 * time.Second, Target: 1500 * time.Millisecond}
	if change != nil {
		change(&a)
	}
	w.follow(w.broker.Ask(w.now, a))
	decisions := w.broker.repeated(a.ID)
	if w.broker.grants[a.ID] == nil && !w.broker.isQueued(a.ID) {
		return Decision{ID: a.ID, Verdict: Refused}
	}
	return decisions[0]
}

func (w *world) follow(decisions []Decision) {
	for _, d := range decisions {
		switch d.Verdict {
		case Granted:
			j := job{id: d.ID, server: d.Server, ends: w.now.Add(w.work), took: w.work}
			if w.failing[d.Server] {
				j.ends, j.took, j.result = w.now.Add(5*time.Millisecond), 5*time.Millisecond, Failed
			}
			w.used[d.Server] = w.now
			w.granted = append(w.granted, d.ID.Seq)
			w.running = append(w.running, j)
		case Refused:
			w.refused[d.Reason]++
		}
	}
}

// run plays the span with so many requests a second, spread over ten VMs.
func (w *world) run(span time.Duration, perSecond float64, change func(*Ask)) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.step(perSecond, change)
	}
}

// step plays one step of time.
func (w *world) step(perSecond float64, change func(*Ask)) {
	for i := 0; i < len(w.running); {
		j := w.running[i]
		if w.now.Before(j.ends) {
			i++
			continue
		}
		w.running = append(w.running[:i], w.running[i+1:]...)
		w.ended[j.result]++
		w.follow(w.broker.End(w.now, j.id, j.server, j.result, j.took))
	}
	if !w.now.Before(w.nextTick) {
		w.nextTick = w.now.Add(50 * time.Millisecond)
		for vm := range 10 {
			w.broker.seen[fmt.Sprintf("vm%d", vm)] = w.now
		}
		w.follow(w.broker.Tick(w.now))
	}
	for w.due += perSecond * step.Seconds(); w.due >= 1; w.due-- {
		w.ask(fmt.Sprintf("vm%d", w.seq%10), change)
	}
	w.now = w.now.Add(step)
}

// grantsOf counts the granted requests whose number fits.
func (w *world) grantsOf(fits func(seq uint64) bool) int {
	n := 0
	for _, seq := range w.granted {
		if fits(seq) {
			n++
		}
	}
	return n
}

// idleServers counts the servers that the operators no longer count as in use.
func (w *world) idleServers() int {
	idle := 0
	for _, s := range w.broker.order {
		if w.now.Sub(w.used[s.ID]) > 2*time.Second {
			idle++
		}
	}
	return idle
}
