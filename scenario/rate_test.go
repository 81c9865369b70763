package scenario

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lacewingmount.dev/standin"
)

type marksKey struct{}

// mark is the start of a window and the number of requests received until then.
type mark struct {
	since  time.Time
	served int
}

// cmdMark starts a window. The time is taken before the count, so that the window is
// never shorter than the time in which its requests are counted.
func cmdMark(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: mark NAME")
	}
	since := time.Now()
	marksOf(ts)[args[0]] = mark{since: since, served: totalServed(ts)}
}

// cmdWithin checks that a window has at most burst + rate * length requests.
func cmdWithin(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 3 {
		ts.Fatalf("usage: within NAME RATE BURST")
	}
	rate, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	burst, err := strconv.ParseFloat(args[2], 64)
	ts.Check(err)
	mark := marksOf(ts)[args[0]]
	served := totalServed(ts) - mark.served
	bound := burst + rate*time.Since(mark.since).Seconds()
	ts.Logf("%s: %d served, at most %.1f allowed", args[0], served, bound)
	if within := float64(served) <= bound; within == neg {
		ts.Fatalf("%s: %d requests were served, at most %.1f are allowed", args[0], served, bound)
	}
}

const exceedsWindow = 2 * time.Second

// cmdExceeds waits for a window with more than burst + rate * length requests. It shows
// that the load requires more than that rate and that the fleet admits it.
func cmdExceeds(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: exceeds RATE BURST")
	}
	rate, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	burst, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	for start := time.Now(); time.Since(start) < awaitTimeout; {
		before, since := totalServed(ts), time.Now()
		time.Sleep(exceedsWindow)
		served := totalServed(ts) - before
		ts.Logf("%d served in a window", served)
		if float64(served) > burst+rate*time.Since(since).Seconds() {
			return
		}
	}
	ts.Fatalf("no window of %v had more requests than burst %v and rate %v allow", exceedsWindow, burst, rate)
}

func marksOf(ts *testscript.TestScript) map[string]mark {
	return ts.Value(marksKey{}).(map[string]mark)
}

// totalServed returns how many requests all backend servers together have received.
func totalServed(ts *testscript.TestScript) int {
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
