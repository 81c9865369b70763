package scenario

import (
	"io"
	"regexp"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdBackground sends a request and does not wait for its response. The request is
// sent only once; any retries are those of the fleet.
func cmdBackground(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 3 || args[0] != "request" {
		ts.Fatalf("usage: background request METHOD URL [HEADER:VALUE ...] [-body TEXT]")
	}
	request := newRequest(ts, args[1:])
	go func() { _, _ = performRequest(request) }()
}

// cmdRetry repeats a request until its response matches.
func cmdRetry(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 4 || args[1] != "request" {
		ts.Fatalf("usage: retry RE request METHOD URL [HEADER:VALUE ...] [-body TEXT]")
	}
	expression := regexp.MustCompile(args[0])
	last := ""
	for start := time.Now(); time.Since(start) < awaitTimeout; time.Sleep(awaitPeriod) {
		last, _ = performRequest(newRequest(ts, args[2:]))
		if expression.MatchString(last) {
			_, _ = io.WriteString(ts.Stdout(), last)
			return
		}
	}
	ts.Fatalf("no matching response in time for %s; last response: %s", strings.Join(args, " "), last)
}
