package soak

import (
	"net/http"
	"slices"
	"time"

	"lacewingmount.dev/platform/platformtest"
)

const (
	answerSlack   = 500 * time.Millisecond // after a route's timeout
	rollbackSlack = 250 * time.Millisecond // between the effect of a version and a request that must see it
	leaveSlack    = 500 * time.Millisecond // after a caller left
	retryWindow   = 10 * time.Second
	quotaWindow   = 5 * time.Second
	mostOffences  = 3 // of rules that allow a few
	clock         = "15:04:05.000"
)

// seen is what the backend servers saw, by request.
type seen struct {
	runs     map[string][]platformtest.Run
	where    map[string]*backend // that ran it last
	arrivals map[string][]platformtest.Arrival
}

// check compares what callers and backend servers saw with the promises.
func (w *world) check() {
	s := seen{runs: map[string][]platformtest.Run{}, where: map[string]*backend{}, arrivals: map[string][]platformtest.Arrival{}}
	for _, b := range w.servers {
		for _, run := range b.Runs() {
			s.runs[run.ID] = append(s.runs[run.ID], run)
			s.where[run.ID] = b
		}
		for _, a := range b.Arrivals() {
			s.arrivals[a.ID] = append(s.arrivals[a.ID], a)
		}
	}
	known := map[string]bool{}
	counts := map[string]int{}
	for _, c := range w.calls {
		known[c.ID] = true
		w.checkRuns(c, s.runs[c.ID])
		w.checkAnswer(c, s.runs[c.ID])
		w.checkConfiguration(c)
		counts["GONE"] += w.arrivedLate(c, s.arrivals[c.ID])
		if len(s.runs[c.ID]) > attempts {
			counts["BUDGET"]++
		}
		if w.isLost(c, s) {
			counts["LOST"]++
			w.note("event=lost request=%s vm=%s err=%q", c.ID, c.vm.name, c.err)
		}
		counts["answered"] += len(c.reply.Signature)
	}
	for _, rule := range []string{"GONE", "BUDGET", "LOST"} {
		if counts[rule] > mostOffences {
			w.t.Errorf("%s: %d requests, see the events", rule, counts[rule])
		}
	}
	for id := range s.runs {
		if !known[id] {
			w.t.Errorf("UNASKED: a server ran %s, which no caller sent", id)
		}
	}
	if len(w.calls) == 0 || counts["answered"] == 0 {
		w.t.Error("no request was answered by a server")
	}
	w.checkRollback()
	w.checkDrain()
	w.checkRetries(s)
	w.checkQuota()
}

func (w *world) offence(rule string, c *call, runs []platformtest.Run, what string) {
	w.t.Errorf("%s: %s via %s at %s: %s; answer %d %q, err %v, %d runs", rule, c.ID, c.vm.name,
		c.sent.UTC().Format(clock), what, c.reply.Status, c.reply.RetryAfter, c.err, len(runs))
}

// checkRuns: at most one run of a protected request, of what the caller sent.
func (w *world) checkRuns(c *call, runs []platformtest.Run) {
	if len(runs) > 1 && !c.safe {
		w.offence("TWICE", c, runs, "a protected request ran more than once")
	}
	account := c.Key
	if c.version > 0 {
		account = "turning"
	}
	for _, run := range runs {
		if run.Key != "" || run.Account != account || run.URI != c.Path || run.Method != c.Method || run.Body != c.Body && run.Body != "" {
			w.offence("UNASKED", c, runs, "a server ran something else")
		}
	}
}

// checkAnswer: whole and honest answers, in time.
func (w *world) checkAnswer(c *call, runs []platformtest.Run) {
	if took := c.done.Sub(c.sent); took > routeTimeout+answerSlack && !c.left && w.calm(c.sent, c.done, c.vm.name) {
		w.offence("CONFIG", c, runs, "no answer within the route's timeout: "+took.String())
	}
	if c.err != nil {
		return
	}
	switch {
	case c.reply.ID != c.ID:
		w.offence("MIXED", c, runs, "answer to "+c.reply.ID)
	case c.reply.Status == http.StatusOK:
		whole := c.reply.Body == "body of "+c.ID || c.reply.Body == "early"
		if !whole || c.reply.Signature == "" || len(runs) == 0 {
			w.offence("MIXED", c, runs, "success that no server gave: "+c.reply.Body)
		}
	case promisesNotRun(c.reply.Status) && len(runs) > 0 && !c.safe:
		w.offence("REFUSED", c, runs, "refused as not run, and it ran")
	}
}

