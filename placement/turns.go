package placement

import (
	"math"
	"time"
)

const (
	usageFade  = time.Second     // in which the grants of an account lose their weight
	usageLife  = 5 * time.Second // of an account without requests
	turnMargin = 1.25            // of the estimated wait; what the others leave varies within a second
	floodFrom  = 4               // waiting requests of an account from which on later ones of others go before its newest
	usageSweep = 256             // accounts from which on idle ones are forgotten
)

// turns lets client accounts take turns while requests wait: each request of an
// account comes a turn after the one before it, and no earlier than the turn that
// is served. Requests without an account come in order of arrival.
type turns struct {
	served int
	usages map[string]*usage
	total  float64 // sum of the grants of all accounts
	at     time.Time
}

// usage is what one account has lately got of the service.
type usage struct {
	last    int     // turn of its newest waiting request
	waiting int     // requests in the queue
	grants  float64 // faded
	at      time.Time
}

func newTurns() turns { return turns{usages: map[string]*usage{}} }

func fade(value float64, since time.Duration) float64 {
	return value * math.Exp(-since.Seconds()/usageFade.Seconds())
}

func (t *turns) of(now time.Time, account string) *usage {
	u := t.usages[account]
	if u == nil {
		if len(t.usages) >= usageSweep {
			t.sweep(now)
		}
		u = &usage{at: now}
		t.usages[account] = u
	}
	u.grants, u.at = fade(u.grants, now.Sub(u.at)), now
	return u
}

func (t *turns) sweep(now time.Time) {
	for account, u := range t.usages {
		if u.waiting == 0 && now.Sub(u.at) > usageLife {
			delete(t.usages, account)
		}
	}
}

// join gives a request that comes now its turn.
func (t *turns) join(now time.Time, w *waiting) {
	w.turn = t.served
	if w.Account == "" {
		return
	}
	if u := t.of(now, w.Account); u.waiting > 0 {
		w.turn = max(t.served, u.last+1)
	}
}

// queued says that the request waits.
func (t *turns) queued(now time.Time, w *waiting) {
	u := t.of(now, w.Account)
	u.last = w.turn
	u.waiting++
}

// left says that the request does not wait any more.
func (t *turns) left(now time.Time, w *waiting) {
	t.of(now, w.Account).waiting--
}

// granted says that the request got a slot.
func (t *turns) granted(now time.Time, w *waiting) {
	t.served = max(t.served, w.turn)
	t.of(now, w.Account).grants++
	t.total, t.at = fade(t.total, now.Sub(t.at))+1, now
}

// wait estimates how long one more request of an account with many waiting ones
// waits, if so many requests a second get a slot: they share what the other accounts
// leave, or an equal part if that is more.
func (t *turns) wait(now time.Time, account string, perSecond float64) time.Duration {
	if account == "" || perSecond <= 0 {
		return 0
	}
	u := t.of(now, account)
	if u.waiting < floodFrom {
		return 0
	}
	active := 0
	for _, other := range t.usages {
		if other.waiting > 0 {
			active++
		}
	}
	others := (fade(t.total, now.Sub(t.at)) - u.grants) / usageFade.Seconds()
	rate := max(perSecond-others, perSecond/float64(max(1, active)))
	return time.Duration(turnMargin * float64(u.waiting+1) / rate * float64(time.Second))
}
