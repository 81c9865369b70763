package load

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/standin"
)

// recorder forwards requests to a fake backend server and counts them by method, URL,
// length and whether they have an Idempotency-Key.
type recorder struct {
	backend http.Handler
	mu      sync.Mutex
	seen    map[string]int
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	r.seen[fmt.Sprintf("%s %s %d %t", request.Method, request.URL, request.ContentLength, request.Header.Get(idempotencyKeyHeader) != "")]++
	r.mu.Unlock()
	r.backend.ServeHTTP(w, request)
}

func newRecorder(t *testing.T) (*recorder, string) {
	seen := &recorder{backend: standin.NewBackend("shelf-1"), seen: map[string]int{}}
	server := httptest.NewServer(seen)
	t.Cleanup(server.Close)
	return seen, strings.TrimPrefix(server.URL, "http://")
}

func TestBothWaysGetTheSameRequests(t *testing.T) {
	fleet, fleetAddress := newRecorder(t)
	alone, aloneAddress := newRecorder(t)
	report := Run(t.Context(), Settings{
		Entries: []string{fleetAddress}, Direct: []string{aloneAddress}, Seed: 1,
		Duration: daemon.Duration(2 * turnDuration),
		Mixes: []Mix{
			{Account: "reader", Key: "k", Method: "GET", Path: "/shelf", Rate: 50, Size: 2000},
			{Account: "shop", Key: "k", Method: "POST", Path: "/renewals", Workers: 2, Upload: 300, Protected: true},
			{Method: "HEAD", Path: "/covers", Rate: 50},
		},
	})
	if !report.Correct() {
		t.Fatalf("all responses were complete, but the report contains %+v", report.Mixes)
	}
	for _, form := range []string{"GET /shelf?size=2000 0 false", "POST /renewals?size=0 300 true", "HEAD /covers?size=0 0 false"} {
		if fleet.seen[form] == 0 || alone.seen[form] == 0 {
			t.Errorf("%s: %d sent through the fleet, %d sent directly", form, fleet.seen[form], alone.seen[form])
		}
	}
	if len(fleet.seen) != 3 || len(alone.seen) != 3 {
		t.Errorf("other requests were sent: %v, %v", fleet.seen, alone.seen)
	}
	if mix := report.Mixes[1]; mix.Overhead == nil || mix.Overhead.ThroughputRatio == 0 {
		t.Errorf("the report of a closed loop lacks the throughput ratio: %+v", mix)
	}
}

func TestLatencyOfAnOpenLoopCountsFromThePlannedStart(t *testing.T) {
	const stall = 300 * time.Millisecond
	var once sync.Once
	backend := standin.NewBackend("shelf-1")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		once.Do(func() { time.Sleep(stall) })
		backend.ServeHTTP(w, r)
	}))
	defer server.Close()
	sender := newSender(Settings{
		Entries: []string{strings.TrimPrefix(server.URL, "http://")}, Duration: daemon.Duration(stall),
		Mixes: []Mix{{Method: "GET", Path: "/covers", Rate: 100}},
	})
	sender.start = time.Now().Add(-stall) // the sender is late by stall
	sender.sendOpen(t.Context(), 0, through)
	for _, s := range sender.report.samples[0][through] {
		if s.latency < stall-s.planned {
			t.Errorf("request planned at %v and sent late: latency %v doesn't include the delay", s.planned, s.latency)
		}
	}
}

func TestWrongAnswersAreFound(t *testing.T) {
	for name, respond := range map[string]func(http.ResponseWriter, *http.Request){
		"another caller's": func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "0000 not yours") },
		"cut short":        func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.Header.Get(markHeader)+" ") },
	} {
		server := httptest.NewServer(http.HandlerFunc(respond))
		report := Run(t.Context(), Settings{
			Entries: []string{strings.TrimPrefix(server.URL, "http://")}, Duration: daemon.Duration(50 * time.Millisecond),
			Mixes: []Mix{{Method: "GET", Path: "/covers", Workers: 1, Size: 100}},
		})
		server.Close()
		if report.Correct() || report.count(verdictWrong) == 0 {
			t.Errorf("%s: the report does not count wrong responses: %v", name, report.Mixes[0].Through.Verdicts)
		}
	}
}
