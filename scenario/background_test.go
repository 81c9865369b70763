package scenario

import (
	"io"
	"regexp"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdBackground sends a request and does not wait for its answer. Further
// requests of the same kind are sent by the fleet alone.
func cmdBackground(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 3 || args[0] != "request" {
		ts.Fatalf("usage: background request METHOD URL [HEADER:VALUE ...] [-body TEXT]")
	}
	request := newRequest(ts, args[1:])
	go func() { _, _ = describe(request) }()
}

// cmdRetry sends a request until its answer matches.
func cmdRetry(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 4 || args[1] != "request" {
		ts.Fatalf("usage: retry RE request METHOD URL [HEADER:VALUE ...] [-body TEXT]")
	}
	expression := regexp.MustCompile(args[0])
	last := ""
	for start := time.Now(); time.Since(start) < awaitLimit; time.Sleep(awaitPeriod) {
		last, _ = describe(newRequest(ts, args[2:]))
		if expression.MatchString(last) {
			_, _ = io.WriteString(ts.Stdout(), last)
			return
		}
	}
	ts.Fatalf("gave up on %s: %s", strings.Join(args, " "), last)
}
