package membership

import "time"

// contactWindow is the time over which exchanges are counted.
const contactWindow = 2 * time.Second

// contact counts recent exchanges of this VM.
type contact struct {
	attempts []attempt
	proved   time.Time // latest instant at which most peers were known to answer
}

type attempt struct {
	sent     time.Time
	done     bool
	answered bool
}

func (c *contact) begin(now time.Time) {
	c.attempts = append(c.attempts, attempt{sent: now})
}

// end records the result of the oldest exchange that was sent at sent and is not done.
func (c *contact) end(sent time.Time, answered bool) {
	for i := range c.attempts {
		if a := &c.attempts[i]; a.sent.Equal(sent) && !a.done {
			a.done, a.answered = true, answered
			return
		}
	}
}

// mostAnswered reports whether more than half of the recent exchanges were
// answered. Exchanges that may still be answered do not count.
func (c *contact) mostAnswered(now time.Time) bool {
	kept := c.attempts[:0]
	answered, counted := 0, 0
	for _, a := range c.attempts {
		age := now.Sub(a.sent)
		if age > contactWindow {
			continue
		}
		kept = append(kept, a)
		if a.done || age > ExchangeTimeout {
			counted++
		}
		if a.answered {
			answered++
		}
	}
	c.attempts = kept
	return 2*answered > counted
}
