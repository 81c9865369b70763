package membership

import "time"

// exchangeWindow is how long an exchange is counted after it was sent.
const exchangeWindow = 2 * time.Second

// exchangeHistory holds the recent exchanges that this VM started.
type exchangeHistory struct {
	attempts []attempt
	quorumAt time.Time // latest time at which a majority of peers was known to answer
}

type attempt struct {
	sent     time.Time
	done     bool
	answered bool
}

func (h *exchangeHistory) begin(now time.Time) {
	h.attempts = append(h.attempts, attempt{sent: now})
}

// end records the result of the oldest unfinished exchange that was sent at sent.
func (h *exchangeHistory) end(sent time.Time, answered bool) {
	for i := range h.attempts {
		if a := &h.attempts[i]; a.sent.Equal(sent) && !a.done {
			a.done, a.answered = true, answered
			return
		}
	}
}

// majorityAnswered reports whether more than half of the recent exchanges were
// answered. Unfinished exchanges within ExchangeTimeout do not count.
func (h *exchangeHistory) majorityAnswered(now time.Time) bool {
	kept := h.attempts[:0]
	answered, counted := 0, 0
	for _, a := range h.attempts {
		age := now.Sub(a.sent)
		if age > exchangeWindow {
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
	h.attempts = kept
	return 2*answered > counted
}
