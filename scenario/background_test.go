package scenario

import (
	"io"
	"net/http"
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
	go func() {
		answer, err := client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
	}()
}

// cmdRetry sends a request until its answer matches.
func cmdRetry(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 4 || args[1] != "request" {
		ts.Fatalf("usage: retry RE request METHOD URL [HEADER:VALUE ...] [-body TEXT]")
	}
	expression := regexp.MustCompile(args[0])
	last := ""
	for start := time.Now(); time.Since(start) < awaitLimit; time.Sleep(awaitPeriod) {
		last = describe(newRequest(ts, args[2:]))
		if expression.MatchString(last) {
			_, _ = io.WriteString(ts.Stdout(), last)
			return
		}
	}
	ts.Fatalf("gave up on %s: %s", strings.Join(args, " "), last)
}

// newRequest reads the arguments of the request command.
func newRequest(ts *testscript.TestScript, args []string) *http.Request {
	body := ""
	for i, arg := range args {
		if arg == "-body" && i+1 < len(args) {
			body, args = args[i+1], args[:i]
			break
		}
	}
	request, err := http.NewRequest(args[0], args[1], strings.NewReader(body))
	ts.Check(err)
	for _, header := range args[2:] {
		name, value, _ := strings.Cut(header, ":")
		request.Header.Add(name, value)
	}
	return request
}

// describe performs the request and returns the answer as text.
func describe(request *http.Request) string {
	answer, err := client.Do(request)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer answer.Body.Close()
	var text strings.Builder
	text.WriteString(answer.Status + "\n")
	_ = answer.Header.Write(&text)
	content, err := io.ReadAll(answer.Body)
	text.WriteString("\n" + string(content) + "\n")
	if err != nil {
		text.WriteString("answer broke off: " + err.Error() + "\n")
	}
	return text.String()
}
