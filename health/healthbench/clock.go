package healthbench

import (
	"container/heap"
	"time"
)

// clock is a virtual clock that runs scheduled functions in time order, those of
// equal time in the order in which they were scheduled.
type clock struct {
	now      time.Time
	queue    timers
	sequence int
}

type timer struct {
	at       time.Time
	sequence int
	run      func()
}

type timers []timer

func (t timers) Len() int      { return len(t) }
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }

func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].sequence < t[j].sequence
	}
	return t[i].at.Before(t[j].at)
}

func (t *timers) Pop() any {
	last := len(*t) - 1
	popped := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return popped
}

func newClock() *clock { return &clock{now: time.Unix(1_800_000_000, 0)} }

// after runs a function once delay has passed.
func (c *clock) after(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, timer{c.now.Add(delay), c.sequence, run})
}

// every runs a function after first and then every period, without end.
func (c *clock) every(first, period time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		c.after(period, again)
	}
	c.after(first, again)
}

// runUntil runs all functions due before end and sets the time to end.
func (c *clock) runUntil(end time.Time) {
	for len(c.queue) > 0 && c.queue[0].at.Before(end) {
		next := heap.Pop(&c.queue).(timer)
		c.now = next.at
		next.run()
	}
	c.now = end
}
