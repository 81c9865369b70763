package limit

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the start time of every simulated fleet.
var epoch = time.Unix(1_800_000_000, 0)

// event is a function that runs at a moment of true time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type schedule []event

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || (s[i].at == s[j].at && s[i].seq < s[j].seq)
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(event)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// simulation runs events in the order of true time.
type simulation struct {
	random *rand.Rand
	now    time.Duration
	events schedule
	seq    int
}

func newSimulation(seed uint64) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, seed))}
}

func (s *simulation) at(at time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: max(at, s.now), seq: s.seq, run: run})
}

func (s *simulation) after(d time.Duration, run func()) { s.at(s.now+d, run) }

func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// network describes the faults and delays of messages.
type network struct {
	loss, duplicate float64       // fractions of all messages
	late            float64       // fraction that is delayed by up to maxLateness
	maxLateness     time.Duration // so that messages overtake each other
	cut             func(from, to int) bool
	delay           func(from, to int) time.Duration
}

// deliver returns one delay for each copy of a message that arrives.
func (s *simulation) deliver(net *network, from, to int) []time.Duration {
	var delays []time.Duration
	copies := 1
	if s.random.Float64() < net.duplicate {
		copies = 2
	}
	for range copies {
		if s.random.Float64() < net.loss || net.cut(from, to) {
			continue
		}
		delay := net.delay(from, to)
		if net.late > 0 && s.random.Float64() < net.late {
			delay += time.Duration(s.random.Int64N(int64(net.maxLateness)))
		}
		delays = append(delays, delay)
	}
	return delays
}

func (s *simulation) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.random.Int64N(int64(longest-shortest)))
}

// meter checks the bound on every window of one account: usage <= burst + rate*length.
type meter struct {
	quota     Quota
	level     float64
	at        time.Duration
	admitted  int
	overBound int // requests beyond the bound
}

func newMeter(quota Quota) *meter { return &meter{quota: quota, level: quota.Burst} }

func (m *meter) advance(now time.Duration) {
	m.level = min(m.quota.Burst, m.level+(now-m.at).Seconds()*m.quota.Rate)
	m.at = now
}

func (m *meter) use(now time.Duration) {
	m.advance(now)
	m.admitted++
	m.level--
	if m.level < -1e-6 {
		m.overBound++
		m.level++
	}
}

// centralBucket is the reference: one bucket that sees every request at once.
type centralBucket struct {
	meter
}

func (c *centralBucket) admit(now time.Duration) bool {
	c.advance(now)
	if c.level < 1 {
		return false
	}
	c.level--
	c.admitted++
	return true
}
