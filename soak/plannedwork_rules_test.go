package soak

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"lacewingmount.dev/platform/platformtest"
)

// lossCase is a request with its times in milliseconds after the work, a SIGTERM if no
// other is given. The request was sent on an open connection and ends at done.
type lossCase struct {
	name            string
	work            string // SIGTERM, SIGHUP or configuration
	sent, done      int
	run, runDone    int            // at a server; 0 for none, and for a run that lasts
	answered        bool           // by the VM, with status 502
	disturbed       map[string]int // the end of a disturbance, by name
	expectViolation bool
}

func TestLossAtPlannedWork(t *testing.T) {
	for _, test := range []lossCase{
		{name: "cut at a server", sent: 1000, done: 2000, run: 1001, expectViolation: true},
		{name: "cut after its server was done", sent: 1000, done: 5700, run: 1001, runDone: 4900, expectViolation: true},
		{name: "cut before the last sixth", sent: 2900, done: 4990, run: 2901, expectViolation: true},
		{name: "server at work in the last sixth", sent: 2900, done: 5700, run: 2901},
		{name: "server done in the last sixth", sent: 2900, done: 5700, run: 2901, runDone: 5100},
		{name: "server at work, but sent late", sent: 3001, done: 5700, run: 3002, expectViolation: true},
		{name: "cut in the queue", sent: 3000, done: 5700, expectViolation: true},
		{name: "cut within lossSlack", sent: 5510, done: 5700},
		{name: "cut long after the stop", sent: 6900, done: 7001, run: 6901},
		{name: "timeout of the route", sent: 500, done: 5500, run: 501},
		{name: "VM disturbed up to 3 s before", sent: 1000, done: 2000, run: 1001, disturbed: map[string]int{"vm": -1900}},
		{name: "VM disturbed earlier", sent: 1000, done: 2000, run: 1001, disturbed: map[string]int{"vm": -2100}, expectViolation: true},
		{name: "server disturbed", sent: 1000, done: 2000, run: 1001, disturbed: map[string]int{"server": -1900}},
		{name: "store disturbed", sent: 1000, done: 2000, run: 1001, disturbed: map[string]int{"store": 1500}, expectViolation: true},
		{name: "replaced by an answer of the VM", sent: 1000, done: 2000, run: 1001, answered: true, expectViolation: true},
		{name: "answered by the VM after the server", sent: 1000, done: 2000, run: 1001, runDone: 1900, answered: true},
		{name: "SIGHUP", work: "SIGHUP", sent: 1900, done: 4500, run: 1901, expectViolation: true},
		{name: "sent long after SIGHUP", work: "SIGHUP", sent: 2100, done: 4500, run: 2101},
		{name: "configuration", work: "configuration", sent: -500, done: 2900, run: -499, expectViolation: true},
		{name: "configuration, most time used", work: "configuration", sent: -2000, done: 1600, run: -1999},
		{name: "long after a configuration", work: "configuration", sent: 2900, done: 3100, run: 2901},
	} {
		t.Run(test.name, func(t *testing.T) {
			if problem := test.evaluate(); (problem != "") != test.expectViolation {
				t.Errorf("%q", problem)
			}
		})
	}
}

func (test lossCase) evaluate() string {
	began := time.Now()
	at := func(milliseconds int) time.Time { return began.Add(time.Duration(milliseconds) * time.Millisecond) }
	v := &vm{name: "vm"}
	env := &testEnv{disturbances: map[string][]period{}, plannedRequests: map[string]int{}}
	switch test.work {
	case "configuration":
		env.versions = []configVersion{{at: began}}
	case "SIGHUP":
		v.signals = []sentSignal{{syscall.SIGHUP, began, 1}}
	default:
		v.signals = []sentSignal{{syscall.SIGTERM, began, 1}}
	}
	for name, end := range test.disturbed {
		env.disturbances[name] = []period{{at(end - 100), at(end)}}
	}
	c := newOrder("id", v)
	c.timeout, c.Deadline, c.incarnation, c.err = slowTimeout, slowDeadline, 1, io.ErrUnexpectedEOF
	c.sentAt, c.writtenAt, c.doneAt = at(test.sent), at(test.sent), at(test.done)
	if test.answered {
		c.err, c.reply.Status = nil, http.StatusBadGateway
	}
	seen := observations{runs: map[string][]platformtest.Run{}, lastServer: map[string]*backendServer{}, arrivals: map[string][]platformtest.Arrival{}}
	if test.run != 0 {
		run := platformtest.Run{ID: c.ID, At: at(test.run)}
		if test.runDone != 0 {
			run.DoneAt = at(test.runDone)
		}
		seen.runs[c.ID], seen.arrivals[c.ID] = []platformtest.Run{run}, []platformtest.Arrival{{ID: c.ID, At: run.At}}
		seen.lastServer[c.ID] = &backendServer{Server: &platformtest.Server{ID: "server"}}
	}
	return env.lossAtPlannedWork(c, seen)
}
