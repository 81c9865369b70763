package scenario

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	awaitTimeout = 30 * time.Second // long enough that only a script that hangs is ended
	awaitPeriod  = 20 * time.Millisecond
)

// client opens a new connection for each request, so that earlier requests have no effect.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}

func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	pattern := ""
	if len(args) == 2 {
		pattern = args[1]
	}
	await(ts, args[0], pattern, !neg)
}

// await polls the URL until the response has status 200 and a body that matches, or, if
// wanted is false, until it does not.
func await(ts *testscript.TestScript, url, pattern string, wanted bool) {
	expression := regexp.MustCompile(pattern)
	last := ""
	for start := time.Now(); time.Since(start) < awaitTimeout; time.Sleep(awaitPeriod) {
		status, body, err := fetch(url)
		last = fmt.Sprint(status, " ", body, " ", err)
		if matched := status == http.StatusOK && expression.MatchString(body); matched == wanted {
			return
		}
	}
	ts.Fatalf("%s did not give the expected response in time; last response: %s", url, last)
}

func fetch(url string) (status int, body string, err error) {
	response, err := client.Get(url)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

func cmdGet(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: get URL")
	}
	status, body, err := fetch(args[0])
	ts.Check(err)
	if status != http.StatusOK {
		ts.Fatalf("%s responded with status %d, want 200", args[0], status)
	}
	fmt.Fprint(ts.Stdout(), body)
}

func cmdPut(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: put URL BODY")
	}
	cmdRequest(ts, neg, []string{http.MethodPut, args[0], "Content-Type:application/json", "-body", args[1]})
}

// cmdRequest sends a request and prints the status line, the sorted headers and the
// body of the response.
func cmdRequest(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: request METHOD URL [HEADER:VALUE ...] [-body TEXT]")
	}
	text, ok := performRequest(newRequest(ts, args))
	_, _ = io.WriteString(ts.Stdout(), text)
	if ok == neg {
		ts.Fatalf("request succeeded: %t", ok)
	}
}

// newRequest returns the request that the arguments of the request command describe.
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

// performRequest sends the request and returns the response as text. ok tells whether
// the response is complete and its status below 400.
func performRequest(request *http.Request) (text string, ok bool) {
	response, err := client.Do(request)
	if err != nil {
		return fmt.Sprintf("no response: %v\n", err), false
	}
	defer response.Body.Close()
	var printed strings.Builder
	printed.WriteString(response.Status + "\n")
	_ = response.Header.Write(&printed)
	content, err := io.ReadAll(response.Body)
	fmt.Fprintf(&printed, "\n%s\n", content)
	if err != nil {
		fmt.Fprintf(&printed, "the response is incomplete: %v\n", err)
		return printed.String(), false
	}
	return printed.String(), response.StatusCode < http.StatusBadRequest
}
