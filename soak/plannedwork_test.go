package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"lacewingmount.dev/platform/platformtest"
)

// The users' bounds on requests around planned work, besides those in bounds.
const (
	lossSlack        = 200 * time.Millisecond // after its last byte was sent, a request counts as read
	stopMargin       = time.Second            // after the grace period, in which a SIGTERM still counts
	configMargin     = time.Second            // after the time to apply a configuration, in which it still counts
	excusableUntil   = 3 * time.Second        // from SIGTERM; of requests sent later, none is excused by its server's work
	excusableWork    = 1.0 / 6                // last part of the grace period in which a server may still be at work
	configUsableTime = 0.7                    // part of a request's time after which a configuration no longer counts
)

// plannedWork is the work at which a request ended.
type plannedWork struct {
	name string
	at   time.Time
	stop bool // of the process that took the request
}

// plannedWork returns the planned work at which the request ended, if any. A stop comes
// first, because most of the exceptions depend on it.
func (env *testEnv) plannedWork(c *call) (plannedWork, bool) {
	c.vm.mu.Lock()
	defer c.vm.mu.Unlock()
	var found plannedWork
	for _, s := range c.vm.signals {
		switch {
		case s.at.After(c.doneAt) || found.stop:
		case s.Signal == syscall.SIGTERM && c.doneAt.Sub(s.at) <= bounds.GracePeriod+stopMargin:
			found = plannedWork{"SIGTERM", s.at, s.incarnation == c.incarnation}
		case s.Signal == syscall.SIGHUP && c.sentAt.Sub(s.at) <= bounds.ConfigApply:
			found = plannedWork{"SIGHUP", s.at, false}
		}
	}
	if !found.at.IsZero() {
		return found, true
	}
	usable := time.Duration(configUsableTime * float64(c.time()))
	for _, v := range env.versions {
		if !v.at.After(c.doneAt) && c.doneAt.Sub(v.at) <= bounds.ConfigApply+configMargin && c.doneAt.Sub(c.sentAt) < usable {
			return plannedWork{"configuration", v.at, false}, true
		}
	}
	return plannedWork{}, false
}

// time returns how long the request may take.
func (c *call) time() time.Duration { return min(c.timeout, c.Deadline) }

// wasRead reports whether the VM had read the whole request.
func (c *call) wasRead(arrivals []platformtest.Arrival) bool {
	if len(arrivals) > 0 {
		return true
	}
	return !c.refused && !c.writtenAt.IsZero() && c.doneAt.Sub(c.writtenAt) > lossSlack
}

// isAtWork reports whether the server that ran the request last was at work on it at
// some time between from and until.
func isAtWork(runs []platformtest.Run, from, until time.Time) bool {
	if len(runs) == 0 {
		return false
	}
	last := runs[len(runs)-1]
	return !last.At.After(until) && (last.DoneAt.IsZero() || last.DoneAt.After(from))
}

// checkPlannedWork checks that planned work ends no request that the VM has read
// without a complete response, and that a stop does not replace one by the VM's own.
func (env *testEnv) checkPlannedWork(c *call, seen observations) {
	if problem := env.lossAtPlannedWork(c, seen); problem != "" {
		env.reportViolation("LOST", c, seen.runs[c.ID], problem+"; longest stall of this process meanwhile "+
			env.stalls.longest(c.sentAt, c.doneAt).String()+"; the VM's line: "+env.vmLine(c))
	}
}

// lossAtPlannedWork describes how planned work ended the request, or returns "".
func (env *testEnv) lossAtPlannedWork(c *call, seen observations) string {
	work, ok := env.plannedWork(c)
	runs := seen.runs[c.ID]
	if !ok || c.cancelled || c.doneAt.Sub(c.sentAt) >= c.time() || !c.wasRead(seen.arrivals[c.ID]) {
		return ""
	}
	names := []string{c.vm.name}
	if b := seen.lastServer[c.ID]; b != nil {
		names = append(names, b.ID)
	}
	if !env.undisturbed(c.sentAt, c.doneAt, names...) {
		return ""
	}
	env.plannedRequests[work.name]++
	problem := "read, and ended without a complete response"
	if c.err == nil {
		if !work.stop || c.reply.Signature != "" || c.reply.Status < http.StatusInternalServerError || !isAtWork(runs, c.doneAt, c.doneAt) {
			return ""
		}
		problem = "answered by the VM while a server was at work"
	}
	lastPart := work.at.Add(time.Duration((1 - excusableWork) * float64(bounds.GracePeriod)))
	if work.stop && c.sentAt.Sub(work.at) <= excusableUntil && c.doneAt.After(lastPart) && isAtWork(runs, lastPart, c.doneAt) {
		return ""
	}
	since := func(at time.Time) time.Duration { return at.Sub(work.at).Round(time.Millisecond) }
	problem += fmt.Sprintf(" beside %s at %s; sent %v and ended %v after it", work.name, work.at.UTC().Format(clockFormat), since(c.sentAt), since(c.doneAt))
	for _, run := range runs {
		problem += fmt.Sprintf(", run from %v", since(run.At))
		if !run.DoneAt.IsZero() {
			problem += fmt.Sprintf(" to %v", since(run.DoneAt))
		}
	}
	return problem
}
