package once

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// sim runs several agents with one store in virtual time, from a seed.
type sim struct {
	random *rand.Rand
	now    time.Time
	events eventQueue
	order  int
	faults bool
	store  *simStore
	agents []*simAgent
	calls  map[uint64]*simAttempt // by ticket

	lastArrival time.Duration
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(d), order: s.order, run: run})
}

// runUntil runs all events up to a time.
func (s *sim) runUntil(end time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

func (s *sim) chance(share float64) bool { return s.faults && s.random.Float64() < share }

func (s *sim) delay(most time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(most))) + time.Microsecond
}

// simStore is a store with compare-and-swap. unfenced makes it accept any version.
type simStore struct {
	values   map[string]StoredEntry
	version  uint64
	unfenced bool
	down     bool
	writes   int
	reads    int
	bytes    int // written
}

func (s *simStore) perform(op *Op) Result {
	current := s.values[op.Key]
	switch op.Kind {
	case OpList:
		s.reads++
		var result Result
		for key, stored := range s.values {
			if strings.HasPrefix(key, op.Key) {
				result.Entries = append(result.Entries, stored)
			}
		}
		slices.SortFunc(result.Entries, func(a, b StoredEntry) int { return strings.Compare(a.Key, b.Key) })
		return result
	case OpGet:
		s.reads++
		return Result{Version: current.Version, Value: current.Value}
	}
	s.writes++
	if current.Version != op.Expect && !s.unfenced {
		return Result{Conflict: true}
	}
	if op.Kind == OpDelete {
		delete(s.values, op.Key)
		return Result{}
	}
	s.version++
	s.bytes += len(op.Value)
	s.values[op.Key] = StoredEntry{Key: op.Key, Value: op.Value, Version: s.version}
	return Result{Version: s.version}
}

// simAgent is an agent with its state of the bucket.
type simAgent struct {
	sim      *sim
	index    int
	bucket   *Bucket
	starts   int // of the agent's process
	skew     time.Duration
	paused   time.Time // the agent does nothing until then
	settings Settings
}

func newSim(seed uint64, agents int, settings Settings) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_700_000_000_000), faults: true,
		store: &simStore{values: map[string]StoredEntry{}}, calls: map[uint64]*simAttempt{},
	}
	for i := range agents {
		agent := &simAgent{sim: s, index: i, settings: settings, skew: s.delay(100*time.Millisecond) - 50*time.Millisecond}
		agent.restart()
		s.agents = append(s.agents, agent)
	}
	return s
}

// restart discards the agent's memory. Its earlier store calls may still be applied.
func (a *simAgent) restart() {
	a.starts++
	a.bucket = NewBucket("b", fmt.Sprintf("vm-%d/%d", a.index, a.starts), a.settings)
}

func (a *simAgent) clock() time.Time { return a.sim.now.Add(a.skew) }

// do runs a function at the agent, after the end of its pause.
func (a *simAgent) do(run func()) {
	if a.sim.now.Before(a.paused) {
		a.sim.after(a.paused.Sub(a.sim.now), func() { a.do(run) })
		return
	}
	run()
	a.step()
}

// step delivers replies and starts the next store call.
func (a *simAgent) step() {
	for _, reply := range a.bucket.Replies() {
		a.sim.deliverReply(reply)
	}
	op, wake := a.bucket.Next(a.clock())
	bucket := a.bucket
	if op != nil {
		a.sim.perform(a, bucket, op)
	} else if !wake.IsZero() {
		a.sim.after(max(wake.Sub(a.clock()), 0)+time.Microsecond, func() { a.do(func() {}) })
	}
}

// perform delivers a store call to the store and its result back. If either is lost or
// late, the result is a failure; a late write may still be applied.
func (s *sim) perform(a *simAgent, bucket *Bucket, op *Op) {
	const timeout = 40 * time.Millisecond
	var result Result
	requestDelay := s.delay(5 * time.Millisecond)
	if s.chance(0.05) {
		requestDelay += s.delay(200 * time.Millisecond) // may arrive after the timeout
	}
	replyDelay := s.delay(5 * time.Millisecond)
	failed := s.chance(0.1) || requestDelay+replyDelay > timeout
	if !s.chance(0.05) {
		s.after(requestDelay, func() {
			if s.store.down {
				failed = true
				return
			}
			result = s.store.perform(op)
		})
	} else {
		failed = true
	}
	s.after(min(requestDelay+replyDelay, timeout), func() {
		if failed {
			result = Result{Failed: true}
		}
		a.do(func() { bucket.Done(a.clock(), result) })
	})
}

