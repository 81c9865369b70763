package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

const shedResponse = "HTTP/1.1 503 Busy\r\nX-Not-Run: shed\r\nContent-Length: 0\r\n\r\n"

// TestProofNotRunIsTrue compares the outcome that callers receive with the requests that
// backend servers have read: after OutcomeNotRun, no server may have read the request.
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
		want    Outcome // "" for a response of a backend server
	}{
		{"nothing listens", "POST", "/protected", []func(*testing.T) string{unusedAddress, unusedAddress}, nil, OutcomeNotRun},
		{"nothing listens for a read", "GET", "/read", []func(*testing.T) string{unusedAddress}, nil, OutcomeNotRun},
		{"second server after a dial failure", "POST", "/protected", []func(*testing.T) string{unusedAddress, serve(alwaysRespond(okResponse))}, nil, ""},
		{"streamed body after a dial failure", "POST", "/post", []func(*testing.T) string{unusedAddress, serve(alwaysRespond(okResponse))}, nil, ""},
		{"upload after a dial failure", "PUT", "/upload", []func(*testing.T) string{unusedAddress, serve(alwaysRespond(okResponse))}, nil, ""},
		{"shed", "POST", "/protected", []func(*testing.T) string{serve(alwaysRespond(shedResponse))}, nil, OutcomeNotRun},
		{"shed, then answered", "POST", "/protected", []func(*testing.T) string{serve(alwaysRespond(shedResponse)), serve(alwaysRespond(okResponse))}, nil, ""},
		{"503 without X-Not-Run header", "POST", "/protected", []func(*testing.T) string{serve(alwaysRespond("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")), serve(alwaysRespond(okResponse))}, nil, ""},
		{"reset after reading", "POST", "/protected", []func(*testing.T) string{serve(resetAfterRead), serve(alwaysRespond(okResponse))}, nil, OutcomeUnknown},
		{"hang", "POST", "/protected", []func(*testing.T) string{serve(neverRespond)}, []string{deadlineHeader, "1000"}, OutcomeUnknown},
		{"read that was sent, then nothing listens", "GET", "/read", []func(*testing.T) string{serve(resetAfterRead), unusedAddress}, nil, OutcomeUnknown},
		{"truncated answer", "POST", "/post", []func(*testing.T) string{serve(respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"))}, nil, OutcomeUnknown},
		{"malformed digest", "POST", "/protected", []func(*testing.T) string{serve(alwaysRespond(okResponse))}, []string{contentDigestHeader, "sha-256=x"}, OutcomeNotRun},
		{"wrong digest", "POST", "/protected", []func(*testing.T) string{serve(alwaysRespond(okResponse))}, []string{contentDigestHeader, contentDigestOf("other")}, OutcomeNotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var list []string
			servers = nil
			for _, server := range test.servers {
				list = append(list, server(t))
			}
			b := newHarness(t, list...)
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
					t.Fatal("the outcome is not-run, but a backend server has read the request")
				}
			}
		})
	}
}

// TestProofNotRunDeadlineBetweenClaimAndSend checks that if the deadline passes while the
// request is being claimed, nothing is sent and the claim is released.
func TestProofNotRunDeadlineBetweenClaimAndSend(t *testing.T) {
	server := newRawServer(t, alwaysRespond(okResponse))
	b := newHarness(t, addresses(server)...)
	b.claimer.delay = 50 * time.Millisecond
	key := newKey()
	got := b.do(t, http.MethodPost, "/protected", strings.NewReader("order"), idempotencyHeader, key, deadlineHeader, "10")
	if _, runs := server.counts(); got.outcome != OutcomeNotRun || runs != 0 {
		t.Fatalf("outcome %q, %d requests reached the server", got.outcome, runs)
	}
	b.claimer.delay = 0
	if got := b.protected(t, key, "order"); got.status != http.StatusOK {
		t.Fatalf("later request with the same key: %+v", got)
	}
}
