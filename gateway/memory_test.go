package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

const (
	testMemoryMB = 48      // of which 9 MB are for callers
	testBody     = 5 << 20 // bytes; two do not fit
)

// startWithMemory starts a VM whose process may use testMemoryMB, and whose account "limited"
// has a rate of one request a second.
func startWithMemory(t *testing.T) (*fleet, *vm) {
	t.Helper()
	f := newFleet(t, 1)
	f.memoryMB = testMemoryMB
	f.store.Put(platform.ConfigKey, platformtest.Configuration{
		Version: 1, MaxBody: 64 << 20,
		Routes:   []platformtest.Route{{Name: "r", Prefix: "/r/", Kind: "upload", Timeout: "20s", Service: "svc", MaxAttempts: 2}},
		Accounts: []platformtest.Account{{Name: "acc", Keys: []string{"k1"}}, {Name: "other", Keys: []string{"k2"}}, {Name: "limited", Keys: []string{"k3"}, Rate: 1, Burst: 1}},
	}.Encode())
	return f, f.startReady("vm-1")
}

// longHead returns the head of an upload. length is -1 for a chunked body.
func longHead(id, key string, length int, further string) string {
	framing := "Transfer-Encoding: chunked"
	if length >= 0 {
		framing = fmt.Sprintf("Content-Length: %d", length)
	}
	return fmt.Sprintf("POST /r/a HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nKey: %s\r\nDeadline-Ms: 20000\r\n%s\r\n%s\r\n", platformtest.Host, id, key, framing, further)
}

// Load: a body that stalls just short of its end, alone and then beside an honest one for
// which there is no room.
func TestStalledBodyEndsUnderPressureOnly(t *testing.T) {
	t.Parallel()
	f, v := startWithMemory(t)
	stalled := v.dial(t)
	stalled.send(longHead("stalled", "k2", testBody, "") + strings.Repeat("x", testBody-1))
	time.Sleep(2 * time.Second)
	if v.active.Load() != 1 {
		t.Fatal("a stalled body was ended without pressure")
	}
	if r := f.call(v, http.MethodPost, "/r/", "k1", strings.Repeat("y", testBody), nil); r.status != http.StatusOK || f.countRuns(r.id) != 1 {
		t.Fatalf("the honest upload ended with %d, %v", r.status, r.err)
	}
	stalled.wantRefusal()
	if f.countRuns("stalled") != 0 {
		t.Fatal("a refused request has run")
	}
}

// Load: an upload that pauses for longer than progress is remembered, while there is room.
func TestSlowUploadArrivesWhole(t *testing.T) {
	t.Parallel()
	for _, length := range []int{100 << 10, -1} {
		f, v := startWithMemory(t)
		c := v.dial(t)
		part := strings.Repeat("x", 50<<10)
		first, last := part, part
		if length < 0 {
			first, last = fmt.Sprintf("%x;ext=1\r\n%s\r\n", len(part), part), fmt.Sprintf("%x\r\n%s\r\n0\r\nTrailer: 1\r\n\r\n", len(part), part)
		}
		c.send(longHead("slow", "k1", length, "") + first)
		time.Sleep(3 * time.Second)
		c.send(last)
		if answer := c.receive(); answer.StatusCode != http.StatusOK {
			t.Fatalf("length %d: %d", length, answer.StatusCode)
		}
		if runs := f.servers[0].Runs(); len(runs) != 1 || runs[0].Body != part+part {
			t.Fatalf("length %d: the server did not get the body", length)
		}
	}
}

// Load: bodies that key, limit, memory and rate refuse, by callers that wait for 100
// (Continue) before they send them.
func TestRefusedBeforeTheBodyIsSent(t *testing.T) {
	t.Parallel()
	f, v := startWithMemory(t)
	for _, test := range []struct {
		name, key string
		length    int
		status    int
	}{
		{"unknown key", "none", 300, http.StatusUnauthorized},
		{"over the limit of the configuration", "k1", 65 << 20, http.StatusRequestEntityTooLarge},
		{"more than the process may hold", "k1", 20 << 20, http.StatusServiceUnavailable},
	} {
		c := v.dial(t)
		c.send(longHead("early", test.key, test.length, "Expect: 100-continue\r\n"))
		if answer := c.receive(); answer.StatusCode != test.status || !answer.Close {
			t.Errorf("%s: %d, closing %t", test.name, answer.StatusCode, answer.Close)
		}
	}
	c := v.dial(t)
	c.send(longHead("welcome", "k1", 200<<10, "Expect: 100-continue\r\n"))
	if answer := c.receive(); answer.StatusCode != http.StatusContinue {
		t.Fatalf("%d instead of 100", answer.StatusCode)
	}
	c.send(strings.Repeat("x", 200<<10))
	if answer := c.receive(); answer.StatusCode != http.StatusOK {
		t.Fatalf("%d after the body", answer.StatusCode)
	}
	if f.countRuns("early") != 0 {
		t.Error("a refused request has run")
	}
}

// Load: an account over its rate sends long bodies. They are refused before the body, and
// take no token from the account: its next request in time is served.
func TestRateIsCheckedBeforeTheBody(t *testing.T) {
	t.Parallel()
	f, v := startWithMemory(t)
	refused := 0
	for range 5 {
		for f.call(v, http.MethodPost, "/r/", "k3", "order", nil).status == http.StatusOK {
			continue // until the bucket is empty
		}
		c := v.dial(t)
		c.send(longHead("over", "k3", 200<<10, "Expect: 100-continue\r\n"))
		// On a busy machine there may be a token again.
		if answer := c.receive(); answer.StatusCode == http.StatusTooManyRequests && answer.Header.Get("Retry-After") != "" {
			refused++
		}
		_ = c.conn.Close()
	}
	if refused == 0 {
		t.Fatal("all bodies were asked for although the account had no token")
	}
	time.Sleep(1500 * time.Millisecond)
	if r := f.call(v, http.MethodPost, "/r/", "k3", strings.Repeat("x", 200<<10), nil); r.status != http.StatusOK {
		t.Fatalf("%d with a token in the bucket", r.status)
	}
}

// Load: an answer of which the process can hold only a part, to a caller that reads it.
func TestLongAnswerArrivesWholeWithoutMemory(t *testing.T) {
	t.Parallel()
	f, v := startWithMemory(t)
	f.servers[0].SetWork(func(string) platformtest.Work { return platformtest.Work{BodySize: 700 << 10} })
	full, err := v.budget.Open("full", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer full.Close()
	for full.TryReserve(8 << 10) {
		continue // so that there is no room for large holders
	}
	r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil)
	if r.status != http.StatusOK || r.body != platformtest.ResponseBody(r.id, 700<<10) {
		t.Fatalf("%d with %d bytes, %v", r.status, len(r.body), r.err)
	}
}
