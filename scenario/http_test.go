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
	awaitLimit  = 30 * time.Second // only ends a script that hangs
	awaitPeriod = 20 * time.Millisecond
)

// client opens a connection for each request, so that scripts depend on no earlier one.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}

func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	pattern := ""
	if len(args) == 2 {
		pattern = args[1]
	}
	await(ts, args[0], pattern, !neg)
}

// await polls until the URL answers 200 with a body that matches, or no longer does.
func await(ts *testscript.TestScript, url, pattern string, wanted bool) {
	expression := regexp.MustCompile(pattern)
	last := ""
	for start := time.Now(); time.Since(start) < awaitLimit; time.Sleep(awaitPeriod) {
		status, body, err := fetch(url)
		last = fmt.Sprint(status, " ", body, " ", err)
		if matched := status == http.StatusOK && expression.MatchString(body); matched == wanted {
			return
		}
	}
	ts.Fatalf("gave up on %s: %s", url, last)
}

func fetch(url string) (status int, body string, err error) {
	answer, err := client.Get(url)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(content), err
}

func cmdGet(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: get URL")
	}
	status, body, err := fetch(args[0])
	ts.Check(err)
	if status != http.StatusOK {
		ts.Fatalf("%s answered %d", args[0], status)
	}
	fmt.Fprint(ts.Stdout(), body)
}

func cmdPut(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: put URL BODY")
	}
	cmdRequest(ts, neg, []string{http.MethodPut, args[0], "Content-Type:application/json", "-body", args[1]})
}

// cmdRequest prints the status line, the sorted headers and the body.
func cmdRequest(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: request METHOD URL [HEADER:VALUE ...] [-body TEXT]")
	}
	text, ok := describe(newRequest(ts, args))
	_, _ = io.WriteString(ts.Stdout(), text)
	if ok == neg {
		ts.Fatalf("the request succeeded: %t", ok)
	}
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

// describe performs the request and returns the answer as text; ok means a whole
// answer below 400.
func describe(request *http.Request) (text string, ok bool) {
	answer, err := client.Do(request)
	if err != nil {
		return fmt.Sprintf("no answer: %v\n", err), false
	}
	defer answer.Body.Close()
	var printed strings.Builder
	printed.WriteString(answer.Status + "\n")
	_ = answer.Header.Write(&printed)
	content, err := io.ReadAll(answer.Body)
	fmt.Fprintf(&printed, "\n%s\n", content)
	if err != nil {
		fmt.Fprintf(&printed, "answer broke off: %v\n", err)
		return printed.String(), false
	}
	return printed.String(), answer.StatusCode < http.StatusBadRequest
}
