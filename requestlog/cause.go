package requestlog

import (
	"strings"
	"time"
)

const (
	fastFailureLimit = 60 * time.Millisecond // of placement: a later failure came after work
	knownFailing     = 0.9                   // estimated probability from which the owner knew that the server fails
	failureMemory    = 10 * time.Second      // after a failure period, in which the first failure counts as one of a probe
	clockDifference  = 5 * time.Millisecond  // between the clocks of two VMs
)

// Cause is why a request was not served.
type Cause string

// Causes, in the order in which reports list them.
const (
	CauseFirstFailure    Cause = "first fast failure of a server"
	CauseInFlight        Cause = "in flight at the first failure"
	CauseKnownFailing    Cause = "server known to fail"
	CauseProbe           Cause = "probe after a failure period"
	CauseNewServer       Cause = "server never used before"
	CauseAfterWork       Cause = "failure after work"
	CauseSilent          Cause = "silent or cut"
	CauseShed            Cause = "shed by its servers"
	CauseRetryBudget     Cause = "retry budget spent"
	CauseServerLimits    Cause = "limits of all servers reached"
	CauseEvacuated       Cause = "all zones evacuated"
	CauseQueue           Cause = "queue"
	CauseNoOwner         Cause = "owner without reply"
	CauseShutdown        Cause = "shutdown"
	CauseNoConfiguration Cause = "no configuration"
	CauseRate            Cause = "refused for rate"
	CauseNotAllowed      Cause = "not allowed by the configuration"
	CauseCallerLeft      Cause = "caller left"
	CauseDeadline        Cause = "deadline before an attempt"
	CauseUnclassified    Cause = "other"
)

// Causes lists all causes in the order in which reports show them.
var Causes = []Cause{
	CauseFirstFailure, CauseInFlight, CauseKnownFailing, CauseProbe, CauseNewServer, CauseAfterWork, CauseSilent, CauseShed, CauseRetryBudget, CauseServerLimits, CauseEvacuated, CauseQueue,
	CauseNoOwner, CauseShutdown, CauseNoConfiguration, CauseRate, CauseNotAllowed, CauseCallerLeft, CauseDeadline, CauseUnclassified,
}

// reasonCauses maps parts of the logged reasons of gateway and placement to causes. The
// first match counts.
var reasonCauses = []struct {
	part  string
	cause Cause
}{
	{"no decision from the owner", CauseNoOwner},
	{"retry budget is spent", CauseRetryBudget},
	{"none of the servers tried accepted", CauseShed},
	{"no server accepted the retry", CauseShed},
	{"this VM stops", CauseShutdown},
	{"end of this VM's grace period", CauseShutdown},
	{"no configuration yet", CauseNoConfiguration},
	{"over its rate", CauseRate},
	{"caller left", CauseCallerLeft},
	{"connection ended before the end of the body", CauseCallerLeft},
	{"body did not arrive before the deadline", CauseCallerLeft},
	{"reached the limits that they named", CauseServerLimits},
	{"all servers are in evacuated zones", CauseEvacuated},
	{"the queue is too long", CauseQueue},
	{"the queue grew", CauseQueue},
	{"waited too long", CauseQueue},
	{"no server is left", CauseQueue},
	{"unknown key", CauseNotAllowed},
	{"no route", CauseNotAllowed},
	{"body is too long", CauseNotAllowed},
	{"deadline exceeded before a server ran", CauseDeadline},
}

// serverHistory is what the lines read so far tell about one server.
type serverHistory struct {
	used         bool
	failingSince time.Time // end of the fast failure that began the newest failure period
	avoidedUntil time.Time // as announced by the owner of the service
	answered     bool      // since failingSince
}

// classifier finds the causes of requests in the order of their lines.
type classifier struct {
	servers map[string]*serverHistory
}

func (c *classifier) server(name string) *serverHistory {
	s := c.servers[name]
	if s == nil {
		s = &serverHistory{}
		c.servers[name] = s
	}
	return s
}

// observeAvoidance applies an owner's line about the avoidance of a server.
func (c *classifier) observeAvoidance(at time.Time, server string, avoided time.Duration) {
	s := c.server(server)
	s.avoidedUntil = at.Add(avoided)
}

// cause returns why the request was not served; "" if it was. It updates the histories
// of the servers that the request was sent to.
func (c *classifier) cause(at time.Time, status, reason string, attempts []Attempt) Cause {
	cause := c.causeOfEnd(at, status, reason, attempts)
	for _, attempt := range attempts {
		s := c.server(attempt.Server)
		s.used = true
		switch {
		case attempt.Outcome == "answered":
			s.answered = true
		case attempt.isFastFailure() && (s.failingSince.IsZero() || s.answered):
			s.failingSince, s.answered = at, false
		}
	}
	return cause
}

func (c *classifier) causeOfEnd(at time.Time, status, reason string, attempts []Attempt) Cause {
	var last Attempt
	if len(attempts) > 0 {
		last = attempts[len(attempts)-1]
	}
	if reason == "" && (last.Outcome == "answered" || !strings.HasPrefix(status, "5")) {
		return ""
	}
	for _, r := range reasonCauses {
		if strings.Contains(reason, r.part) {
			return r.cause
		}
	}
	switch last.Outcome {
	case "failed", "broken":
		if !last.isFastFailure() {
			return CauseAfterWork
		}
		return c.causeOfFastFailure(at, last)
	case "silent", "unreachable", "unused":
		return CauseSilent
	case "shed", "misdirected":
		return CauseShed
	}
	return CauseUnclassified
}

func (c *classifier) causeOfFastFailure(at time.Time, attempt Attempt) Cause {
	s, began := c.server(attempt.Server), at.Add(-attempt.Took)
	periodEnd := s.failingSince
	if s.avoidedUntil.After(periodEnd) {
		periodEnd = s.avoidedUntil
	}
	switch {
	case attempt.Failing >= knownFailing:
		return CauseKnownFailing
	case !s.used:
		return CauseNewServer
	case s.answered || s.failingSince.IsZero() || at.Sub(periodEnd) > failureMemory:
		return CauseFirstFailure
	case began.Before(s.failingSince.Add(clockDifference)):
		return CauseInFlight
	}
	return CauseProbe
}

// isFastFailure reports whether the server failed the request before it worked on it.
func (a *Attempt) isFastFailure() bool {
	return (a.Outcome == "failed" || a.Outcome == "broken") && a.Took < fastFailureLimit
}