// simAttempt is one attempt of an entry to send a request.
type simAttempt struct {
	key       *simKey
	attemptID Hash64
	digest    Hash64
	gaveUp    bool
	granted   bool
	tries     int
	probe     bool // only gets the verdict and sends nothing

	onVerdict func(Verdict) // if not nil
	verdict   Verdict
}

// simKey is one protected request and its outcome.
type simKey struct {
	id        ID
	timestamp time.Time
	runs      int
	answered  bool
}

// claim sends a claim to a random agent, and to another one if no reply arrives in time.
func (s *sim) claim(attempt *simAttempt) {
	if attempt.gaveUp || attempt.granted {
		return
	}
	attempt.tries++
	if attempt.tries > 4 {
		attempt.gaveUp = true
		s.release(attempt, 0)
		return
	}
	agent := s.agents[s.random.IntN(len(s.agents))]
	deliver := s.call(agent, attempt)
	if !s.chance(0.05) {
		s.after(s.delay(5*time.Millisecond), deliver)
	}
	if s.chance(0.1) {
		s.after(s.delay(300*time.Millisecond), deliver) // a duplicate of the message
	}
	s.after(80*time.Millisecond, func() { s.claim(attempt) })
}

// call returns the delivery of a claim to an agent.
func (s *sim) call(agent *simAgent, attempt *simAttempt) func() {
	ticket := uint64(len(s.calls) + 1)
	s.calls[ticket] = attempt
	claim := Claim{ID: attempt.key.id, Timestamp: attempt.key.timestamp, Digest: attempt.digest, Attempt: attempt.attemptID}
	return func() {
		agent.do(func() {
			agent.bucket.Acquire()
			agent.bucket.Claim(agent.clock(), ticket, claim)
		})
	}
}

// deliverReply delivers a reply to its caller, unless it is lost.
func (s *sim) deliverReply(reply Reply) {
	if s.chance(0.1) {
		return
	}
	attempt := s.calls[reply.Ticket]
	s.after(s.delay(5*time.Millisecond), func() { s.receive(attempt, reply.Verdict) })
}

// receive handles a verdict at the entry: a granted request is sent.
func (s *sim) receive(attempt *simAttempt, verdict Verdict) {
	if attempt.gaveUp || attempt.granted {
		return
	}
	attempt.verdict = verdict
	if attempt.onVerdict != nil {
		attempt.onVerdict(verdict)
	}
	if attempt.probe {
		return
	}
	switch verdict {
	case Granted:
		attempt.granted = true
		if s.chance(0.1) {
			s.release(attempt, 0) // no server could be reached
			return
		}
		attempt.key.runs++
		if !s.chance(0.2) { // otherwise the entry stops before the answer
			s.after(s.delay(50*time.Millisecond), func() { s.settle(attempt, Settlement{Kept: []byte("answer")}, 0) })
		}
	case Refused, InDoubt, NotOwner:
		return // the entry tries again
	default:
		attempt.gaveUp = true
	}
}

func (s *sim) release(attempt *simAttempt, tries int) {
	s.settle(attempt, Settlement{NotRun: true}, tries)
}

// settle sends a settlement to random agents until one records it, at most 7 times.
func (s *sim) settle(attempt *simAttempt, end Settlement, tries int) {
	if tries > 6 {
		return
	}
	end.ID, end.Timestamp, end.Digest, end.Attempt = attempt.key.id, attempt.key.timestamp, attempt.digest, attempt.attemptID
	agent := s.agents[s.random.IntN(len(s.agents))]
	s.after(s.delay(5*time.Millisecond), func() {
		agent.do(func() {
			if agent.bucket.Settle(agent.clock(), end) {
				attempt.key.answered = attempt.key.answered || !end.NotRun
				return
			}
			agent.bucket.Acquire()
			s.after(20*time.Millisecond, func() { s.settle(attempt, end, tries+1) })
		})
	})
}
