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

func cmdPut(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: put URL BODY")
	}
	perform(ts, http.MethodPut, args[0], []string{"Content-Type:application/json"}, args[1])
}

// cmdRequest prints the status line, the sorted headers and the body.
func cmdRequest(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: request METHOD URL [HEADER:VALUE ...] [-body TEXT]")
	}
	var headers []string
	body := ""
	for i := 2; i < len(args); i++ {
		if args[i] == "-body" && i+1 < len(args) {
			body = args[i+1]
			break
		}
		headers = append(headers, args[i])
	}
	ok := perform(ts, args[0], args[1], headers, body)
	if ok == neg {
		ts.Fatalf("the request succeeded: %t", ok)
	}
}

// perform sends a request and reports whether a whole answer below 400 came back.
func perform(ts *testscript.TestScript, method, url string, headers []string, body string) bool {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	ts.Check(err)
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ":")
		request.Header.Add(name, value)
	}
	answer, err := client.Do(request)
	if err != nil {
		fmt.Fprintf(ts.Stdout(), "no answer: %v\n", err)
		return false
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	fmt.Fprintf(ts.Stdout(), "%s\n", answer.Status)
	_ = answer.Header.Write(ts.Stdout())
	fmt.Fprintf(ts.Stdout(), "\n%s\n", content)
	if err != nil {
		fmt.Fprintf(ts.Stdout(), "answer broke off: %v\n", err)
		return false
	}
	return answer.StatusCode < http.StatusBadRequest
}
