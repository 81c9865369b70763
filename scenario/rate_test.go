package scenario

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lacewingmount.dev/standin"
)

type marksKey struct{}

// usage is what the backend servers have served since a moment.
type usage struct {
	since  time.Time
	served int
}

// cmdMark starts a window. It begins before the count is taken, so that the
// window is never shorter than what is counted in it.
func cmdMark(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: mark NAME")
	}
	since := time.Now()
	marksOf(ts)[args[0]] = usage{since: since, served: servedInAll(ts)}
}

// cmdWithin checks that no more than burst + rate * length was served in a window.
func cmdWithin(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 3 {
		ts.Fatalf("usage: within NAME RATE BURST")
	}
	rate, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	burst, err := strconv.ParseFloat(args[2], 64)
	ts.Check(err)
	mark := marksOf(ts)[args[0]]
	served := servedInAll(ts) - mark.served
	bound := burst + rate*time.Since(mark.since).Seconds()
	ts.Logf("%s: %d served, at most %.1f allowed", args[0], served, bound)
	if within := float64(served) <= bound; within == neg {
		ts.Fatalf("%s: %d requests were served, %.1f are allowed", args[0], served, bound)
	}
}

const exceedsWindow = 2 * time.Second

// cmdExceeds waits for a window in which more than burst + rate * length is
// served: the load wants that much, and the fleet admits it.
func cmdExceeds(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: exceeds RATE BURST")
	}
	rate, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	burst, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	for began := time.Now(); time.Since(began) < awaitLimit; {
		before, since := servedInAll(ts), time.Now()
		time.Sleep(exceedsWindow)
		served := servedInAll(ts) - before
		ts.Logf("%d served in a window", served)
		if float64(served) > burst+rate*time.Since(since).Seconds() {
			return
		}
	}
	ts.Fatalf("gave up: no window of %v had more than burst %v and rate %v", exceedsWindow, burst, rate)
}

func marksOf(ts *testscript.TestScript) map[string]usage {
	return ts.Value(marksKey{}).(map[string]usage)
}

// servedInAll returns how many requests all backend servers have received.
func servedInAll(ts *testscript.TestScript) int {
	_, body, err := fetch("http://" + ts.Getenv("NET") + ".0.2:7002/report")
	ts.Check(err)
	var reports []standin.Report
	ts.Check(json.Unmarshal([]byte(body), &reports))
	served := 0
	for _, report := range reports {
		served += report.Served
	}
	return served
}
