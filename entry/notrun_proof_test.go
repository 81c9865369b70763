package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

const shedAnswer = "HTTP/1.1 503 Busy\r\nX-Not-Run: shed\r\nContent-Length: 0\r\n\r\n"

// TestProofNotRunIsTrue holds the outcome that callers are told against the
// requests that backend servers read.
func TestProofNotRunIsTrue(t *testing.T) {
	var servers []*rawServer
	serve := func(h handler) func(t *testing.T) string {
		return func(t *testing.T) string {
			server := newRawServer(t, h)
			servers = append(servers, server)
			return server.listener.Addr().String()
		}
	}
	tests := []struct {
		name    string
		method  string
		path    string
		servers []func(t *testing.T) string
		header  []string
		want    Outcome // "" for an answer of a backend server
	}{
		{"nothing listens", "POST", "/protected", []func(*testing.T) string{refusing, refusing}, nil, OutcomeNotRun},
		{"nothing listens for a read", "GET", "/read", []func(*testing.T) string{refusing}, nil, OutcomeNotRun},
		{"second server after a dial failure", "POST", "/protected", []func(*testing.T) string{refusing, serve(answering(okAnswer))}, nil, ""},
		{"streamed body after a dial failure", "POST", "/post", []func(*testing.T) string{refusing, serve(answering(okAnswer))}, nil, ""},
		{"upload after a dial failure", "PUT", "/upload", []func(*testing.T) string{refusing, serve(answering(okAnswer))}, nil, ""},
		{"shed", "POST", "/protected", []func(*testing.T) string{serve(answering(shedAnswer))}, nil, OutcomeNotRun},
		{"shed, then answered", "POST", "/protected", []func(*testing.T) string{serve(answering(shedAnswer)), serve(answering(okAnswer))}, nil, ""},
		{"503 without a word about running", "POST", "/protected", []func(*testing.T) string{serve(answering("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")), serve(answering(okAnswer))}, nil, ""},
		{"reset after reading", "POST", "/protected", []func(*testing.T) string{serve(resetting), serve(answering(okAnswer))}, nil, OutcomeUnknown},
		{"hang", "POST", "/protected", []func(*testing.T) string{serve(hanging)}, []string{deadlineHeader, "1000"}, OutcomeUnknown},
		{"read that was sent, then nothing listens", "GET", "/read", []func(*testing.T) string{serve(resetting), refusing}, nil, OutcomeUnknown},
		{"truncated answer", "POST", "/post", []func(*testing.T) string{serve(answeringOnce("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"))}, nil, OutcomeUnknown},
		{"malformed digest", "POST", "/protected", []func(*testing.T) string{serve(answering(okAnswer))}, []string{contentDigestHeader, "sha-256=x"}, OutcomeNotRun},
		{"wrong digest", "POST", "/protected", []func(*testing.T) string{serve(answering(okAnswer))}, []string{contentDigestHeader, contentDigestOf("other")}, OutcomeNotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var list []string
			servers = nil
			for _, server := range test.servers {
				list = append(list, server(t))
			}
			b := newBench(t, list...)
			header := append([]string{idempotencyHeader, newKey()}, test.header...)
			var body *strings.Reader
			if test.method != http.MethodGet {
				body = strings.NewReader("order")
			} else {
				body = strings.NewReader("")
			}
			got := b.do(t, test.method, test.path, body, header...)
			if got.err != nil || got.outcome != test.want {
				t.Fatalf("outcome %q, status %d, error %v; want %q", got.outcome, got.status, got.err, test.want)
			}
			for _, server := range servers {
				if _, runs := server.counts(); runs > 0 && got.outcome == OutcomeNotRun && test.name != "shed" {
					t.Fatal("a request that is said not to have run was read by a backend server")
				}
			}
		})
	}
}

// The deadline passes while the request is claimed: nothing is sent, and the
// claim is given back.
func TestProofNotRunDeadlineBetweenClaimAndSend(t *testing.T) {
	server := newRawServer(t, answering(okAnswer))
	b := newBench(t, addresses(server)...)
	b.claimer.delay = 50 * time.Millisecond
	key := newKey()
	got := b.do(t, http.MethodPost, "/protected", strings.NewReader("order"), idempotencyHeader, key, deadlineHeader, "10")
	if _, runs := server.counts(); got.outcome != OutcomeNotRun || runs != 0 {
		t.Fatalf("outcome %q, %d runs", got.outcome, runs)
	}
	b.claimer.delay = 0
	if got := b.protected(t, key, "order"); got.status != http.StatusOK {
		t.Fatalf("the same key later: %+v", got)
	}
}