func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// checkConfiguration: a version is in force, and a key dead, within the bound.
func (w *world) checkConfiguration(c *call) {
	if c.err != nil || c.version == 0 {
		return
	}
	if holds := c.reply.Status != http.StatusUnauthorized; holds && c.version < len(w.versions) {
		next := w.versions[c.version]
		if c.sent.Sub(next.at) > bounds.ConfigApply && w.calm(next.at, c.done, c.vm.name, c.vm.name+" stops", "store") {
			w.offence("CONFIG", c, nil, "a withdrawn key is honoured "+c.sent.Sub(next.at).String()+" later")
		}
		return
	} else if holds {
		return
	}
	own := w.versions[c.version-1]
	replaced := c.version < len(w.versions) && w.versions[c.version].at.Before(c.done)
	if !replaced && c.sent.Sub(own.at) > bounds.ConfigApply && w.calm(own.at, c.done, c.vm.name, c.vm.name+" stops", "store") {
		w.offence("CONFIG", c, nil, "a new key is refused "+c.sent.Sub(own.at).String()+" later")
	}
}

// checkRollback: a process never goes back to an older configuration.
func (w *world) checkRollback() {
	type process struct {
		vm   *vm
		life int
	}
	newest := map[process]*call{} // that showed the highest version, first
	order := slices.Clone(w.calls)
	slices.SortFunc(order, func(x, y *call) int { return x.done.Compare(y.done) })
	for _, c := range order {
		if c.version == 0 || c.err != nil || c.reply.Status != http.StatusOK {
			continue // only a success shows the version for sure
		}
		p := process{c.vm, c.life}
		if known := newest[p]; known == nil || c.version > known.version {
			newest[p] = c
			continue
		}
		if known := newest[p]; c.version < known.version && c.sent.After(known.done.Add(rollbackSlack)) && c.vm.life() >= c.life {
			w.offence("CONFIG", c, nil, "goes back to an older version than that of "+known.ID)
		}
	}
}

// arrivedLate counts arrivals after the caller has left.
func (w *world) arrivedLate(c *call, arrivals []platformtest.Arrival) int {
	late := 0
	for _, a := range arrivals {
		if c.left && a.At.After(c.done.Add(leaveSlack)) && w.calm(c.sent, a.At, c.vm.name) {
			late++
		}
	}
	return late
}

// isLost reports whether a connection ended without an answer to a request that a
// sound server had.
func (w *world) isLost(c *call, s seen) bool {
	b := s.where[c.ID]
	if c.err == nil || c.left || b == nil || !c.connected {
		return false
	}
	return w.calm(c.sent, c.done, c.vm.name, b.ID)
}

// checkDrain: a server that leaves gets nothing after the bound.
func (w *world) checkDrain() {
	names := []string{"store"}
	for _, v := range w.vms {
		names = append(names, v.name, v.name+" stops")
	}
	for _, b := range w.servers {
		for _, a := range b.Arrivals() {
			if !b.leaving.IsZero() && a.At.Sub(b.leaving) > bounds.Drain && w.calm(b.leaving, a.At, names...) {
				w.t.Errorf("DRAIN: %s got %s %v after it said that it leaves", b.ID, a.ID, a.At.Sub(b.leaving))
			}
		}
	}
}

// checkRetries: arrivals beyond the first of each request stay within the budget.
func (w *world) checkRetries(s seen) {
	var sent, again []time.Time
	for _, c := range w.calls {
		sent = append(sent, c.sent)
		arrivals := s.arrivals[c.ID]
		slices.SortFunc(arrivals, func(x, y platformtest.Arrival) int { return x.At.Compare(y.At) })
		for _, a := range arrivals[min(1, len(arrivals)):] {
			again = append(again, a.At)
		}
	}
	for _, at := range again {
		requests := 0
		for _, earlier := range []time.Duration{0, retryWindow / 2, retryWindow} {
			requests = max(requests, within(sent, at.Add(-earlier), retryWindow))
		}
		if n := within(again, at, retryWindow); float64(n) > 0.2*float64(requests)+float64(bounds.RetryAllowance) {
			w.t.Errorf("BUDGET: %d retries in 10 s beside %d requests", n, requests)
			return
		}
	}
}

// checkQuota: an account that sends too much is held to its rate and burst.
func (w *world) checkQuota() {
	var ran []time.Time
	for _, b := range w.servers {
		for _, run := range b.Runs() {
			if run.Account == "busy" {
				ran = append(ran, run.At)
			}
		}
	}
	allowed := (busyRate*quotaWindow.Seconds()+busyRate)*1.1 + float64(bounds.QuotaAllowance)
	for _, at := range ran {
		if n := within(ran, at, quotaWindow); float64(n) > allowed {
			w.t.Errorf("QUOTA: %d requests in the 5 s before %s, %.0f allowed", n, at.UTC().Format(clock), allowed)
			return
		}
	}
}

// within counts the moments in the window that ends at the given one.
func within(moments []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, m := range moments {
		if !m.After(end) && m.After(end.Add(-window)) {
			n++
		}
	}
	return n
}
