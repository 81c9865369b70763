package healthbench

import (
	"container/heap"
	"time"
)

// clock runs functions in the order of their virtual time.
type clock struct {
	now    time.Time
	queue  timers
	serial int
}

type timer struct {
	at     time.Time
	serial int
	run    func()
}

type timers []timer

func (t timers) Len() int      { return len(t) }
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }

func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].serial < t[j].serial
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
	c.serial++
	heap.Push(&c.queue, timer{c.now.Add(delay), c.serial, run})
}

// every runs a function each period, forever.
func (c *clock) every(first, period time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		c.after(period, again)
	}
	c.after(first, again)
}

// until runs everything that is due before end.
func (c *clock) until(end time.Time) {
	for len(c.queue) > 0 && c.queue[0].at.Before(end) {
		next := heap.Pop(&c.queue).(timer)
		c.now = next.at
		next.run()
	}
	c.now = end
}
